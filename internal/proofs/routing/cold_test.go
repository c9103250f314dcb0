package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// coldLimit is the number of requests that a stand-in engine bears while cold.
const coldLimit = 4

func TestColdEnginesGetNoMoreThanTheyBear(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 55, Hosts: []int{1, 1}, Engines: 3})
	// Every engine is cold now, since it has just started.
	d := &driver{fleet: f, entries: []int{0, 1}, team: "team-1", callers: 18, tokens: 32, timeout: 20 * time.Second}
	d.start()
	time.Sleep(6 * time.Second)
	// One engine is lost and back twice in a row, the second time while it is cold.
	f.InjectFault(f.Engines[0], faults.Crash, time.Second)
	time.Sleep(2 * time.Second)
	f.InjectFault(f.Engines[0], faults.Crash, time.Second)
	time.Sleep(5 * time.Second)
	// All are lost at once.
	for _, e := range f.Engines {
		f.InjectFault(e, faults.Crash, 500*time.Millisecond)
	}
	lost := time.Now()
	time.Sleep(7 * time.Second)
	results := d.finish()
	orders := []uint64{3, 1, 1}
	for n := range f.Engines {
		s := engineState(t, f, n)
		t.Logf("engine %d: %d requests, %d crashes, highest while cold %d", n+1, s.Stats.Requests, s.Stats.Crashes, s.Stats.MaxInFlightCold)
		is.True(s.Stats.MaxInFlightCold <= coldLimit)
		is.Equal(s.Stats.Crashes, orders[n]) // only those that were ordered
	}
	late := count(results, func(s seen) bool { return s.at.After(lost.Add(4*time.Second)) && s.whole() })
	cut := count(results, func(s seen) bool { return !s.whole() && !s.refused() })
	t.Logf("%d calls, %d refused, %d cut off, %d whole after all were lost", len(results), count(results, seen.refused), cut, late)
	is.True(late > 0)
	// A crash may cut off what is in flight on the engine; the callers that are driven bound that for each crash.
	is.True(cut <= 18*3)
}
