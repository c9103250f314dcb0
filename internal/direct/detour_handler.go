package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/rawsocket"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// detourHandler forwards attempts of other hosts that are cut off to upstreams.
type detourHandler struct {
	*dispatchFilter
	server *Server
	// max limits the detours in flight.
	max      int64
	inFlight atomic.Int64
}

// DetourHandler returns the handler of requests of hosts that are cut off. Its server must be prepared with PrepareDetours.
func (s *Server) DetourHandler() http.Handler { return s.detourHandler }

// PrepareDetours prepares a server for the handler of detours.
func PrepareDetours(s *http.Server) {
	s.MaxHeaderBytes, s.ConnContext, s.DisableGeneralOptionsHandler = maxHeaderBytes+maxAddedHeaderBytes, withPeerConn, true
}

// peerConn is the key of the other host's connection in the context of its requests.
type peerConn struct{}

func withPeerConn(ctx context.Context, c net.Conn) context.Context {
	if scanned, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = scanned.NetConn()
	}
	return context.WithValue(ctx, peerConn{}, c)
}

// hasLeft reports whether the other host has closed its connection. net/http cancels the request's context then, but may do so too
// late for an order that this process finds after it has stood still: the other host may have sent the request elsewhere since.
func (a *detourAttempt) hasLeft() bool {
	return a.in.Context().Err() != nil || rawsocket.HasEnded(a.in.Context().Value(peerConn{}))
}

// maxAddedHeaderBytes is more than hosts add to the headers of a caller: the order and those of the upstream's protocol.
const maxAddedHeaderBytes = 8 << 10

// Detours returns the number of other hosts' requests in flight.
func (s *Server) Detours() int64 { return s.detourHandler.inFlight.Load() }

// detourAttempt is one attempt of another host.
type detourAttempt struct {
	order detour.Order
	// request is the request's ID, from the address of the other host.
	request, from string
	start         time.Time
	writer        http.ResponseWriter
	in            *http.Request
	body          []byte
}

// ServeHTTP implements http.Handler.
func (h *detourHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	order, err := detour.TakeOrder(r.Header)
	if err != nil {
		http.Error(w, "no order", http.StatusBadRequest)
		return
	}
	a := &detourAttempt{
		order: order, request: h.codec.DecodeRequest(r).ID, from: r.RemoteAddr, start: h.clock.Now(), writer: w, in: r,
	}
	defer h.inFlight.Add(-1)
	inFlight := h.inFlight.Add(1)
	switch {
	case h.stop.begun():
		h.report(a, detour.PeerRefused, detour.ReasonStopping, nil)
	case h.reach.CutOff():
		h.report(a, detour.PeerRefused, detour.ReasonCutOff, nil)
	case inFlight > h.max:
		h.report(a, detour.PeerRefused, detour.ReasonBusy, nil)
	case order.Probe:
		h.probe(a)
	default:
		h.forward(a)
	}
}

// probe reports whether the upstream refuses connections.
func (h *detourHandler) probe(a *detourAttempt) {
	ctx, cancel := context.WithTimeout(a.in.Context(), min(a.order.Timeout(), maxConnectTimeout))
	defer cancel()
	conn, err := h.pool.Dial(ctx, "tcp", a.order.Address)
	if err == nil {
		_ = conn.Close()
	}
	switch {
	case !isRefusal(err):
		h.report(a, detour.Accepts, "", err)
	case h.reach.Confirm(ctx):
		h.report(a, detour.PeerRefused, detour.ReasonCutOff, err)
	default:
		h.report(a, detour.Refuses, "", err)
	}
}

// forward reads the body and sends the request to the upstream.
func (h *detourHandler) forward(a *detourAttempt) {
	// Some connections do not support deadlines; there the other host's timeout bounds the reads and writes.
	deadline := h.clock.Now().Add(a.order.Timeout() + writeGrace)
	control := http.NewResponseController(a.writer)
	_, _ = control.SetReadDeadline(deadline), control.SetWriteDeadline(deadline)
	body := h.bodies.NewReader(a.in.Body)
	defer body.Release()
	var err error
	if a.body, err = io.ReadAll(body); err != nil {
		h.report(a, detour.PeerRefused, detour.ReasonBusy, err)
		return
	}
	_ = control.SetReadDeadline(time.Time{}) // net/http reads on to notice that the other host has left
	ctx, cancel := context.WithTimeout(a.in.Context(), a.order.Timeout())
	defer cancel()
	u := h.usable(a.order)
	if u == nil {
		h.report(a, detour.NotSent, detour.ReasonUpstreamLeft, nil)
		return
	}
	h.send(ctx, a, u)
}

// usable returns the upstream of the order if it may receive requests of this host, or nil.
func (h *detourHandler) usable(o detour.Order) *catalog.Upstream {
	snap, key := h.store.Current(), o.Key()
	for _, u := range snap.Upstreams[o.Service] {
		if u.Key() == key && u.Version == o.Version && snap.AcceptsNewWork(u) && h.balancer.AcceptsWork(key) {
			return u
		}
	}
	return nil
}

// send sends the request to the upstream and relays the response.
func (h *detourHandler) send(ctx context.Context, a *detourAttempt, u *catalog.Upstream) {
	get := h.pool.Get
	if a.order.UnusedConn {
		get = h.pool.GetUnused
	}
	conn, err := h.connectWithin(ctx, u, maxConnectTimeout, get)
	if err != nil {
		h.reportUnreached(ctx, a, u, err)
		return
	}
	if h.usable(a.order) == nil { // connecting takes time
		h.keep(conn, u)
		h.report(a, detour.NotSent, detour.ReasonUpstreamLeft, nil)
		return
	}
	if a.order.ProveVersion && h.incarnations.refreshed(ctx, u, conn) != proven {
		h.pool.PutUnused(conn)
		h.report(a, detour.NotSent, detour.ReasonUnproven, nil)
		return
	}
	if a.hasLeft() {
		h.pool.PutUnused(conn)
		h.report(a, detour.NotSent, detour.ReasonHostLeft, nil)
		return
	}
	h.balancer.RecordRequestStart(u.Key())
	defer h.balancer.RecordRequestEnd(u.Key())
	stop := context.AfterFunc(ctx, conn.Close)
	//nolint:bodyclose // relay closes the connection under the body, or gives it back after the body's end
	resp, err := conn.RoundTrip(a.upstreamRequest(), a.body, func(_ int, header http.Header) bool { return h.belongs(a.request, header, conn) })
	if err != nil {
		conn.Close()
		if ctx.Err() == nil {
			h.reach.RecordFailure(u.Address, false)
			h.balancer.RecordBrokenResponse(u, err)
		}
		h.report(a, detour.Unknown, detour.ReasonNoResponse, err)
		return
	}
	release := func(whole bool) {
		if whole && stop() {
			h.keep(conn, u)
			return
		}
		conn.Close()
	}
	if !conn.Reused {
		h.reach.RecordConnected()
	}
	h.relay(a, u, conn, resp, release)
}

// reportUnreached reports that no connection to the upstream could be established. Many hosts may be cut off at once, and this one
// may learn that only now.
func (h *detourHandler) reportUnreached(ctx context.Context, a *detourAttempt, u *catalog.Upstream, cause error) {
	if ctx.Err() == nil {
		h.reach.RecordFailure(u.Address, true)
		if h.reach.Confirm(ctx) {
			h.report(a, detour.PeerRefused, detour.ReasonCutOff, cause)
			return
		}
		h.recordPath(u, h.balancer.RecordConnectFailure(u, cause))
		h.pool.CloseIdle(u.Address)
	}
	h.report(a, detour.NotSent, detour.ReasonConnectFailed, cause)
}

// upstreamRequest returns the request as the other host would send it to the upstream itself.
func (a *detourAttempt) upstreamRequest() *http.Request {
	header := a.in.Header.Clone()
	hopheader.DropExcept(header, func(string) bool { return true })
	header.Del("Content-Length") // the length of the buffered body is sent instead
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // a missing key would make net/http send its default
	}
	return newBodyRequest(a.in, header, a.body)
}

// relay records what the upstream says of itself and relays its response as it arrives.
func (h *detourHandler) relay(a *detourAttempt, u *catalog.Upstream, conn *upconn.Conn, resp *http.Response, release func(whole bool)) {
	meta := h.codec.DecodeResponse(resp.StatusCode, resp.Header)
	h.balancer.RecordResponseStart(u)
	if !meta.WrongInstance {
		h.recordSelfReport(u, meta)
	}
	served := h.clock.Since(conn.ServedSince())
	_, _ = detour.TakeReport(resp.Header) // only this host reports
	header := a.writer.Header()
	copyResponseHeader(header, resp.Header, h.codec.IsEndToEnd)
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if err := detour.SetReport(header, detour.Report{Outcome: detour.Relayed, ServedMs: served.Milliseconds()}); err != nil {
		release(false)
		h.report(a, detour.Unknown, detour.ReasonNoResponse, err)
		return
	}
	a.writer.WriteHeader(resp.StatusCode)
	body := &dataRecorder{ReadCloser: resp.Body, record: func() { h.balancer.RecordData(u); h.reach.RecordData() }}
	err := copyFlushing(a.writer, body)
	release(err == nil)
	if err != nil {
		h.log.Warn().Str("event", "detour-served").Func(a.fields(h.clock.Now())).Int("status", resp.StatusCode).Str("outcome", "broken-off").Err(err).Send()
		_ = http.NewResponseController(a.writer).Flush() // the head tells the other host that the fault is the upstream's
		panic(http.ErrAbortHandler)                      // which must not take the response for complete
	}
	h.detoursServed(detour.Relayed).Inc(1)
	if loadbalancer.HashKey(a.request)%servedLogSampling == 0 {
		h.log.Info().Str("event", "detour-served").Func(a.fields(h.clock.Now())).Int("status", resp.StatusCode).Str("outcome", string(detour.Relayed)).Send()
	}
}

// fields adds the fields of the log lines about the attempt.
func (a *detourAttempt) fields(now time.Time) func(*zerolog.Event) {
	return func(event *zerolog.Event) {
		event.Str("request", a.request).Str("from", a.from).Str("service", a.order.Service).Str("upstream", a.order.Upstream).
			Str("peer", a.order.Address).Dur("took_ms", now.Sub(a.start)).Int64("timeout_ms", a.order.TimeoutMs)
	}
}

// report responds that the attempt brought no response of the upstream.
func (h *detourHandler) report(a *detourAttempt, outcome detour.Outcome, reason detour.Reason, cause error) {
	h.detoursServed(outcome).Inc(1)
	h.log.Info().Str("event", "detour-served").Func(a.fields(h.clock.Now())).Str("outcome", string(outcome)).Str("reason", string(reason)).Err(cause).Send()
	if err := detour.SetReport(a.writer.Header(), detour.Report{Outcome: outcome, Reason: reason}); err != nil {
		panic(http.ErrAbortHandler)
	}
	a.writer.WriteHeader(http.StatusServiceUnavailable)
}

func (h *detourHandler) detoursServed(outcome detour.Outcome) tally.Counter {
	return h.server.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("detours_served")
}

// isRefusal reports whether a connection was refused, which tells that the machine is reached and nothing listens.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// copyFlushing copies the body and flushes what arrived at once.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write response to other host")
			}
			if flushErr := control.Flush(); flushErr != nil {
				return errors.Wrap(flushErr, "write response to other host")
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(err, "read response of upstream")
		}
	}
}
