package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// outDelay is the time after which an upstream that was taken out gets no new work.
const outDelay = 3 * time.Second

// requests returns how many requests each of the engines has received.
func requests(t *testing.T, f *testfleet.Fleet, engines ...int) (total uint64) {
	t.Helper()
	for _, n := range engines {
		total += engineState(t, f, n).Stats.Requests
	}
	return total
}

func setEngineState(n int, state document.State) func(*document.Document) {
	return func(d *document.Document) { d.Pools[0].Upstreams[n].State = state }
}

func TestALeavingEngineGetsNoNewWorkAndFinishesItsOwn(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 56, Hosts: []int{1, 1}, Engines: 4})
	waitWarm(t, f)
	d := &driver{fleet: f, entries: []int{0, 1}, team: "team-1", callers: 12, tokens: 64, timeout: 20 * time.Second}
	d.start()
	time.Sleep(time.Second)
	is.True(requests(t, f, 0) > 0)
	f.Publish(setEngineState(0, document.StateOut))
	time.Sleep(outDelay)
	before := requests(t, f, 0)
	time.Sleep(2 * time.Second)
	is.Equal(requests(t, f, 0), before)
	f.Publish(setEngineState(0, document.StateIn))
	testfleet.Eventually(t, 10*time.Second, "the engine gets work again", func() bool { return requests(t, f, 0) > before })
	results := d.finish()
	is.Equal(count(results, seen.whole), len(results))
}

func TestADataCentreTakenOutGetsNoNewWorkFromAHostThatSlept(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 57, Hosts: []int{1, 2}, Engines: 4})
	waitWarm(t, f)
	stale := &driver{fleet: f, entries: []int{0}, team: "team-1", callers: 12, tokens: 32, timeout: 30 * time.Second}
	others := &driver{fleet: f, entries: []int{1, 2}, team: "team-1", callers: 6, tokens: 32, timeout: 30 * time.Second}
	stale.start()
	others.start()
	time.Sleep(time.Second)
	// The only host of the first data centre owns its engines; it sleeps while the data centre is taken out, and for a
	// second after it woke it reaches neither its peers nor the platform.
	f.Routers[0].Freeze()
	for _, ip := range []string{f.RouterIP(1), f.RouterIP(2), f.PlatformIP()} {
		f.Network.CutBoth(f.RouterIP(0), ip, testfleet.CutRefuse)
	}
	f.Publish(func(d *document.Document) { d.DataCentres[0].State = document.StateOut })
	time.Sleep(outDelay + 2*time.Second)
	before := requests(t, f, 0, 2)
	f.Routers[0].Thaw()
	time.Sleep(time.Second)
	f.Network.Heal()
	time.Sleep(3 * time.Second)
	is.Equal(requests(t, f, 0, 2), before)
	f.Publish(func(d *document.Document) { d.DataCentres[0].State = document.StateIn })
	testfleet.Eventually(t, 10*time.Second, "its engines get work again", func() bool { return requests(t, f, 0, 2) > before })
	for _, d := range []*driver{stale, others} {
		results := d.finish()
		lost := count(results, func(s seen) bool { return !s.whole() && !s.refused() })
		t.Logf("%d calls, %d refused, %d lost", len(results), count(results, seen.refused), lost)
	}
}

func TestAFrozenEngineIsLeftOutAndTakenBack(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 58, Hosts: []int{1, 1}, Engines: 4})
	waitWarm(t, f)
	d := &driver{fleet: f, entries: []int{0, 1}, team: "team-1", callers: 12, tokens: 32, timeout: 30 * time.Second}
	d.start()
	time.Sleep(time.Second)
	const frozen = 8 * time.Second
	f.InjectFault(f.Engines[0], faults.Freeze, frozen)
	testfleet.Eventually(t, 6*time.Second, "the engine is found down", func() bool {
		for _, r := range f.Routers {
			s, _ := f.RouterState(r)
			for _, u := range s.Upstreams {
				if u.Name == "engine-1" && u.Health == "down" {
					return true
				}
			}
		}
		return false
	})
	found := time.Now()
	time.Sleep(frozen)
	before := requests(t, f, 0)
	testfleet.Eventually(t, 20*time.Second, "the engine gets work again", func() bool { return requests(t, f, 0) > before })
	results := d.finish()
	slow := count(results, func(s seen) bool {
		return s.at.After(found.Add(2*time.Second)) && s.result != nil && s.result.FirstByte > 2*time.Second &&
			s.at.Add(-s.result.Took).After(found.Add(time.Second))
	})
	t.Logf("%d calls, %d whole, %d slow that began after the engine was found down", len(results), count(results, seen.whole), slow)
	is.Equal(slow, 0)
}
