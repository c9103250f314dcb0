package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// boundTarget is the pool's load factor: the highest load over the mean.
const boundTarget = 1.25

// spread is how evenly the engines were loaded.
type spread struct {
	// average is the highest engine's mean load over the mean of all.
	average float64
	// median is the median over all samples of the highest load over the mean.
	median float64
	mean   float64
}

// measureSpread drives a warm fleet with few large chats and samples the engines' loads.
func measureSpread(t *testing.T, block int, policy settings.RoutingPolicy) (spread, []seen) {
	t.Helper()
	f := testfleet.Start(t, testfleet.Options{
		Block: block, Hosts: []int{2, 2}, Engines: 6,
		EditRouter: func(r *settings.Router) { r.RoutingPolicy = policy },
	})
	waitWarm(t, f)
	d := &driver{fleet: f, entries: []int{0, 1, 2, 3}, team: "team-1", callers: 48, tokens: 64, timeout: 20 * time.Second}
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
	return spread{average: slices.Max(sums) / mean(sums), median: ratios[len(ratios)/2], mean: mean(sums) / samples}, d.finish()
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func TestNoEngineCarriesMoreThanTheBound(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	is := is.New(t)
	s, results := measureSpread(t, 50, settings.PolicyBounded)
	t.Logf("bounded: %d requests, highest average load over mean %.2f, median %.2f, mean load %.1f",
		len(results), s.average, s.median, s.mean)
	is.Equal(count(results, seen.whole), len(results))
	is.True(s.average <= boundTarget)
	is.True(s.median <= boundTarget)
}

func TestWithoutABoundLargeChatsOverloadAnEngine(t *testing.T) {
	if testing.Short() {
		t.Skip("drives a fleet for longer than 8 s")
	}
	for block, policy := range map[int]settings.RoutingPolicy{51: settings.PolicyRendezvous, 52: settings.PolicyDirect} {
		is := is.New(t)
		s, results := measureSpread(t, block, policy)
		t.Logf("%s: %d requests, highest average load over mean %.2f, median %.2f, mean load %.1f",
			policy, len(results), s.average, s.median, s.mean)
		is.True(s.median > boundTarget)
	}
}
