package upstreams

import "github.com/orioleusher/orioleusher/internal/loadbound"

// poolLoad is the known load of one pool. Each tick of the control loop recomputes it; between ticks, changes at
// upstreams of this host are added.
type poolLoad struct {
	// local is the load of the upstreams that this host owns, which it knows exactly; remote is the load of the others
	// as last reported.
	local  loadbound.Totals
	remote loadbound.Totals
	recent loadbound.RecentLoads
}

// limitTotals returns the totals from which load limits are computed.
func (p *poolLoad) limitTotals() loadbound.Totals {
	return p.recent.WithLowestLoad(p.remote).Add(p.local)
}

// pool returns the load of the upstream's pool. The caller holds mu.
func (s *Set) pool(st *state) *poolLoad {
	name := st.up.Pool.Name
	if s.pools[name] == nil {
		s.pools[name] = &poolLoad{}
	}
	return s.pools[name]
}

// addPoolLoad adds a change in the upstream's load and queue to its pool. The caller holds mu.
func (s *Set) addPoolLoad(st *state, load, waiting int) {
	if !st.countsTowardMean() {
		return
	}
	p := s.pool(st)
	p.local.Load = max(0, p.local.Load+float64(load))
	p.local.Waiting = max(0, p.local.Waiting+float64(waiting))
}

// countWaiting adds n to the queued requests for which no other upstream has a free slot. The caller holds mu.
func (s *Set) countWaiting(st *state, w *waiter, n int) {
	if w.lastResort {
		st.waiting += n
		s.addPoolLoad(st, 0, n)
	}
}

// recomputePools recomputes the load of every pool from the reports of other hosts and the upstreams that this host
// owns. The caller holds mu.
func (s *Set) recomputePools() {
	local := map[string]loadbound.Totals{}
	for _, st := range s.states {
		if st.countsTowardMean() {
			name := st.up.Pool.Name
			local[name] = local[name].Add(st.totals())
		}
	}
	for name, members := range s.ownership.others {
		p := s.pools[name]
		if p == nil {
			p = &poolLoad{}
			s.pools[name] = p
		}
		p.local, p.remote = local[name], s.table.Totals(members)
		p.recent.Record(p.remote.Load)
	}
}
