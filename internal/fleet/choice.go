package fleet

import (
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// pick returns a random host that answered last time, or a seed if none is known, and now and then anyway.
func (f *Fleet) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var known []string
	for address, m := range f.members {
		if !m.lost || f.Rand.IntN(lostEvery) == 0 {
			known = append(known, address)
		}
	}
	if len(known) == 0 || f.Rand.IntN(seedEvery) == 0 {
		for _, seed := range f.seeds {
			if seed != f.Self {
				known = append(known, seed)
			}
		}
	}
	if len(known) == 0 {
		return ""
	}
	slices.Sort(known) // the order of a map is not that of a seed
	return known[f.Rand.IntN(len(known))]
}

// Split implements allowance.Hosts.
func (f *Fleet) Split() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.MinHosts, len(f.members)+1)
}

// Chosen implements allowance.Hosts.
func (f *Fleet) Chosen(key uint64, n int) bool {
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
