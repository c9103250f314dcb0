// Package fleet proves with real processes what the fleet does under cuts, pauses, outages and planned stops.
package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/router"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// Targets of the users: a document is in force everywhere within 2 s at the median and 5 s at worst.
const (
	medianTarget = 2 * time.Second
	worstTarget  = 5 * time.Second
)

// callTimeout bounds one caller's call.
const callTimeout = 20 * time.Second

const team = "team-1"

// skipIfShort leaves a long proof to make prove.
func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs under make prove")
	}
}

// waitVersion waits until the routers have that version or a later one in force.
func waitVersion(t *testing.T, f *testfleet.Fleet, version uint64, routers ...int) {
	t.Helper()
	for _, n := range routers {
		testfleet.Eventually(t, worstTarget, "the version is in force on "+f.Routers[n].Name, func() bool {
			s, ok := f.RouterState(f.Routers[n])
			return ok && s.Config.Version >= version
		})
	}
}

// inForce returns how long after the time each router had the version in force, by the routers' recorded history.
func inForce(t *testing.T, f *testfleet.Fleet, version uint64, from time.Time, routers ...int) []time.Duration {
	t.Helper()
	waitVersion(t, f, version, routers...)
	var took []time.Duration
	for _, n := range routers {
		s, _ := f.RouterState(f.Routers[n])
		for _, record := range s.Config.History {
			if record.Version >= version {
				took = append(took, record.At.Sub(from))
				break
			}
		}
	}
	return took
}

// checkHistories fails the test if any router ever went back.
func checkHistories(t *testing.T, f *testfleet.Fleet) {
	t.Helper()
	for _, p := range f.Routers {
		s, ok := f.RouterState(p)
		if !ok {
			continue
		}
		for i := 1; i < len(s.Config.History); i++ {
			a, b := s.Config.History[i-1], s.Config.History[i]
			if b.Version < a.Version || b.Version == a.Version && b.Hash <= a.Hash {
				t.Errorf("%s went from version %d %s to %d %s", p.Name, a.Version, a.Hash, b.Version, b.Hash)
			}
		}
	}
}

func all(f *testfleet.Fleet) []int {
	numbers := make([]int, len(f.Routers))
	for n := range numbers {
		numbers[n] = n
	}
	return numbers
}

func checkTimes(t *testing.T, took []time.Duration) {
	t.Helper()
	slices.Sort(took)
	median, worst := took[len(took)/2], took[len(took)-1]
	t.Logf("in force after: median %s, worst %s, %d samples", median, worst, len(took))
	if median >= medianTarget || worst >= worstTarget {
		t.Errorf("median %s, worst %s; want below %s and %s", median, worst, medianTarget, worstTarget)
	}
}

// chat asks the n-th router for a short streamed answer and returns the status, 0 if there was no answer.
func chat(f *testfleet.Fleet, caller *load.Caller, n int, content string) int {
	return chatAs(f, caller, n, team, content)
}

// chatAs is chat with the key of a team.
func chatAs(f *testfleet.Fleet, caller *load.Caller, n int, team, content string) int {
	messages := []engine.Message{{Role: "user", Content: content}}
	body, err := load.ChatBody(testfleet.Model, messages, true, 4)
	if err != nil {
		return 0
	}
	result, err := caller.Do(context.Background(), load.Call{
		Address: f.CallerAddress(n), Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey(team), Body: body,
	})
	if err != nil {
		return 0
	}
	if !result.Whole {
		return -1
	}
	return result.Status
}

// checkService fails the test unless each router answers every one of a few chats.
func checkService(t *testing.T, f *testfleet.Fleet, routers ...int) {
	t.Helper()
	caller := load.NewCaller(callTimeout)
	var wg sync.WaitGroup
	for _, n := range routers {
		wg.Go(func() {
			for _, content := range []string{"a", "b", "c", "d", "e", "f"} {
				if status := chat(f, caller, n, content); status != http.StatusOK {
					t.Errorf("%s answered with status %d", f.Routers[n].Name, status)
				}
			}
		})
	}
	wg.Wait()
}

// touch makes the next version differ without changing what it means.
func touch(d *document.Document) { d.Teams[0].RatePerSecond++ }

// live returns the hosts that the router believes live, by name.
func live(s router.State) map[string]bool {
	names := map[string]bool{}
	for _, m := range s.Members {
		if m.Live {
			names[m.Host] = true
		}
	}
	return names
}

func waitLive(t *testing.T, f *testfleet.Fleet, at int, host string, want bool) {
	t.Helper()
	testfleet.Eventually(t, 2*worstTarget, f.Routers[at].Name+" changes its belief of "+host, func() bool {
		s, ok := f.RouterState(f.Routers[at])
		return ok && live(s)[host] == want
	})
}
