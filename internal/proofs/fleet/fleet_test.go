// Package fleet tests a fleet of real processes under network partitions, pauses, platform outages and graceful stops.
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

// Required propagation times: a document is in force on every router within 2 s at the median and within 5 s at most.
const (
	medianTarget = 2 * time.Second
	worstTarget  = 5 * time.Second
)

// callTimeout limits a single call.
const callTimeout = 20 * time.Second

const team = "team-1"

// skipIfShort skips a long test in short mode. make prove runs it.
func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs under make prove")
	}
}

// waitVersion waits until the routers have the version or a later one in force.
func waitVersion(t *testing.T, f *testfleet.Fleet, version uint64, routers ...int) {
	t.Helper()
	for _, n := range routers {
		testfleet.Eventually(t, worstTarget, "the version is in force on "+f.Routers[n].Name, func() bool {
			s, ok := f.RouterState(f.Routers[n])
			return ok && s.Config.Version >= version
		})
	}
}

// propagationTimes waits until the version is in force on the routers and returns, for each of them, the time between from
// and the application of the version according to the router's history.
func propagationTimes(t *testing.T, f *testfleet.Fleet, version uint64, from time.Time, routers ...int) []time.Duration {
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

// checkHistories fails the test if a router ever replaced its document by an older one.
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
				t.Errorf("%s replaced version %d %s by version %d %s", p.Name, a.Version, a.Hash, b.Version, b.Hash)
			}
		}
	}
}

func allRouters(f *testfleet.Fleet) []int {
	numbers := make([]int, len(f.Routers))
	for n := range numbers {
		numbers[n] = n
	}
	return numbers
}

func checkPropagationTimes(t *testing.T, took []time.Duration) {
	t.Helper()
	slices.Sort(took)
	median, worst := took[len(took)/2], took[len(took)-1]
	t.Logf("in force after: median %s, worst %s, %d samples", median, worst, len(took))
	if median >= medianTarget || worst >= worstTarget {
		t.Errorf("median %s, worst %s; want below %s and %s", median, worst, medianTarget, worstTarget)
	}
}

// chatStatus requests a short streamed answer from the n-th router and returns the status: 0 without a response, -1 if the
// answer is incomplete.
func chatStatus(f *testfleet.Fleet, caller *load.Caller, n int, content string) int {
	return chatStatusAs(f, caller, n, team, content)
}

// chatStatusAs is chatStatus with the API key of another team.
func chatStatusAs(f *testfleet.Fleet, caller *load.Caller, n int, team, content string) int {
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
	if !result.Complete {
		return -1
	}
	return result.Status
}

// checkServing fails the test unless each router answers all of six chats.
func checkServing(t *testing.T, f *testfleet.Fleet, routers ...int) {
	t.Helper()
	caller := load.NewCaller(callTimeout)
	var wg sync.WaitGroup
	for _, n := range routers {
		wg.Go(func() {
			for _, content := range []string{"a", "b", "c", "d", "e", "f"} {
				if status := chatStatus(f, caller, n, content); status != http.StatusOK {
					t.Errorf("%s responded with status %d", f.Routers[n].Name, status)
				}
			}
		})
	}
	wg.Wait()
}

// changeRate edits a document in a way that has no effect on the tests.
func changeRate(d *document.Document) { d.Teams[0].RatePerSecond++ }

// liveHosts returns the names of the hosts that the router considers live.
func liveHosts(s router.State) map[string]bool {
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
	testfleet.Eventually(t, 2*worstTarget, f.Routers[at].Name+" changes its view of "+host, func() bool {
		s, ok := f.RouterState(f.Routers[at])
		return ok && liveHosts(s)[host] == want
	})
}
