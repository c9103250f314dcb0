// Package routing proves with real processes what routing promises under load and faults: the load bound, fairness,
// cold starts, health and moves of data centres.
package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// driver keeps a number of callers busy with chats and collects what they saw.
type driver struct {
	fleet *testfleet.Fleet
	// entries are the routers that callers use, by number.
	entries []int
	team    string
	callers int
	// tokens is the length of each answer.
	tokens int
	// timeout is the caller's patience.
	timeout time.Duration
	// pause is the time between an answer and the caller's next request.
	pause time.Duration

	mu      sync.Mutex
	results []seen
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// seen is one call's result; the result is nil when no answer came.
type seen struct {
	at     time.Time
	result *load.Result
	text   bool
}

// whole reports whether the caller got its whole answer.
func (s seen) whole() bool { return s.result != nil && s.result.Status == http.StatusOK && s.text }

// refused reports whether the fleet said truly that the request did not run.
func (s seen) refused() bool {
	return s.result != nil && s.result.Status == http.StatusServiceUnavailable && s.result.Outcome == "not-run"
}

// start begins to drive.
func (d *driver) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	caller := load.NewCaller(d.timeout)
	for n := range d.callers {
		d.wg.Go(func() { d.call(ctx, caller, rand.New(rand.NewPCG(uint64(n), 7))) })
	}
}

// finish ends the driving after the calls that are under way and returns all results.
func (d *driver) finish() []seen {
	d.stop()
	d.wg.Wait()
	return d.results
}

func (d *driver) call(ctx context.Context, caller *load.Caller, rnd *rand.Rand) {
	for ctx.Err() == nil {
		entry := d.entries[rnd.IntN(len(d.entries))]
		result, whole := d.one(caller, entry, chat(rnd))
		d.mu.Lock()
		d.results = append(d.results, seen{at: time.Now(), result: result, text: whole})
		d.mu.Unlock()
		if result == nil || result.Status != http.StatusOK {
			time.Sleep(refusedPause)
		}
		time.Sleep(d.pause)
	}
}

// refusedPause is how long a refused caller waits.
const refusedPause = 200 * time.Millisecond

func (d *driver) one(caller *load.Caller, entry int, chat string) (*load.Result, bool) {
	messages := []engine.Message{{Role: "user", Content: "tell me about " + chat}}
	body, err := load.ChatBody(testfleet.Model, messages, true, d.tokens)
	if err != nil {
		return nil, false
	}
	result, err := caller.Do(context.Background(), load.Call{
		Address: d.fleet.CallerAddress(entry), Method: http.MethodPost, Path: testfleet.PathChat,
		Key: testfleet.TeamKey(d.team), ChatID: chat, Body: body,
	})
	if err != nil {
		return nil, false
	}
	text, done := load.StreamText(result.Body)
	return result, done && text == engine.AnswerText(messages, d.tokens)
}

// chat returns a chat; a third of the requests belong to three chats.
func chat(rnd *rand.Rand) string {
	if rnd.IntN(3) == 0 {
		return fmt.Sprintf("large-%d", rnd.IntN(3))
	}
	return fmt.Sprintf("chat-%d", rnd.IntN(1000))
}

// engineState reads an engine's state dump.
func engineState(t *testing.T, f *testfleet.Fleet, n int) engine.State {
	t.Helper()
	var s engine.State
	testfleet.Eventually(t, 5*time.Second, "the engine's admin answers", func() bool { return f.State(f.Engines[n], &s) })
	return s
}

// count returns how many results satisfy the condition.
func count(results []seen, condition func(seen) bool) int {
	n := 0
	for _, r := range results {
		if condition(r) {
			n++
		}
	}
	return n
}

// waitWarm waits until every engine is warm and every owner is past its ramp.
func waitWarm(t *testing.T, f *testfleet.Fleet) {
	t.Helper()
	for n := range f.Engines {
		testfleet.Eventually(t, 30*time.Second, "the engine is warm", func() bool { return !engineState(t, f, n).Cold })
	}
	testfleet.Eventually(t, 30*time.Second, "every engine is warm and known to be", func() bool {
		owned := 0
		for _, r := range f.Routers {
			s, ok := f.RouterState(r)
			if !ok {
				return false
			}
			for _, u := range s.Upstreams {
				if u.Owned && !u.Cold {
					owned++
				}
			}
		}
		return owned >= len(f.Engines)+len(f.Services)
	})
	time.Sleep(warmUp)
}

// warmUp is the length of the ramps of a new owner and of an engine that is warm again.
const warmUp = 2500 * time.Millisecond
