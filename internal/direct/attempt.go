package direct

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/upconn"
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
	// peerRefused is why the other host through which the attempt was to go did not take it, so that nothing was sent.
	peerRefused error
	// noPath is set if nothing was sent since no upstream can be reached from here, nor through another host.
	noPath bool
	// status is the status of the upstream's response; 0 without one.
	status int
	err    error
}

// attemptSend sends the request to the upstream once.
func (d *dispatchFilter) attemptSend(ctx context.Context, req *Request, u *catalog.Upstream) attemptResult {
	req.peer = ""
	if d.reach.CutOff() {
		return d.sendByDetour(ctx, req, u)
	}
	key := u.Key()
	conn, err := d.connect(ctx, req, u)
	if err != nil {
		if ctx.Err() == nil {
			d.recordConnectFailure(req, u, err)
		}
		req.tried = append(req.tried, key)
		return notRunResult(false, "connect-failed", "the upstream could not be reached", key, err)
	}
	if denied := d.recheck(req, u); denied != nil {
		d.keep(conn, u)
		return *denied
	}
	if !d.mayContinue(ctx, req, u, conn) {
		return attemptResult{unproven: true}
	}
	req.process, req.conns = conn, append(req.conns, conn)
	d.balancer.RecordRequestStart(key)
	defer d.balancer.RecordRequestEnd(key)
	d.countSend(req, key)
	return d.send(ctx, req, u, conn)
}

// recheck returns the result of a send that is no longer allowed, or nil: connecting takes time, so the configuration and the
// upstream's state may have changed since the selection.
func (d *dispatchFilter) recheck(req *Request, u *catalog.Upstream) *attemptResult {
	snap, key := d.store.Current(), u.Key()
	if err := resolveRoute(req, snap.Config); err != nil || !isUsable(snap, u) || !d.balancer.AcceptsWork(key) {
		denied := notRunResult(false, "upstream-left", "the upstream was taken out", key, err)
		return &denied
	}
	if err := checkPrompt(d.prompts, req); err != nil {
		return &attemptResult{notRun: true, err: err}
	}
	return nil
}

// countSend counts a send that begins.
func (d *dispatchFilter) countSend(req *Request, key catalog.UpstreamKey) {
	req.tried = append(req.tried, key)
	req.sends++
	d.metrics.sends.Inc(1)
	if _, limited := d.balancer.RequestLimit(key); limited {
		d.metrics.sendsLimited.Inc(1)
	}
}

// recordConnectFailure records that no connection to the upstream could be established.
func (d *dispatchFilter) recordConnectFailure(req *Request, u *catalog.Upstream, err error) {
	d.reach.RecordFailure(u.Address, true)
	d.recordPath(u, d.balancer.RecordConnectFailure(u, err))
	d.pool.CloseIdle(u.Address)
	if balance.IsTimeout(err) {
		req.unreached = append(req.unreached, u.DataCentre)
	}
}

// connect returns a connection to the upstream. A new connection must be established within half of the request's
// latency objective, so that an unresponsive upstream leaves time to try another one.
func (d *dispatchFilter) connect(ctx context.Context, req *Request, u *catalog.Upstream) (*upconn.Conn, error) {
	timeout := min(max(req.Route.LatencyObjective/2, minConnectTimeout), maxConnectTimeout)
	conn, err := d.connectWithin(ctx, u, timeout, d.pool.Get)
	if err != nil || !slices.Contains(req.conns, conn) {
		return conn, err
	}
	d.keep(conn, u) // a copy of the response to the earlier send may still arrive on it
	return d.connectWithin(ctx, u, timeout, d.pool.Connect)
}

// connectWithin returns a connection to the upstream that is established within the timeout.
func (d *dispatchFilter) connectWithin(ctx context.Context, u *catalog.Upstream, timeout time.Duration, get func(context.Context, string) (*upconn.Conn, error)) (*upconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return get(ctx, u.Address)
}

// idleConnFraction is the fraction of the connections that an upstream accepts from all hosts that may be idle. The others are
// for requests in flight.
const idleConnFraction = 0.5

// maxIdleConns returns how many idle connections this host keeps to an upstream of the service.
func (d *dispatchFilter) maxIdleConns(service string) int {
	limit := d.store.Current().Config.Services[service].MaxConnections
	if limit == 0 {
		return upconn.MaxIdlePerUpstream
	}
	return max(1, int(idleConnFraction*float64(limit))/d.hosts.ShareCount())
}

// keep returns a connection to the pool, unless it leads to an upstream that is leaving.
func (d *dispatchFilter) keep(conn *upconn.Conn, u *catalog.Upstream) {
	if conn.Address() != u.Address { // the connection leads to another host
		d.pool.Put(conn, upconn.MaxIdlePerUpstream)
		return
	}
	d.pool.Put(conn, d.maxIdleConns(u.Service))
	if key := u.Key(); d.balancer.Leaving(key) { // asked last, since the upstream may say so meanwhile
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
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	inactivity := d.newInactivityTimer(req, u, cancel)
	defer func() { req.next = inactivity.stop() }()
	out, err := d.newUpstreamRequest(req, u)
	if err != nil {
		conn.Close()
		return attemptResult{notRun: true, err: err}
	}
	//nolint:bodyclose // release closes the connection under the body, or gives it back after the body's end
	resp, err := conn.RoundTrip(out, req.Body, func(_ int, h http.Header) bool {
		return req.peer != "" && detour.HasReport(h) || d.belongs(req.ID, h, conn)
	})
	if err != nil {
		conn.Close()
		if req.peer != "" && context.Cause(ctx) == nil && !errors.Is(err, upconn.ErrResponseTooLarge) {
			return d.peerFailed(req, u, conn, err)
		}
		return d.connectionFailed(ctx, req, u, err)
	}
	release := func(whole bool) {
		if whole && stop() {
			d.keep(conn, u)
			return
		}
		conn.Close()
	}
	if req.peer != "" {
		if res := d.checkReport(req, u, conn, resp, release); res != nil {
			return *res
		}
	}
	if req.peer == "" && !conn.Reused {
		d.reach.RecordConnected()
	}
	res := d.handleResponse(ctx, req, u, conn, resp, inactivity, release)
	res.status = resp.StatusCode
	return res
}

// belongs reports whether a response on the connection belongs to the request with the ID.
func (d *dispatchFilter) belongs(request string, h http.Header, conn *upconn.Conn) bool {
	id := d.codec.DecodeResponse(0, h).ID
	return id == request || id == "" && !conn.Reused
}

// handleResponse relays the upstream's response, or finds out what follows from it. release is called once the connection is no
// longer needed.
func (d *dispatchFilter) handleResponse(ctx context.Context, req *Request, u *catalog.Upstream, conn *upconn.Conn, resp *http.Response, inactivity *inactivityTimer, release func(whole bool)) attemptResult {
	key := u.Key()
	meta := d.codec.DecodeResponse(resp.StatusCode, resp.Header)
	d.balancer.RecordResponseStart(u)
	resp.Body = &dataRecorder{ReadCloser: resp.Body, record: func() { d.recordData(req, u) }}
	if !meta.WrongInstance {
		d.recordSelfReport(u, meta)
	}
	switch {
	case meta.NotRun && meta.ID == req.ID && meta.ID != "": // a response that names no request may be about another one
		req.rejectedBy = append(req.rejectedBy, key)
		return d.notExecuted(u, conn, resp, meta, release)
	case promisesNotRun(resp.StatusCode):
		return d.refusedWithoutProof(req, u, conn, resp, release)
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
	d.balancer.RecordBrittle(u, meta.Brittle)
	if meta.Leaving {
		d.balancer.MarkLeaving(u)
	}
	if meta.RetryAfter > 0 {
		d.balancer.MarkPaused(u, meta.RetryAfter)
	}
}

// recordData records that data of the upstream's response has arrived.
func (d *dispatchFilter) recordData(req *Request, u *catalog.Upstream) {
	d.balancer.RecordData(u)
	if req.peer == "" {
		d.reach.RecordData()
	}
}

// newUpstreamRequest builds the request for the upstream.
func (d *dispatchFilter) newUpstreamRequest(req *Request, u *catalog.Upstream) (*http.Request, error) {
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
	if req.peer != "" {
		order := detour.NewOrder(u, d.stop.bound(req.Deadline).Sub(d.clock.Now()))
		order.ProveVersion, order.UnusedConn = req.origin != nil, req.needsUnusedConn
		if err := detour.SetOrder(header, order); err != nil {
			return nil, err
		}
	}
	return newBodyRequest(in, header, req.Body), nil
}

// newBodyRequest returns a request with the method and the target of the received one, and with the headers and the body.
func newBodyRequest(in *http.Request, header http.Header, body []byte) *http.Request {
	out := &http.Request{
		Method: in.Method, Host: in.Host, Header: header, ContentLength: int64(len(body)), ProtoMajor: 1, ProtoMinor: 1, URL: upstreamURL(in),
	}
	if len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	return out
}

// connectionFailed returns the result of a send whose connection failed or was closed before the response was complete.
func (d *dispatchFilter) connectionFailed(ctx context.Context, req *Request, u *catalog.Upstream, err error) attemptResult {
	key := u.Key()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, balance.ErrResponseTimeout):
		d.recordSilence(req, u, cause)
		return d.outcomeUnknown(req, "silent", "the upstream stayed silent", key, cause)
	case errors.Is(cause, errStopped):
		return d.outcomeUnknown(req, "stopping", "the router stopped before the upstream had answered", key, cause)
	case cause != nil:
		if req.peer == "" && !req.response.headerSent && errors.Is(cause, context.DeadlineExceeded) {
			d.reach.RecordSilence(u.Address)
		}
		return d.outcomeUnknown(req, "over", "the time is over", key, cause)
	case errors.Is(err, upconn.ErrResponseTooLarge):
		d.balancer.RecordBrokenResponse(u, err)
		d.metrics.tooLarge.Inc(1)
		d.log.Warn().Str("event", "answer-too-large").Str("request", req.ID).Str("upstream", key.ID).Str("peer", key.Address).Err(err).Send()
		return d.outcomeUnknown(req, "answer-too-large", "the upstream's answer is too large", key, err)
	default:
		d.recordBroken(req, u, err)
		d.crashes.recordBrokenResponse(u, newSuspect(req, d.clock.Now()))
		return d.outcomeUnknown(req, "no-answer", "the upstream did not answer", key, err)
	}
}

// recordSilence records that the upstream sent no data within the time limit.
func (d *dispatchFilter) recordSilence(req *Request, u *catalog.Upstream, cause error) {
	if req.peer != "" {
		d.balancer.RecordBrokenResponse(u, errors.WithMessagef(errSilentDetour, "detour through %s", req.peer))
		d.detours.RecordDoubt(req.peer)
		return
	}
	d.reach.RecordSilence(u.Address)
	if !d.reach.CutOff() { // else the fault is not the upstream's
		d.recordPath(u, d.balancer.RecordBrokenResponse(u, cause))
	}
}

// recordBroken records that the response of the upstream broke off.
func (d *dispatchFilter) recordBroken(req *Request, u *catalog.Upstream, err error) {
	if req.peer != "" {
		d.balancer.RecordBrokenResponse(u, err)
		return
	}
	d.reach.RecordFailure(u.Address, false)
	if !d.reach.CutOff() {
		d.balancer.RecordBrokenResponse(u, err)
	}
	d.pool.CloseIdle(u.Address)
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
	d.metrics.rejected.Inc(1)
	d.balancer.MarkFull(key)
	return notRunResult(true, "upstream-full", "the upstream did not take the request", key, nil)
}

// promisesNotRun reports whether the status tells a caller that its request was not executed and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// refusedWithoutProof handles a response whose status promises the caller that the request was not executed, although the
// upstream does not say so.
func (d *dispatchFilter) refusedWithoutProof(req *Request, u *catalog.Upstream, conn *upconn.Conn, resp *http.Response, release func(bool)) attemptResult {
	release(conn.Discard(resp))
	if d.codec.DecodeResponse(resp.StatusCode, resp.Header).WrongInstance {
		d.balancer.MarkReplaced(u)
	} else {
		d.balancer.RecordOutcome(u, resp.StatusCode >= minFailureStatus)
	}
	return d.outcomeUnknown(req, "refused-without-proof", "the upstream refused the request without saying that it was not executed", u.Key(), nil)
}
