package upstreams

import (
	"context"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbound"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// The pace of the control loop.
const (
	tick = 100 * time.Millisecond
	// sleepGap is the time without a tick after which the process counts as having slept.
	sleepGap = 1500 * time.Millisecond
	// idleLife is how long an upstream that this host does not own is watched after its last request.
	idleLife = 10 * time.Second
)

// Run keeps the set up to date until the context ends.
func (s *Set) Run(ctx context.Context) {
	ticker := s.Clock.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.Tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Tick takes over changes of ownership and of the document, reads load reports that are due and grants places.
func (s *Set) Tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.noticeSleep(now)
	s.lastTick = now
	snap := s.Configuration.Current()
	if snap == nil {
		return
	}
	for i := range snap.Pools {
		s.refreshPool(snap, &snap.Pools[i], now)
	}
	for name, st := range s.states {
		s.refreshState(ctx, name, st, now)
	}
}

// noticeSleep treats every upstream as newly taken over if the process slept: what it knew is old. The caller holds mu.
func (s *Set) noticeSleep(now time.Time) {
	if s.lastTick.IsZero() || now.Sub(s.lastTick) < sleepGap {
		return
	}
	s.lastTick = now
	s.metrics.slept.Inc(1)
	s.Log.Warn().Str("event", "slept").Send()
	s.table.Forget()
	for _, st := range s.states {
		s.takeOver(st, now)
	}
	clear(s.elsewhere)
}

// refreshPool finds which of the pool's upstreams this host owns and sums the load of the others. The caller holds mu.
func (s *Set) refreshPool(snap *document.Snapshot, pool *document.Pool, now time.Time) {
	var others []loadbound.Member
	for i := range pool.Upstreams {
		up := &pool.Upstreams[i]
		owned := snap.TakesWork(up) && s.owns(snap, up)
		if st := s.states[up.Name]; st != nil && st.owned != owned {
			st.owned = owned
			if owned {
				s.takeOver(st, now)
			}
		} else if st == nil && owned {
			s.stateOf(document.PoolUpstream{Upstream: up, Pool: pool}, now).owned = true
		}
		if !owned && snap.TakesWork(up) {
			others = append(others, loadbound.Member{Name: up.Name, Capacity: up.Capacity})
		}
	}
	s.elsewhere[pool.Name] = s.table.Totals(others)
}

// refreshState brings one upstream up to date. The caller holds mu.
func (s *Set) refreshState(ctx context.Context, name string, st *state, now time.Time) {
	up, ok := s.takesWork(name)
	if !ok {
		st.owned = false
		s.flush(st, refuseOut(name))
		if st.inFlight == 0 {
			delete(s.states, name)
		}
		return
	}
	st = s.stateOf(up, now)
	st.expireForeign(now)
	st.rival = s.rival(name)
	if s.watched(st, now) && !st.polling && !now.Before(st.pollAt) {
		st.polling = true
		st.pollAt, st.polledAt = now.Add(pollInterval), now
		go s.poll(ctx, st, up.Address)
	}
	s.drain(st, now)
}

// watched reports whether the upstream's load report is read.
func (s *Set) watched(st *state, now time.Time) bool {
	used := st.inFlight > 0 || now.Sub(st.usedAt) < idleLife
	if s.Policy == settings.PolicyDirect {
		return used
	}
	return st.owned || used
}
