package fleet

import (
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// pick returns the host to ask next: mostly one of those that read the store for this data centre, if this host does
// not, and else a random one that answered last time; a seed if none is known, and now and then anyway.
func (f *Fleet) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Rand.IntN(elsewhereEvery) != 0 {
		if readers := f.readers(); len(readers) > 0 && !slices.Contains(readers, f.Self) {
			return readers[f.Rand.IntN(len(readers))]
		}
	}
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

// readers returns the hosts that read the store for this data centre, as this host sees it: the first few that live, in
// a rendezvous order on which those that know each other agree. The caller holds mu.
func (f *Fleet) readers() []string {
	list := []string{}
	if !f.leaving {
		list = append(list, f.Self)
	}
	now := f.Clock.Now()
	for address, m := range f.members {
		if m.dataCentre == f.DataCentre && !m.lost && !m.leaving && now.Sub(m.heard) < readerSilence {
			list = append(list, address)
		}
	}
	loadbalancer.Order(loadbalancer.HashKey("store-readers"), list)
	return list[:min(len(list), readersPerDataCentre)]
}

// Watching reports whether this host reads the store itself: if it is one of the readers of its data centre, or if it
// has heard of nothing new for a while, whatever the others do. Upstreams publish themselves all the time.
func (f *Fleet) Watching() bool {
	if f.Clock.Since(f.Mirror.Advanced()) > staleAfter {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.readers(), f.Self)
}

// Split implements allowance.Hosts.
func (f *Fleet) Split() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.Floor, len(f.members)+1)
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
