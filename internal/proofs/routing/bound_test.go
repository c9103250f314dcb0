package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// maxLoadRatio is the load factor of the pool: the maximum ratio of an engine's load to the mean load.
const maxLoadRatio = 1.25

// loadSpread describes how evenly the engines were loaded.
type loadSpread struct {
	// average is the ratio of the most loaded engine's average load to the mean over all engines.
	average float64
	// median is the median, over all samples, of the ratio of the highest load to the mean load.
	median float64
	mean   float64
}

// measureSpread runs load with a few large chats on a warm fleet and samples the engines' loads.
func measureSpread(t *testing.T, block int, policy settings.RoutingPolicy) (loadSpread, []callResult) {
	t.Helper()
	f := testfleet.Start(t, testfleet.Options{
		Block: block, Hosts: []int{2, 2}, Engines: 6,
		EditRouter: func(r *settings.Router) { r.RoutingPolicy = policy },
	})
	waitWarm(t, f)
	d := &loadGenerator{fleet: f, entryRouters: []int{0, 1, 2, 3}, team: "team-1", callers: 48, answerTokens: 64, timeout: 20 * time.Second}
	d.start()
	const settle, samples, interval = 3 * time.Second, 80, 50 * time.Millisecond
	time.Sleep(settle)
	sums := make([]float64, len(f.Engines))
	var ratios []float64
	for range samples {
		time.Sleep(interval)
		loads := make([]float64, len(f.Engines))
		for n := range f.Engines {
			s := engineState(t, f, n)
			loads[n] = float64(s.Waiting + s.Active)
			sums[n] += loads[n]
		}
		ratios = append(ratios, slices.Max(loads)/mean(loads))
	}
	slices.Sort(ratios)
	return loadSpread{average: slices.Max(sums) / mean(sums), median: ratios[len(ratios)/2], mean: mean(sums) / samples}, d.finish()
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func TestBoundedPolicyLimitsEngineLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	is := is.New(t)
	s, results := measureSpread(t, 50, settings.PolicyBounded)
	t.Logf("bounded: %d requests, highest average load / mean %.2f, median ratio %.2f, mean load %.1f",
		len(results), s.average, s.median, s.mean)
	is.Equal(countResults(results, callResult.succeeded), len(results))
	is.True(s.average <= maxLoadRatio)
	is.True(s.median <= maxLoadRatio)
}

func TestUnboundedPoliciesOverloadAnEngine(t *testing.T) {
	if testing.Short() {
		t.Skip("runs load for more than 8 s")
	}
	for block, policy := range map[int]settings.RoutingPolicy{51: settings.PolicyRendezvous, 52: settings.PolicyDirect} {
		is := is.New(t)
		s, results := measureSpread(t, block, policy)
		t.Logf("%s: %d requests, highest average load / mean %.2f, median ratio %.2f, mean load %.1f",
			policy, len(results), s.average, s.median, s.mean)
		is.True(s.median > maxLoadRatio)
	}
}
