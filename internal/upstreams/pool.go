package upstreams

import "github.com/orioleusher/orioleusher/internal/loadbound"

// poolLoad is what is known of one pool's load. The control loop sums it anew at each tick; between ticks each change at
// an upstream of this host is added.
type poolLoad struct {
	totals loadbound.Totals
	recent loadbound.Recent
}

// lower returns the totals on which limits rest.
func (p *poolLoad) lower() loadbound.Totals { return p.recent.Lower(p.totals) }

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
	p.totals.Load = max(0, p.totals.Load+float64(load))
	p.totals.Waiting = max(0, p.totals.Waiting+float64(waiting))
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
	elsewhere := map[string]loadbound.Totals{}
	for name, members := range s.ownership.others {
		elsewhere[name] = s.table.Totals(members)
	}
	for _, st := range s.states {
		if st.counts() {
			name := st.up.Pool.Name
			elsewhere[name] = elsewhere[name].Add(st.totals())
		}
	}
	for name, totals := range elsewhere {
		p := s.pools[name]
		if p == nil {
			p = &poolLoad{}
			s.pools[name] = p
		}
		p.totals = totals
		p.recent.Record(totals.Load)
	}
}
