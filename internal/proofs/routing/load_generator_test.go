// Package routing tests routing with real processes under load and faults: the load bound, fairness between teams, cold
// starts, health checks, and taking upstreams and data centres out and back in.
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

// loadGenerator runs callers that send chats in a loop, and collects the results.
type loadGenerator struct {
	fleet *testfleet.Fleet
	// entryRouters are the indexes of the routers that the callers use.
	entryRouters []int
	team         string
	callers      int
	// answerTokens is the number of tokens in each answer.
	answerTokens int
	// timeout limits each call.
	timeout time.Duration
	// pause is the time between a response and the caller's next request.
	pause time.Duration

	mu      sync.Mutex
	results []callResult
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// callResult is the result of one call. The field result is nil if there was no response.
type callResult struct {
	at       time.Time
	result   *load.Result
	complete bool
}

// succeeded reports whether the caller received its complete answer.
func (s callResult) succeeded() bool {
	return s.result != nil && s.result.Status == http.StatusOK && s.complete
}

// refused reports whether the fleet refused the request with status 503 and the outcome that it did not run.
func (s callResult) refused() bool {
	return s.result != nil && s.result.Status == http.StatusServiceUnavailable && s.result.Outcome == "not-run"
}

// start starts the callers.
func (d *loadGenerator) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	caller := load.NewCaller(d.timeout)
	for n := range d.callers {
		d.wg.Go(func() { d.runCaller(ctx, caller, rand.New(rand.NewPCG(uint64(n), 7))) })
	}
}

// finish stops the callers, waits for their current calls and returns all results.
func (d *loadGenerator) finish() []callResult {
	d.stop()
	d.wg.Wait()
	return d.results
}

func (d *loadGenerator) runCaller(ctx context.Context, caller *load.Caller, rnd *rand.Rand) {
	for ctx.Err() == nil {
		entry := d.entryRouters[rnd.IntN(len(d.entryRouters))]
		result, complete := d.callOnce(caller, entry, randomChat(rnd))
		d.mu.Lock()
		d.results = append(d.results, callResult{at: time.Now(), result: result, complete: complete})
		d.mu.Unlock()
		if result == nil || result.Status != http.StatusOK {
			time.Sleep(retryDelay)
		}
		time.Sleep(d.pause)
	}
}

// retryDelay is the additional pause of a caller after an unsuccessful call.
const retryDelay = 200 * time.Millisecond

func (d *loadGenerator) callOnce(caller *load.Caller, entry int, chat string) (*load.Result, bool) {
	messages := []engine.Message{{Role: "user", Content: "tell me about " + chat}}
	body, err := load.ChatBody(testfleet.Model, messages, true, d.answerTokens)
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
	return result, done && text == engine.AnswerText(messages, d.answerTokens)
}

// randomChat returns a random chat ID. A third of the requests belong to three large chats.
func randomChat(rnd *rand.Rand) string {
	if rnd.IntN(3) == 0 {
		return fmt.Sprintf("large-%d", rnd.IntN(3))
	}
	return fmt.Sprintf("chat-%d", rnd.IntN(1000))
}

// engineState reads an engine's state dump.
func engineState(t *testing.T, f *testfleet.Fleet, n int) engine.State {
	t.Helper()
	var s engine.State
	testfleet.Eventually(t, 5*time.Second, "the engine's admin address responds", func() bool { return f.State(f.Engines[n], &s) })
	return s
}

// countResults returns the number of results that satisfy the condition.
func countResults(results []callResult, condition func(callResult) bool) int {
	n := 0
	for _, r := range results {
		if condition(r) {
			n++
		}
	}
	return n
}

// waitWarm waits until every engine is warm, its owner has detected that, and the owners' load ramps are complete.
func waitWarm(t *testing.T, f *testfleet.Fleet) {
	t.Helper()
	for n := range f.Engines {
		testfleet.Eventually(t, 30*time.Second, "the engine is warm", func() bool { return !engineState(t, f, n).Cold })
	}
	testfleet.Eventually(t, 30*time.Second, "every upstream has an owner that considers it warm", func() bool {
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
	time.Sleep(rampTime)
}

// rampTime covers the ramp-up after a change of the owner and the one after an engine's cold start.
const rampTime = 2500 * time.Millisecond
