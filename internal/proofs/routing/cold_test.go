package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// coldLimit is the maximum number of concurrent requests of a cold stand-in engine; with more it crashes.
const coldLimit = 4

func TestColdEnginesAreNotOverloaded(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 55, Hosts: []int{1, 1}, Engines: 3})
	// All engines have just started and are cold.
	d := &loadGenerator{fleet: f, entryRouters: []int{0, 1}, team: "team-1", callers: 18, answerTokens: 32, timeout: 20 * time.Second}
	d.start()
	time.Sleep(6 * time.Second)
	// One engine crashes and restarts twice in a row, the second time while it is cold.
	f.InjectFault(f.Engines[0], faults.Crash, time.Second)
	time.Sleep(2 * time.Second)
	f.InjectFault(f.Engines[0], faults.Crash, time.Second)
	time.Sleep(5 * time.Second)
	// All engines crash at once.
	for _, e := range f.Engines {
		f.InjectFault(e, faults.Crash, 500*time.Millisecond)
	}
	lost := time.Now()
	time.Sleep(7 * time.Second)
	results := d.finish()
	injectedCrashes := []uint64{3, 1, 1}
	for n := range f.Engines {
		s := engineState(t, f, n)
		t.Logf("engine %d: %d requests, %d crashes, at most %d in flight while cold", n+1, s.Stats.Requests, s.Stats.Crashes, s.Stats.MaxInFlightCold)
		is.True(s.Stats.MaxInFlightCold <= coldLimit)
		is.Equal(s.Stats.Crashes, injectedCrashes[n]) // no crashes other than the injected ones
	}
	late := countResults(results, func(s callResult) bool { return s.at.After(lost.Add(4*time.Second)) && s.succeeded() })
	cut := countResults(results, func(s callResult) bool { return !s.succeeded() && !s.refused() })
	t.Logf("%d calls, %d refused, %d cut off, %d complete after all engines crashed", len(results), countResults(results, callResult.refused), cut, late)
	is.True(late > 0)
	// A crash may cut off all requests in flight on the engine, which are at most one per caller.
	is.True(cut <= 18*3)
}
