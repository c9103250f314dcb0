package upstreams

import "github.com/orioleusher/orioleusher/internal/loadbound"

// poolLoad is what is known of one pool's load. The control loop sums it anew at each tick; between ticks each change at
// an upstream of this host is added.
type poolLoad struct {
	// own is the load of the upstreams that this host owns, which it knows exactly; elsewhere is that of the others, as
	// far as it is known.
	own       loadbound.Totals
	elsewhere loadbound.Totals
	recent    loadbound.RecentLoads
}

// lower returns the totals on which limits rest.
func (p *poolLoad) lower() loadbound.Totals { return p.recent.WithLowestLoad(p.elsewhere).Add(p.own) }

// pool returns the load of the upstream's pool. The caller holds mu.
func (s *Set) pool(st *state) *poolLoad {
	name := st.up.Pool.Name
	if s.pools[name] == nil {
		s.pools[name] = &poolLoad{}
	}
	return s.pools[name]
}

// changed adds a change of the upstream's load and queue to its pool. The caller holds mu.
func (s *Set) changed(st *state, load, waiting int) {
	if !st.counts() {
		return
	}
	p := s.pool(st)
	p.own.Load = max(0, p.own.Load+float64(load))
	p.own.Waiting = max(0, p.own.Waiting+float64(waiting))
}

// waits adds n to the requests that wait and that no other upstream has a place for. The caller holds mu.
func (s *Set) waits(st *state, w *waiter, n int) {
	if w.last {
		st.waiting += n
		s.changed(st, 0, n)
	}
}

// sumPools sums every pool anew: what other hosts report and what this host owns. The caller holds mu.
func (s *Set) sumPools() {
	own := map[string]loadbound.Totals{}
	for _, st := range s.states {
		if st.counts() {
			name := st.up.Pool.Name
			own[name] = own[name].Add(st.totals())
		}
	}
	for name, members := range s.ownership.others {
		p := s.pools[name]
		if p == nil {
			p = &poolLoad{}
			s.pools[name] = p
		}
		p.own, p.elsewhere = own[name], s.table.Totals(members)
		p.recent.Record(p.elsewhere.Load)
	}
}
