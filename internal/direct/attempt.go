package direct

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/upconn"
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

// minConnectTimeout and maxConnectTimeout bound the connect timeout. Hosts of one region are milliseconds apart, and a
// lost SYN packet is retransmitted only after a second.
const (
	minConnectTimeout = 50 * time.Millisecond
	maxConnectTimeout = 200 * time.Millisecond
)

// maxBufferedBytes limits a response that is read completely before it is relayed.
const maxBufferedBytes = 256 << 10

// attemptResult is the result of one attempt to send a request.
type attemptResult struct {
	// responded is set if the response has been sent to the caller.
	responded bool
	// sent is set if a byte may have reached the upstream.
	sent bool
	// notRun is set if it is certain that the upstream did not execute the request.
	notRun bool
	// unproven is set if nothing was sent since it is not proven which incarnation of the upstream would receive it.
	unproven bool
	err      error
}

// attemptSend sends the request to the upstream once.
func (d *dispatchFilter) attemptSend(ctx context.Context, req *Request, u *catalog.Upstream) attemptResult {
	key := u.Key()
	conn, err := d.connect(ctx, req, u)
	if err != nil {
		if ctx.Err() == nil {
			d.recordPath(u, d.balancer.RecordConnectFailure(u, err))
			d.pool.CloseIdle(u.Address)
			if balance.IsTimeout(err) {
				req.unreached = append(req.unreached, u.DataCentre)
			}
		}
		req.tried = append(req.tried, key)
		return notRunResult(false, "connect-failed", "the upstream could not be reached", key, err)
	}
	// Connecting takes time, so the configuration and the upstream's state may have changed since the selection.
	snap := d.store.Current()
	if err := resolveRoute(req, snap.Config); err != nil || !isUsable(snap, u) || !d.balancer.AcceptsWork(key) {
		d.keep(conn, key)
		return notRunResult(false, "upstream-left", "the upstream was taken out", key, err)
	}
	if err := checkPrompt(d.prompts, req); err != nil {
		d.keep(conn, key)
		return attemptResult{notRun: true, err: err}
	}
	if !d.mayContinue(ctx, req, u, conn) {
		return attemptResult{unproven: true}
	}
	req.conn = conn
	d.balancer.RecordRequestStart(key)
	defer d.balancer.RecordRequestEnd(key)
	req.tried = append(req.tried, key)
	req.sends++
	d.metrics.sends.Inc(1)
	if _, limited := d.balancer.RequestLimit(key); limited {
		d.metrics.sendsLimited.Inc(1)
	}
	return d.send(ctx, req, u, conn)
}

// connect returns a connection to the upstream. A new connection must be established within half of the request's
// latency objective, so that an unresponsive upstream leaves time to try another one.
func (d *dispatchFilter) connect(ctx context.Context, req *Request, u *catalog.Upstream) (*upconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, min(max(req.Route.LatencyObjective/2, minConnectTimeout), maxConnectTimeout))
	defer cancel()
	return d.pool.Get(ctx, u.Address)
}

// keep returns a connection to the pool, unless its upstream is leaving.
func (d *dispatchFilter) keep(conn *upconn.Conn, key catalog.UpstreamKey) {
	d.pool.Put(conn)
	if d.balancer.Leaving(key) { // asked last, since the upstream may say so meanwhile
		d.pool.CloseIdle(key.Address)
	}
}

// recordPath closes the idle connections to the upstream's data centre once the path to it is down. A request that is
// sent there later, to find out whether the path works again, then waits for a connection and not for a response on a
// connection that is no longer one.
func (d *dispatchFilter) recordPath(u *catalog.Upstream, down bool) {
	if !down {
		return
	}
	for _, list := range d.store.Current().Upstreams {
		for _, other := range list {
			if other.DataCentre == u.DataCentre {
				d.pool.CloseIdle(other.Address)
			}
		}
	}
}

// isUsable reports whether this incarnation of the upstream is still published and may receive new requests.
func isUsable(snap *catalog.Snapshot, u *catalog.Upstream) bool {
	for _, current := range snap.Upstreams[u.Service] {
		if current.ID == u.ID {
			return current.Key() == u.Key() && current.Version == u.Version && snap.AcceptsNewWork(current)
		}
	}
	return false
}

// notRunResult returns the result of an attempt that the upstream did not execute.
func notRunResult(sent bool, code, message string, key catalog.UpstreamKey, cause error) attemptResult {
	return attemptResult{sent: sent, notRun: true, err: outcome.Unavailable(stepDispatch, code, message).WithPeer(key.ID, cause).
		WithRetryAfter(defaultRetryAfter)}
}

// outcomeUnknown returns the result of a send that the upstream may or may not have executed.
func (d *dispatchFilter) outcomeUnknown(req *Request, code, message string, key catalog.UpstreamKey, cause error) attemptResult {
	req.runs++
	req.outcomeUnknown = true
	d.metrics.outcomeUnknown.Inc(1)
	return attemptResult{sent: true, err: &outcome.Refusal{
		Status: http.StatusBadGateway, Code: code, Message: message, Step: stepDispatch, Peer: key.ID,
		Outcome: outcome.Unknown, Cause: cause,
	}}
}

// send sends the request on the connection and handles the response.
func (d *dispatchFilter) send(ctx context.Context, req *Request, u *catalog.Upstream, conn *upconn.Conn) attemptResult {
	key := u.Key()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	inactivity := d.newInactivityTimer(req, u, cancel)
	defer func() { req.next = inactivity.stop() }()
	//nolint:bodyclose // release closes the connection under the body, or gives it back after the body's end
	resp, err := conn.RoundTrip(d.newUpstreamRequest(req, u), req.Body, func(_ int, h http.Header) bool {
		id := d.codec.DecodeResponse(0, h).ID
		return id == req.ID || id == "" && !conn.Reused
	})
	if err != nil {
		conn.Close()
		return d.connectionFailed(ctx, req, u, err)
	}
	meta := d.codec.DecodeResponse(resp.StatusCode, resp.Header)
	d.balancer.RecordResponseStart(u)
	resp.Body = &dataRecorder{ReadCloser: resp.Body, record: func() { d.balancer.RecordData(u) }}
	if !meta.WrongInstance {
		d.recordSelfReport(u, meta)
	}
	release := func(whole bool) {
		if whole && stop() {
			d.keep(conn, key)
			return
		}
		conn.Close()
	}
	switch {
	case meta.NotRun:
		req.rejectedBy = append(req.rejectedBy, key)
		return d.notExecuted(u, conn, resp, meta, release)
	case resp.StatusCode < http.StatusMultipleChoices && !meta.Signed:
		release(false)
		d.balancer.RecordBrokenResponse(u, errors.New("response is not signed by the upstream"))
		return d.outcomeUnknown(req, "not-signed", "the upstream's answer is not its own", key, nil)
	case req.Route.Kind == catalog.Stream && resp.StatusCode == http.StatusOK:
		return d.relayStream(ctx, req, u, resp, inactivity, release)
	default:
		return d.relayBuffered(ctx, req, u, resp, inactivity, release)
	}
}

// recordSelfReport records what the upstream says of itself in a response.
func (d *dispatchFilter) recordSelfReport(u *catalog.Upstream, meta ResponseMetadata) {
	if meta.Load != nil {
		d.balancer.RecordLoad(u.Key(), meta.Load.Running+meta.Load.Waiting)
	}
	d.balancer.RecordRequestLimit(u, meta.RequestLimit)
	if meta.Leaving {
		d.balancer.MarkLeaving(u)
	}
	if meta.RetryAfter > 0 {
		d.balancer.MarkPaused(u, meta.RetryAfter)
	}
}

// newUpstreamRequest builds the request for the upstream.
func (d *dispatchFilter) newUpstreamRequest(req *Request, u *catalog.Upstream) *http.Request {
	in := req.HTTP
	snap := d.store.Current()
	engine, holder := snap.Config.Services[u.Service].Engine, ""
	if shared := affinityKey(req.Prompt); engine && shared != 0 {
		if h := d.balancer.LikelyCacheHolder(snap, u.Service, shared, u); h != nil {
			holder = h.Address
		}
	}
	callers := in.Header.Clone()
	// Must precede ForwardHeader, since a Connection header may name any header that the router sets.
	hopheader.DropExcept(callers, d.codec.IsEndToEnd)
	header := d.codec.ForwardHeader(callers, ForwardMetadata{
		Upstream: u.Key(), Team: req.team(), RemainingTime: d.stop.bound(req.Deadline).Sub(d.clock.Now()), Priority: req.priority(),
		LastEventID: req.lastEventID(), Engine: engine, LikelyCacheHolder: holder,
	})
	header.Del("Content-Length") // the length of the buffered body is sent instead
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // a missing key would make net/http send its default
	}
	out := &http.Request{
		Method: in.Method, Host: in.Host, Header: header, ContentLength: int64(len(req.Body)), ProtoMajor: 1, ProtoMinor: 1,
		URL: upstreamURL(in),
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out
}

// connectionFailed returns the result of a send whose connection failed or was closed before the response was complete.
func (d *dispatchFilter) connectionFailed(ctx context.Context, req *Request, u *catalog.Upstream, err error) attemptResult {
	key := u.Key()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, balance.ErrResponseTimeout):
		d.recordPath(u, d.balancer.RecordBrokenResponse(u, cause))
		return d.outcomeUnknown(req, "silent", "the upstream stayed silent", key, cause)
	case errors.Is(cause, errStopped):
		return d.outcomeUnknown(req, "stopping", "the router stopped before the upstream had answered", key, cause)
	case cause != nil:
		return d.outcomeUnknown(req, "over", "the time is over", key, cause)
	case errors.Is(err, upconn.ErrResponseTooLarge):
		d.balancer.RecordBrokenResponse(u, err)
		d.metrics.tooLarge.Inc(1)
		d.log.Warn().Str("event", "answer-too-large").Str("request", req.ID).Str("upstream", key.ID).Str("peer", key.Address).Err(err).Send()
		return d.outcomeUnknown(req, "answer-too-large", "the upstream's answer is too large", key, err)
	default:
		d.balancer.RecordBrokenResponse(u, err)
		d.crashes.recordBrokenResponse(u, newSuspect(req, d.clock.Now()))
		d.pool.CloseIdle(key.Address)
		return d.outcomeUnknown(req, "no-answer", "the upstream did not answer", key, err)
	}
}

// notExecuted handles a response by which the upstream reports that it did not execute the request.
func (d *dispatchFilter) notExecuted(u *catalog.Upstream, conn *upconn.Conn, resp *http.Response, meta ResponseMetadata, release func(bool)) attemptResult {
	key := u.Key()
	d.metrics.notRun.Inc(1)
	release(conn.Discard(resp))
	if meta.WrongInstance {
		d.balancer.MarkReplaced(u)
		return notRunResult(true, "wrong-instance", "another upstream has the address", key, nil)
	}
	d.balancer.MarkFull(key)
	return notRunResult(true, "upstream-full", "the upstream did not take the request", key, nil)
}

// inactivityTimer gives up a send whose upstream sends no data for too long, once it has reserved what sending the
// request to another upstream needs. The response to a safe request must be complete within half of the remaining time.
// The upstream of a stream is probed shortly before its time is over, and has more time if it accepts connections.
type inactivityTimer struct {
	gapLimits silenceLimits
	// reserve reserves the next send, to an upstream of the software version unless it is nil.
	reserve func(version *string) *balance.Choice
	giveUp  context.CancelCauseFunc
	// address is the upstream's.
	address      string
	reachability *reachability
	// logSilence logs what follows from a probe.
	logSilence func(limits silenceLimits, accepts bool, outcome string)

	mu     sync.Mutex
	limits silenceLimits
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

// silenceLimits are how long an upstream may send no data: one that accepts no connections, and one that does.
type silenceLimits struct{ unreachable, reachable time.Duration }

// newSilenceLimits returns the limits for a caller with the patience.
func newSilenceLimits(limit, patience time.Duration) silenceLimits {
	return silenceLimits{unreachable: limit, reachable: max(limit, min(silenceTimeout, patience))}
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
	first := newSilenceLimits(max(firstEventTimeout, req.Route.LatencyObjective), patience-now.Sub(req.response.lastSentAt()))
	if req.Route.Kind == catalog.Safe {
		first = newSilenceLimits(d.stop.bound(req.Deadline).Sub(now)/2, 0)
	}
	t := &inactivityTimer{
		gapLimits: newSilenceLimits(max(eventGapTimeout, eventGapFactor*req.Route.MaxEventGap), patience),
		reserve:   d.newReserveFunc(req), giveUp: giveUp, address: u.Address, reachability: d.reachability, logSilence: d.newSilenceLog(req, u),
		version: req.version(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(first.unreachable, t.expire)
	t.begin(first)
	return t
}

// newSilenceLog returns a function that logs what follows from a probe of the silent upstream.
func (d *dispatchFilter) newSilenceLog(req *Request, u *catalog.Upstream) func(limits silenceLimits, accepts bool, outcome string) {
	id, route := req.ID, req.Route.Name
	return func(limits silenceLimits, accepts bool, outcome string) {
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
func (t *inactivityTimer) begin(limits silenceLimits) {
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
