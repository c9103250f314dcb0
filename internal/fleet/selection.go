package fleet

import (
	"cmp"
	"slices"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

const (
	// minLocalHosts is the number of other hosts in the local data centre from which on most rounds stay inside it.
	minLocalHosts = 8
	// One in remoteRoundInterval of these rounds goes to another data centre.
	remoteRoundInterval = 4
)

// pickTarget returns a random member or seed, or "" if there is none. An unreachable member is a candidate in one of
// unreachableRoundInterval rounds. Seeds are candidates if there are no others, and in one of seedRoundInterval rounds.
func (f *Fleet) pickTarget() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	localRound := f.localHosts() >= minLocalHosts && f.Rand.IntN(remoteRoundInterval) > 0
	var candidates []string
	for address, m := range f.members {
		if localRound && m.dataCentreHash != f.dataCentreHash {
			continue
		}
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

// pickAnnounced returns up to announceFanout random members that respond and are not leaving.
func (f *Fleet) pickAnnounced() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []string
	for address, m := range f.members {
		if !m.unreachable && !m.leaving {
			candidates = append(candidates, address)
		}
	}
	slices.Sort(candidates) // map order would make runs with one random seed differ
	f.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), announceFanout)]
}

// localHosts returns the number of other hosts in the local data centre. The caller holds mu.
func (f *Fleet) localHosts() int {
	n := 0
	for _, m := range f.members {
		if m.dataCentreHash == f.dataCentreHash {
			n++
		}
	}
	return n
}

// LocalPeers returns the addresses of the other hosts of the local data centre that respond and are not leaving.
func (f *Fleet) LocalPeers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []string
	for address, m := range f.members {
		if m.dataCentreHash == f.dataCentreHash && !m.leaving && !m.unreachable {
			peers = append(peers, address)
		}
	}
	slices.Sort(peers)
	return peers
}

// sendsLoads reports whether messages to a host of the data centre hold loads. Hosts of a large data centre learn the
// loads of all upstreams from each other. An unknown data centre has hash 0.
func (f *Fleet) sendsLoads(dataCentreHash uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return dataCentreHash == 0 || dataCentreHash == f.dataCentreHash || f.localHosts() < minLocalHosts
}

// Reachable returns the peer addresses of the hosts that responded when this one last asked, and are not leaving.
func (f *Fleet) Reachable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, m := range f.members {
		if !m.leaving && !m.unreachable {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ShareCount implements allowance.FleetView.
func (f *Fleet) ShareCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.MinHosts, len(f.members)+1)
}

// Rank implements allowance.FleetView.
func (f *Fleet) Rank(key uint64) (rank, hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := loadbalancer.Score(key, f.Self)
	for address := range f.members {
		if loadbalancer.Score(key, address) > own {
			rank++
		}
	}
	return rank, len(f.members) + 1
}

// Ranked implements allowance.FleetView.
func (f *Fleet) Ranked(key uint64) []string {
	f.mu.Lock()
	hosts := make([]scoredHost, 0, len(f.members)+1)
	hosts = append(hosts, scoredHost{f.Self, loadbalancer.Score(key, f.Self)})
	for address := range f.members {
		hosts = append(hosts, scoredHost{address, loadbalancer.Score(key, address)})
	}
	f.mu.Unlock()
	return rankHosts(hosts)
}

// rankHosts returns the addresses of the hosts by descending score.
func rankHosts(hosts []scoredHost) []string {
	slices.SortFunc(hosts, func(a, b scoredHost) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		addresses[i] = h.address
	}
	return addresses
}
