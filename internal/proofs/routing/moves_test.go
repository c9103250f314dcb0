package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// outDelay is the time after which an upstream that was taken out must not get new requests.
const outDelay = 3 * time.Second

// requests returns the total number of requests that the engines have received.
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

func TestLeavingEngineFinishesRequestsAndGetsNoNewOnes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 56, Hosts: []int{1, 1}, Engines: 4})
	waitWarm(t, f)
	d := &loadGenerator{fleet: f, entryRouters: []int{0, 1}, team: "team-1", callers: 12, answerTokens: 64, timeout: 20 * time.Second}
	d.start()
	time.Sleep(time.Second)
	is.True(requests(t, f, 0) > 0)
	f.Publish(setEngineState(0, document.StateOut))
	time.Sleep(outDelay)
	before := requests(t, f, 0)
	time.Sleep(2 * time.Second)
	is.Equal(requests(t, f, 0), before)
	f.Publish(setEngineState(0, document.StateIn))
	testfleet.Eventually(t, 10*time.Second, "the engine gets requests again", func() bool { return requests(t, f, 0) > before })
	results := d.finish()
	is.Equal(countResults(results, callResult.succeeded), len(results))
}

func TestPausedHostSendsNothingToDataCentreTakenOut(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 57, Hosts: []int{1, 2}, Engines: 4})
	waitWarm(t, f)
	stale := &loadGenerator{fleet: f, entryRouters: []int{0}, team: "team-1", callers: 12, answerTokens: 32, timeout: 30 * time.Second}
	others := &loadGenerator{fleet: f, entryRouters: []int{1, 2}, team: "team-1", callers: 6, answerTokens: 32, timeout: 30 * time.Second}
	stale.start()
	others.start()
	time.Sleep(time.Second)
	// The only host of the first data centre owns its engines. It is suspended while the data centre is taken out. For one
	// second after it resumes it can reach neither its peers nor the platform.
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
	testfleet.Eventually(t, 10*time.Second, "its engines get requests again", func() bool { return requests(t, f, 0, 2) > before })
	for _, d := range []*loadGenerator{stale, others} {
		results := d.finish()
		lost := countResults(results, func(s callResult) bool { return !s.succeeded() && !s.refused() })
		t.Logf("%d calls, %d refused, %d lost", len(results), countResults(results, callResult.refused), lost)
	}
}

func TestFrozenEngineIsSkippedAndReadmitted(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 58, Hosts: []int{1, 1}, Engines: 4})
	waitWarm(t, f)
	d := &loadGenerator{fleet: f, entryRouters: []int{0, 1}, team: "team-1", callers: 12, answerTokens: 32, timeout: 30 * time.Second}
	d.start()
	time.Sleep(time.Second)
	const frozen = 8 * time.Second
	f.InjectFault(f.Engines[0], faults.Freeze, frozen)
	testfleet.Eventually(t, 6*time.Second, "the engine is detected as down", func() bool {
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
	testfleet.Eventually(t, 20*time.Second, "the engine gets requests again", func() bool { return requests(t, f, 0) > before })
	results := d.finish()
	slow := countResults(results, func(s callResult) bool {
		return s.at.After(found.Add(2*time.Second)) && s.result != nil && s.result.FirstByte > 2*time.Second &&
			s.at.Add(-s.result.Duration).After(found.Add(time.Second))
	})
	t.Logf("%d calls, %d complete, %d slow ones that started after the engine was detected as down", len(results), countResults(results, callResult.succeeded), slow)
	is.Equal(slow, 0)
}
