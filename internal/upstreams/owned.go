package upstreams

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbound"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// ownershipInterval is how often a host recomputes which upstreams it owns.
const ownershipInterval = 500 * time.Millisecond

// ownershipView is the result of one ownership computation.
type ownershipView struct {
	snap *document.Snapshot
	at   time.Time
	// others lists, by pool, the upstreams that accept work and that this host does not own.
	others map[string][]loadbound.Member
}

// outdated reports whether ownership has to be recomputed.
func (o *ownershipView) outdated(snap *document.Snapshot, now time.Time) bool {
	return o.snap != snap || now.Sub(o.at) >= ownershipInterval
}

// computeOwnership determines which upstreams this host owns and starts the takeover ramp of newly owned ones. The
// caller holds mu.
func (s *Set) computeOwnership(snap *document.Snapshot, now time.Time) ownershipView {
	found := ownershipView{snap: snap, at: now, others: map[string][]loadbound.Member{}}
	centres := s.liveCentres(snap)
	self, _ := snap.Host(s.Self)
	for i := range snap.Pools {
		pool := &snap.Pools[i]
		others := []loadbound.Member{}
		for j := range pool.Upstreams {
			up := &pool.Upstreams[j]
			if !snap.AcceptsNewWork(up) {
				s.setOwned(document.PoolUpstream{Upstream: up, Pool: pool}, false, now)
				continue
			}
			// The owner is a host in the upstream's own data centre as long as one is live there.
			inOtherDataCentre := up.DataCentre != self.DataCentre && centres[up.DataCentre]
			owns := s.Policy == settings.PolicyDirect || !inOtherDataCentre && s.isOwner(snap, up)
			s.setOwned(document.PoolUpstream{Upstream: up, Pool: pool}, owns, now)
			if !owns {
				others = append(others, loadbound.Member{Name: up.Name, Capacity: up.Capacity})
			}
		}
		found.others[pool.Name] = others
	}
	return found
}

// liveCentres returns the data centres that have a live host.
func (s *Set) liveCentres(snap *document.Snapshot) map[string]bool {
	centres := map[string]bool{}
	for _, host := range snap.EntryHosts() {
		if !centres[host.DataCentre] && !host.Retired && s.Liveness.Live(host.Name) {
			centres[host.DataCentre] = true
		}
	}
	return centres
}

func (s *Set) isOwner(snap *document.Snapshot, up *document.Upstream) bool {
	host, ok := ownership.Owner(snap, s.Liveness, up)
	return ok && host.Name == s.Self
}

// setOwned records whether this host owns the upstream and starts a takeover if that is new. The caller holds mu.
func (s *Set) setOwned(up document.PoolUpstream, owns bool, now time.Time) {
	st := s.states[up.Name]
	switch {
	case st == nil && owns:
		s.stateOf(up, now).owned = true
	case st != nil && st.owned != owns:
		st.owned = owns
		if owns {
			s.startTakeover(st, now)
		}
	}
}
