package upstreams

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/transport"
)

// Slot is one request's slot at an upstream. Release must be called once; the other methods record what happened to the
// request until then.
type Slot struct {
	set         *Set
	state       *state
	start       time.Time
	lastChunkAt time.Time
	released    bool
}

// RecordResponse records the header of the upstream's response.
func (sl *Slot) RecordResponse(header http.Header) {
	sl.set.mu.Lock()
	defer sl.set.mu.Unlock()
	now := sl.set.Clock.Now()
	sl.state.ramp.RecordBootID(header.Get(transport.HeaderBootID), now)
	if sl.state.health.RecordSuccess() {
		sl.set.startTakeover(sl.state, now)
	}
}

// RecordChunk records the arrival of a chunk of a streamed response.
func (sl *Slot) RecordChunk() {
	sl.set.mu.Lock()
	defer sl.set.mu.Unlock()
	now := sl.set.Clock.Now()
	if !sl.lastChunkAt.IsZero() {
		if sl.state.slowdown.Observe(now.Sub(sl.lastChunkAt)) {
			sl.state.ramp.Suspect(now)
			sl.state.pollSoon()
		} else {
			sl.state.ramp.ClearSuspicion()
		}
	}
	sl.lastChunkAt = now
}

// RecordFailure records that the attempt got no response or that the response broke off, for a reason other than
// cancellation by the caller.
func (sl *Slot) RecordFailure(err error) {
	sl.set.mu.Lock()
	defer sl.set.mu.Unlock()
	sl.set.recordFailure(sl.state, err)
}

// Release frees the slot.
func (sl *Slot) Release() {
	sl.set.mu.Lock()
	defer sl.set.mu.Unlock()
	if sl.released {
		return
	}
	sl.released = true
	sl.state.observeDuration(sl.set.Clock.Since(sl.start))
	sl.set.releaseSlot(sl.state)
}

// recordFailure updates the upstream's health after a failure. The caller holds mu.
func (s *Set) recordFailure(st *state, err error) {
	now := s.Clock.Now()
	st.pollSoon()
	var down bool
	if connectFailed(err) {
		_, peak := st.recentInFlight.minMax(now, st.inFlight)
		if !st.down() {
			st.ramp.RecordLoss(peak, now)
		}
		down = st.health.RecordConnectFailure(now)
	} else {
		down = st.health.RecordFailure(now)
	}
	if down {
		s.metrics.down.Inc(1)
		s.Log.Warn().Str("event", "upstream-down").Str("peer", st.up.Name).Err(err).Send()
		s.refuseQueued(st, refuseDown(st, now))
	}
}

// connectFailed reports whether no connection to the upstream could be opened.
func connectFailed(err error) bool {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code == transport.CodeConnectFailed
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
