package upstreams

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/transport"
)

// Slot is one request's place at an upstream. End must be called once; the other methods say what was seen meanwhile.
type Slot struct {
	set   *Set
	state *state
	start time.Time
	last  time.Time
	ended bool
}

// RecordResponse records the header of the answer.
func (p *Slot) RecordResponse(header http.Header) {
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	now := p.set.Clock.Now()
	p.state.ramp.RecordBootID(header.Get(transport.HeaderBootID), now)
	if p.state.health.RecordSuccess() {
		p.set.takeOver(p.state, now)
	}
}

// RecordChunk records that a piece of a streamed answer arrived.
func (p *Slot) RecordChunk() {
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	now := p.set.Clock.Now()
	if !p.last.IsZero() {
		if p.state.pace.Observe(now.Sub(p.last)) {
			p.state.ramp.Suspect(now)
			p.state.pollSoon()
		} else {
			p.state.ramp.ClearSuspicion()
		}
	}
	p.last = now
}

// RecordFailure records that the attempt got no answer or that its answer broke off, for a reason other than the caller's.
func (p *Slot) RecordFailure(err error) {
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	p.set.failed(p.state, err)
}

// Release gives the place back.
func (p *Slot) Release() {
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.state.observeDuration(p.set.Clock.Since(p.start))
	p.set.giveBack(p.state)
}

// failed takes a failure of the upstream into its health. The caller holds mu.
func (s *Set) failed(st *state, err error) {
	now := s.Clock.Now()
	st.pollSoon()
	var down bool
	if refusedConnection(err) {
		_, peak := st.seen.span(now, st.inFlight)
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
		s.flush(st, refuseDown(st, now))
	}
}

// refusedConnection reports whether the upstream could not be reached at all.
func refusedConnection(err error) bool {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code == transport.CodeConnectFailed
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
