package upstreams

import (
	"context"
	"time"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// Timing of the control loop.
const (
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a tick that counts as a pause of the process.
	pauseThreshold = 1500 * time.Millisecond
	// idleWatchTime is how long load reports of an upstream that this host does not own are read after its last
	// request.
	idleWatchTime = 10 * time.Second
	// staleDigestWindow is the time after a pause during which a received digest may be as old as the pause and so
	// confirms nothing.
	staleDigestWindow = time.Second
	// confirmTimeout is how long a process that was paused waits for a peer's confirmation before it admits requests
	// without it.
	confirmTimeout = 3 * time.Second
)

// Run runs the control loop until the context ends.
func (s *Set) Run(ctx context.Context) {
	ticker := s.Clock.NewTicker(tickInterval)
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

// Tick applies changes of ownership and of the document, reads load reports that are due and grants slots to queued
// requests.
func (s *Set) Tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.detectPause(now)
	s.lastTick = now
	snap := s.Configuration.Current()
	if snap == nil {
		return
	}
	if s.ownership.outdated(snap, now) {
		s.ownership = s.computeOwnership(snap, now)
	}
	s.recomputePools()
	for name, st := range s.states {
		s.refreshState(ctx, name, st, now)
	}
}

// detectPause starts a takeover of every upstream if the process was paused, since all recorded loads are out of date.
// The caller holds mu.
func (s *Set) detectPause(now time.Time) {
	if s.lastTick.IsZero() || now.Sub(s.lastTick) < pauseThreshold {
		return
	}
	s.lastTick = now
	s.metrics.pauses.Inc(1)
	s.Log.Warn().Str("event", "slept").Send()
	s.resumedAt, s.documentConfirmed = now, false
	s.table.Reset()
	for _, st := range s.states {
		s.startTakeover(st, now)
	}
	clear(s.pools)
	s.ownership = ownershipView{}
}

// confirm lets requests be admitted again after a pause once a peer's document is not newer than the one in force.
func (s *Set) confirm(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.Configuration.Current()
	if s.documentConfirmed || snap == nil || s.Clock.Since(s.resumedAt) < staleDigestWindow {
		return
	}
	s.documentConfirmed = version <= snap.Version
}

// refreshState updates one upstream's state. The caller holds mu.
func (s *Set) refreshState(ctx context.Context, name string, st *state, now time.Time) {
	up, ok := s.availableUpstream(name)
	if !ok {
		st.owned = false
		s.refuseQueued(st, refuseOutOfService(name))
		if st.inFlight == 0 {
			delete(s.states, name)
		}
		return
	}
	st = s.stateOf(up, now)
	st.expireExternalLoad(now)
	s.updateOtherOwnerLoad(st)
	if s.watched(st, now) && !st.polling && !now.Before(st.nextPollAt) {
		st.polling = true
		st.nextPollAt, st.lastPollAt = now.Add(pollInterval), now
		go s.poll(ctx, st, up.Address)
	}
	s.grantQueued(st, now)
}

// watched reports whether the upstream's load report is to be read.
func (s *Set) watched(st *state, now time.Time) bool {
	used := st.inFlight > 0 || now.Sub(st.lastUsedAt) < idleWatchTime
	if s.Policy == settings.PolicyDirect {
		return used
	}
	return st.owned || used
}
