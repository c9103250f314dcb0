// Package rights tests with real processes that rate limits, API keys and at-most-once execution are enforced while routers
// are killed, suspended and cut off.
package rights

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/service"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const (
	callTimeout = 4 * time.Second
	// orderTimeout is the routers' request timeout, after which no order is running.
	orderTimeout = 3 * time.Second
)

// attempt is the result of one call with an idempotency key.
type attempt struct {
	key    string
	at     time.Time
	result *load.Result
}

// orderCallers is a set of callers that send each order repeatedly, to random hosts, until it has run, its key is invalid or
// maxSends is reached.
type orderCallers struct {
	fleet  *testfleet.Fleet
	caller *load.Caller

	mu       sync.Mutex
	attempts []attempt
}

// maxSends is the maximum number of times that a caller sends an order.
const maxSends = 8

func (o *orderCallers) run(ctx context.Context, worker int) {
	rnd := rand.New(rand.NewPCG(uint64(worker), 1))
	for n := 0; ctx.Err() == nil; n++ {
		call := load.Call{
			Method: http.MethodPost, Path: testfleet.PathOrders, Key: testfleet.TeamKey("team-1"),
			Body: fmt.Appendf(nil, "order %d of worker %d", n, worker),
		}
		if call.IdempotencyKey = o.obtainKey(rnd, call); call.IdempotencyKey == "" {
			continue
		}
		o.submit(rnd, call)
	}
}

func (o *orderCallers) randomHost(rnd *rand.Rand) string {
	return o.fleet.CallerAddress(rnd.IntN(len(o.fleet.Routers)))
}

func (o *orderCallers) obtainKey(rnd *rand.Rand, call load.Call) string {
	call.Address = o.randomHost(rnd)
	result, err := o.caller.Do(context.Background(), call)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return ""
	}
	return result.IdempotencyKey
}

// submit sends the order to two random hosts concurrently, and repeats that until a response says that it ran or that its
// key is invalid.
func (o *orderCallers) submit(rnd *rand.Rand, call load.Call) {
	for range maxSends {
		var wg sync.WaitGroup
		finished := make([]bool, 2)
		for i := range finished {
			again := call
			again.Address = o.randomHost(rnd)
			wg.Go(func() { finished[i] = o.sendWithKey(again) })
		}
		wg.Wait()
		if finished[0] || finished[1] {
			return
		}
	}
}

func (o *orderCallers) sendWithKey(call load.Call) bool {
	result, err := o.caller.Do(context.Background(), call)
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, attempt{key: call.IdempotencyKey, at: time.Now(), result: result})
	return result.Status == http.StatusOK && result.Complete || result.Code == "key-dead"
}

// injectFaults kills, suspends and cuts off routers until the context is cancelled, and then restores all links.
func injectFaults(ctx context.Context, f *testfleet.Fleet) {
	rnd := rand.New(rand.NewPCG(3, 3))
	for ctx.Err() == nil {
		n := rnd.IntN(len(f.Routers))
		other := rnd.IntN(len(f.Routers))
		switch rnd.IntN(5) {
		case 0:
			f.Routers[n].Kill()
			f.Routers[n].Restart()
		case 1:
			f.Routers[n].Freeze()
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			f.Routers[n].Thaw()
		case 2:
			f.Network.CutBoth(f.RouterIP(n), f.RouterIP(other), testfleet.CutRefuse)
		case 3:
			f.Network.Cut(f.RouterIP(n), f.ServiceIP(rnd.IntN(len(f.Services))), testfleet.CutBlackhole)
		case 4:
			f.Network.Cut(f.RouterIP(n), f.RouterIP(other), testfleet.CutBlackhole)
		}
		time.Sleep(300 * time.Millisecond)
		f.Network.Heal()
	}
	f.Network.Heal()
}

func TestOrdersRunAtMostOnceAndNotRunIsAccurate(t *testing.T) {
	is := is.New(t)
	d := 20 * time.Second
	if testing.Short() {
		d = 3 * time.Second
	}
	f := testfleet.Start(t, testfleet.Options{
		Block: 33, Hosts: []int{2, 2}, Services: 3,
		EditRouter: func(s *settings.Router) {
			s.Timeouts.FirstByte = settings.Duration(1500 * time.Millisecond)
			s.Timeouts.Request = settings.Duration(orderTimeout)
		},
	})
	o := &orderCallers{fleet: f, caller: load.NewCaller(callTimeout)}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() { o.run(ctx, worker) })
	}
	injectFaults(ctx, f)
	wg.Wait()
	// Wait for the orders that are still running.
	time.Sleep(orderTimeout)
	byKey, ranTraces := executedOrders(t, f)
	for key, runs := range byKey {
		if len(runs) > 1 {
			t.Errorf("key %s ran %d times: %+v", key, len(runs), runs)
		}
	}
	counts := map[outcome.Outcome]int{}
	for _, a := range o.attempts {
		counts[a.result.Outcome]++
		o.checkOutcome(t, a, byKey, ranTraces)
	}
	t.Logf("%d keys ran, answers: %v", len(byKey), counts)
	is.True(counts[outcome.Run] > 20)
}

// checkOutcome compares the outcome in a response with the services' records.
func (o *orderCallers) checkOutcome(t *testing.T, a attempt, byKey map[string][]service.ExecutedCall, ranTraces map[string]bool) {
	r := a.result
	switch {
	case r.Outcome == outcome.NotRun && ranTraces[r.Trace]:
		t.Errorf("attempt %s with key %s ran, but the response says that it did not (code %s)", r.Trace, a.key, r.Code)
	case r.Outcome == outcome.NotRun && r.Earlier == outcome.EarlierNone:
		for _, run := range byKey[a.key] {
			if run.At.Before(a.at.Add(-callTimeout)) {
				t.Errorf("the response for key %s says that there was no earlier run (code %s), but it ran at %s", a.key, r.Code, run.At)
			}
		}
	case r.Outcome == outcome.Run && len(byKey[a.key]) != 1:
		t.Errorf("the response for key %s says that it ran, but it ran %d times", a.key, len(byKey[a.key]))
	case r.Outcome == "":
		t.Errorf("response to attempt %s has no outcome: status %d", r.Trace, r.Status)
	}
}

// executedOrders returns the services' records by idempotency key, and the set of request IDs that ran.
func executedOrders(t *testing.T, f *testfleet.Fleet) (map[string][]service.ExecutedCall, map[string]bool) {
	t.Helper()
	byKey, ranTraces := map[string][]service.ExecutedCall{}, map[string]bool{}
	for _, p := range f.Services {
		var s service.State
		if !f.State(p, &s) {
			t.Fatalf("%s does not respond", p.Name)
		}
		for _, run := range s.Runs {
			byKey[run.IdempotencyKey] = append(byKey[run.IdempotencyKey], run)
			ranTraces[run.RequestID] = true
		}
	}
	return byKey, ranTraces
}

func TestIdempotencyKeyIsBoundToTeamRequestAndIssuer(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 34, Hosts: []int{1, 1}, Services: 1, Teams: twoTeams()})
	caller := load.NewCaller(callTimeout)
	order := func(host int, team, key, body string) *load.Result {
		result, err := caller.Do(context.Background(), load.Call{
			Address: f.CallerAddress(host), Method: http.MethodPost, Path: testfleet.PathOrders, Key: testfleet.TeamKey(team),
			IdempotencyKey: key, Body: []byte(body),
		})
		is.NoErr(err)
		return result
	}
	first := order(0, "team-1", "", "sacks")
	is.Equal(first.Outcome, outcome.NotRun)
	is.Equal(first.Earlier, outcome.EarlierNone)
	key := first.IdempotencyKey
	foreign := order(1, "team-2", key, "sacks")
	is.Equal(foreign.Code, "bad-idempotency-key")
	is.Equal(foreign.Outcome, outcome.NotRun)
	ran := order(1, "team-1", key, "sacks")
	is.Equal(ran.Outcome, outcome.Run)
	is.Equal(ran.Earlier, outcome.EarlierNone)
	repeat := order(0, "team-1", key, "sacks")
	is.Equal(repeat.Outcome, outcome.Run)
	is.Equal(repeat.Earlier, outcome.EarlierRun)
	is.Equal(string(repeat.Body), string(ran.Body))
	other := order(1, "team-1", key, "two thousand sacks")
	is.Equal(other.Code, "key-reused")
	is.Equal(other.Outcome, outcome.NotRun)
	is.Equal(other.Earlier, outcome.EarlierPossible)
	unused := order(0, "team-1", "", "sacks").IdempotencyKey
	f.Routers[0].Kill()
	f.Routers[0].Restart()
	f.WaitReady(f.Routers[0])
	for _, dead := range []string{key, unused} {
		testfleet.Eventually(t, 10*time.Second, "the key is reported as invalid", func() bool {
			r := order(1, "team-1", dead, "sacks")
			is.Equal(r.Outcome, outcome.NotRun)
			is.Equal(r.Earlier, outcome.EarlierPossible)
			is.Equal(r.IdempotencyKey, "")
			return r.Code == "key-dead"
		})
	}
	byKey, _ := executedOrders(t, f)
	is.Equal(len(byKey), 1)
	is.Equal(len(byKey[key]), 1)
}

func TestStoppingHostDelegatesKeyIssueAndItsKeysExpire(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{
		Block: 38, Hosts: []int{1, 1}, Services: 1,
		EditRouter: func(s *settings.Router) { s.Timeouts.Drain = settings.Duration(2 * time.Second) },
	})
	caller := load.NewCaller(callTimeout)
	order := func(host int, key string) *load.Result {
		result, err := caller.Do(context.Background(), load.Call{
			Address: f.CallerAddress(host), Method: http.MethodPost, Path: testfleet.PathOrders, Key: testfleet.TeamKey("team-1"),
			IdempotencyKey: key, Body: []byte("sacks"),
		})
		is.NoErr(err)
		return result
	}
	before, outstanding := order(0, "").IdempotencyKey, order(0, "").IdempotencyKey
	f.Routers[0].Signal(syscall.SIGTERM)
	testfleet.Eventually(t, time.Second, "the host is stopping", func() bool {
		state, ok := f.RouterState(f.Routers[0])
		return ok && state.Idempotency.Stopping
	})
	during := order(0, "")
	is.Equal(during.Code, "key-required")
	is.Equal(order(1, before).Outcome, outcome.Run) // issued keys work until the process exits
	<-f.Routers[0].Exited()
	is.Equal(order(1, during.IdempotencyKey).Outcome, outcome.Run)
	// The proxy in front of the stopped host still accepts connections, so that the entry host cannot detect whether the order
	// arrived.
	r := order(1, outstanding)
	is.True(r.Outcome != outcome.Run)
	is.Equal(r.Earlier, outcome.EarlierPossible)
	f.Publish(func(d *document.Document) { d.DataCentres[0].Hosts[0].Retired = true })
	testfleet.Eventually(t, 10*time.Second, "the key of the retired host is reported as invalid", func() bool {
		r := order(1, outstanding)
		return r.Code == "key-dead" && r.Outcome == outcome.NotRun && r.Earlier == outcome.EarlierPossible
	})
	byKey, _ := executedOrders(t, f)
	is.Equal(len(byKey), 2)
}
