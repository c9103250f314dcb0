package fleet

import (
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// pickTarget returns a random member or seed, or "" if there is none. An unreachable member is a candidate in one of
// unreachableRoundInterval rounds. Seeds are candidates if there are no others, and in one of seedRoundInterval rounds.
func (f *Fleet) pickTarget() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []string
	for address, m := range f.members {
		if !m.unreachable || f.Rand.IntN(unreachableRoundInterval) == 0 {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 || f.Rand.IntN(seedRoundInterval) == 0 {
		for _, seed := range f.seeds {
			if seed != f.Self {
				candidates = append(candidates, seed)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.Sort(candidates) // map order would make runs with one random seed differ
	return candidates[f.Rand.IntN(len(candidates))]
}

// ShareCount implements allowance.FleetView.
func (f *Fleet) ShareCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.MinHosts, len(f.members)+1)
}

// RanksAmongFirst implements allowance.FleetView.
func (f *Fleet) RanksAmongFirst(key uint64, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := loadbalancer.Score(key, f.Self)
	before := 0
	for address := range f.members {
		if loadbalancer.Score(key, address) > own {
			before++
		}
	}
	return before < n
}
