package direct

import (
	"context"
	"sync"
	"time"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Limits on the time without events from the upstream during one send.
const (
	// firstEventTimeout and eventGapTimeout limit the time without events on a stream that can be resumed at another
	// upstream: before its first event and between events. Both are longer on routes whose objectives allow more.
	firstEventTimeout = 1500 * time.Millisecond
	eventGapTimeout   = 1200 * time.Millisecond
	// silenceTimeout limits that time if the upstream accepts connections: a sound one may stand still for a moment and go
	// on, and would then work on a stream that has been resumed elsewhere.
	silenceTimeout = 2 * time.Second
	// Callers abandon a stream that is silent for minPatience, patienceFactor times the objective of its route or
	// patienceGapFactor times the objective for gaps, whichever is longest. The last 1/nextSendDivisor of that time is left
	// to the next send.
	minPatience       = 2 * time.Second
	patienceFactor    = 4
	patienceGapFactor = 8
	nextSendDivisor   = 6
	// eventGapFactor is how many times longer than the route's objective for gaps a stream may stay without events.
	eventGapFactor = 3
	// moveCheckInterval is how often a silent send is checked for another upstream that may receive its request.
	moveCheckInterval = 100 * time.Millisecond
	// maxTimerDelay is the delay of a timer above which this process probably stood still itself. What upstreams sent
	// meanwhile may not have been read yet.
	maxTimerDelay = 100 * time.Millisecond
)

// inactivityTimer gives up a send whose upstream sends no data for too long, once it has reserved what sending the
// request to another upstream needs. The response to a safe request must be complete within half of the remaining time.
// The upstream of a stream is probed shortly before its time is over, and has more time if it accepts connections.
type inactivityTimer struct {
	gapLimits inactivityLimits
	// reserve reserves the next send, to an upstream of the software version unless it is nil.
	reserve func(version *string) *balance.Choice
	giveUp  context.CancelCauseFunc
	// address is the upstream's.
	address      string
	reachability *reachability
	// logSilence logs what follows from a probe.
	logSilence func(limits inactivityLimits, accepts bool, outcome string)

	mu     sync.Mutex
	limits inactivityLimits
	// version is the software version that began the stream; nil before its first byte.
	version *string
	// timer is nil if the send must not be given up, and after the send.
	timer *time.Timer
	// step is called when the timer expires, which is due at the time.
	step func()
	due  time.Time
	// next is the upstream of the reserved next send; nil unless the send was given up.
	next *balance.Choice
}

// inactivityLimits are how long an upstream may send no data: one that accepts no connections, and one that does.
type inactivityLimits struct{ unreachable, reachable time.Duration }

// newInactivityLimits returns the limits for a caller with the patience.
func newInactivityLimits(limit, patience time.Duration) inactivityLimits {
	return inactivityLimits{unreachable: limit, reachable: max(limit, min(silenceTimeout, patience))}
}

// assumeReachable returns the limits of an upstream that this host cannot probe.
func (l inactivityLimits) assumeReachable() inactivityLimits {
	return inactivityLimits{unreachable: l.reachable, reachable: l.reachable}
}

// callersPatience returns for how long the callers of a stream wait for data, less the part that is left to the next send.
func callersPatience(route *catalog.Route) time.Duration {
	patience := max(minPatience, patienceFactor*route.LatencyObjective, patienceGapFactor*route.MaxEventGap)
	return patience - patience/nextSendDivisor
}

func (d *dispatchFilter) newInactivityTimer(req *Request, u *catalog.Upstream, giveUp context.CancelCauseFunc) *inactivityTimer {
	if !req.Route.Repeatable() || req.runs+1 >= req.Route.MaxAttempts || req.sendsExhausted() {
		return &inactivityTimer{}
	}
	now, patience := d.clock.Now(), callersPatience(req.Route)
	first := newInactivityLimits(max(firstEventTimeout, req.Route.LatencyObjective), patience-now.Sub(req.response.lastSentAt()))
	if req.Route.Kind == catalog.Safe {
		first = newInactivityLimits(d.stop.bound(req.Deadline).Sub(now)/2, 0)
	}
	t := &inactivityTimer{
		gapLimits: newInactivityLimits(max(eventGapTimeout, eventGapFactor*req.Route.MaxEventGap), patience),
		reserve:   d.newReserveFunc(req), giveUp: giveUp, address: u.Address, reachability: d.reachability, logSilence: d.newSilenceLog(req, u),
		version: req.version(),
	}
	if req.peer != "" {
		first, t.gapLimits = first.assumeReachable(), t.gapLimits.assumeReachable()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(first.unreachable, t.expire)
	t.begin(first)
	return t
}

// newSilenceLog returns a function that logs what follows from a probe of the silent upstream.
func (d *dispatchFilter) newSilenceLog(req *Request, u *catalog.Upstream) func(limits inactivityLimits, accepts bool, outcome string) {
	id, route := req.ID, req.Route.Name
	return func(limits inactivityLimits, accepts bool, outcome string) {
		d.log.Info().Str("event", "send-silent").Str("request", id).Str("route", route).Str("upstream", u.ID).Str("peer", u.Address).
			Bool("accepts", accepts).Dur("silent_ms", limits.unreachable).Dur("limit_ms", limits.reachable).Str("outcome", outcome).Send()
	}
}

// newReserveFunc returns a function that reserves what the next send of the request needs: an upstream that was not tried,
// within its limits, and a retry of the budget. It returns nil if one of them is missing now. It may run concurrently with
// a send, which changes the request.
func (d *dispatchFilter) newReserveFunc(req *Request) func(version *string) *balance.Choice {
	service, criteria := req.Service, req.criteria(d.store.Current(), d.clock.Now())
	return func(version *string) *balance.Choice {
		if !d.retryBudget.Available(service) {
			return nil
		}
		criteria.Version = version
		next := d.selector.SelectUntried(d.store.Current(), service, criteria)
		if next != nil && !d.retryBudget.TryWithdraw(service) {
			d.selector.Release(next)
			return nil
		}
		return next
	}
}

// begin begins to wait for data. The caller holds mu.
func (t *inactivityTimer) begin(limits inactivityLimits) {
	t.limits = limits
	if limits.reachable > limits.unreachable {
		t.wait(limits.unreachable-probeTimeout, t.probe)
	} else {
		t.wait(limits.unreachable, t.tryGiveUp)
	}
}

// wait calls the step after the time. The caller holds mu.
func (t *inactivityTimer) wait(d time.Duration, step func()) {
	t.due, t.step = time.Now().Add(d), step
	t.timer.Reset(d)
}

func (t *inactivityTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch delay := time.Since(t.due); {
	case t.timer == nil || delay < 0: // data has arrived since the timer expired
	case delay > maxTimerDelay:
		t.wait(moveCheckInterval, t.step)
	default:
		t.step()
	}
}

// probe begins to probe the upstream. The caller holds mu.
func (t *inactivityTimer) probe() {
	t.reachability.probe(t.address)
	t.wait(probeTimeout, t.checkProbe)
}

// checkProbe lets the upstream have more time if it accepts connections. The caller holds mu.
func (t *inactivityTimer) checkProbe() {
	if t.reachability.accepts(t.address) {
		t.logSilence(t.limits, true, "wait")
		t.wait(t.limits.reachable-t.limits.unreachable, t.tryGiveUp)
		return
	}
	t.logSilence(t.limits, false, "move")
	t.tryGiveUp()
}

// tryGiveUp gives up the send if the next one can be reserved, or else asks again later. The caller holds mu.
func (t *inactivityTimer) tryGiveUp() {
	if t.next = t.reserve(t.version); t.next == nil {
		t.wait(moveCheckInterval, t.tryGiveUp)
		return
	}
	t.timer = nil
	t.giveUp(balance.ErrResponseTimeout)
}

// bind records the software version to which the stream is bound.
func (t *inactivityTimer) bind(version *string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = version
}

func (t *inactivityTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.begin(t.gapLimits)
	}
}

// stop returns the upstream that is reserved for the next send, if the send was given up.
func (t *inactivityTimer) stop() *balance.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	return t.next
}
