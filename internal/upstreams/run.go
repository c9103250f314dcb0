package upstreams

import (
	"context"
	"time"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// The pace of the control loop.
const (
	tick = 100 * time.Millisecond
	// sleepGap is the time without a tick after which the process counts as having slept.
	sleepGap = 1500 * time.Millisecond
	// idleLife is how long an upstream that this host does not own is watched after its last request.
	idleLife = 10 * time.Second
	// settleTime is how long after a sleep a digest may have waited as long as the process slept.
	settleTime = time.Second
	// confirmTimeout is how long a process that slept waits for a peer before it goes on alone.
	confirmTimeout = 3 * time.Second
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
	if s.ownership.due(snap, now) {
		s.ownership = s.findOwned(snap, now)
	}
	s.sumPools()
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
	s.wokeAt, s.confirmed = now, false
	s.table.Reset()
	for _, st := range s.states {
		s.takeOver(st, now)
	}
	clear(s.pools)
	s.ownership = owned{}
}

// confirm ends the hold after a sleep when a peer's document is not newer than the one in force.
func (s *Set) confirm(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.Configuration.Current()
	if s.confirmed || snap == nil || s.Clock.Since(s.wokeAt) < settleTime {
		return
	}
	s.confirmed = version <= snap.Version
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
	s.findRival(st)
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
