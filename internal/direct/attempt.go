package direct

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/hopheader"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Times of one send.
const (
	// firstEventLimit and silenceLimit are how long a stream that may go on elsewhere is waited for: until its first
	// event and between events. Callers leave after about twice that.
	firstEventLimit = 1500 * time.Millisecond
	silenceLimit    = 1200 * time.Millisecond
)

// minConnect and maxConnect bound how long the opening of a connection may take. Hosts of one region are milliseconds
// apart; a lost opening packet is sent again after a second only.
const (
	minConnect = 50 * time.Millisecond
	maxConnect = 200 * time.Millisecond
)

// maxWholeBytes bounds an answer that is read whole before it is sent on.
const maxWholeBytes = 4 << 20

// result is what came of one send.
type result struct {
	// done is set if the caller has its answer.
	done bool
	// sent is set if a byte may have reached the upstream.
	sent bool
	// notRun is set if it is certain that the upstream did not run the request.
	notRun bool
	err    error
}

// attempt sends the request to the upstream once.
func (d *dispatch) attempt(ctx context.Context, x *Request, u *catalog.Upstream) result {
	key := u.Key()
	conn, err := d.connect(ctx, x, u)
	if err != nil {
		if ctx.Err() == nil {
			d.table.RecordConnectFailure(u, err)
			d.pool.CloseIdle(u.Address)
		}
		x.tried = append(x.tried, key)
		return notRun(false, "connect-failed", "the upstream could not be reached", key, err)
	}
	// The connection took time; what was true before may no longer be.
	snap := d.store.Current()
	if err := allow(x, snap.Config); err != nil || !stillUsable(snap, u) {
		d.pool.Put(conn)
		return notRun(false, "upstream-left", "the upstream was taken out", key, err)
	}
	d.table.RecordRequestStart(key)
	defer d.table.RecordRequestEnd(key)
	x.tried = append(x.tried, key)
	x.sends++
	d.metrics.sends.Inc(1)
	return d.send(ctx, x, u, conn)
}

// connect returns a connection to the upstream. A new one must open in half the request's objective, so that a dark
// upstream leaves time for another one.
func (d *dispatch) connect(ctx context.Context, x *Request, u *catalog.Upstream) (*upconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, min(max(x.Route.LatencyObjective/2, minConnect), maxConnect))
	defer cancel()
	return d.pool.Get(ctx, u.Address)
}

// stillUsable reports whether this incarnation of the upstream may still get new work.
func stillUsable(snap *catalog.Snapshot, u *catalog.Upstream) bool {
	for _, now := range snap.Upstreams[u.Service] {
		if now.ID == u.ID {
			return now.Key() == u.Key() && snap.AcceptsNewWork(now)
		}
	}
	return false
}

func notRun(sent bool, code, message string, key catalog.UpstreamKey, cause error) result {
	return result{sent: sent, notRun: true, err: outcome.Unavailable(stepDispatch, code, message).WithPeer(key.ID, cause).
		WithRetryAfter(shortRetry)}
}

// unknown returns the result of a send of which it is not known whether it ran.
func (d *dispatch) unknown(x *Request, code, message string, key catalog.UpstreamKey, cause error) result {
	x.runs++
	x.unknown = true
	d.metrics.unknown.Inc(1)
	return result{sent: true, err: &outcome.Refusal{
		Status: http.StatusBadGateway, Code: code, Message: message, Step: stepDispatch, Peer: key.ID,
		Outcome: outcome.Unknown, Cause: cause,
	}}
}

// send carries the request on the connection and deals with the answer.
func (d *dispatch) send(ctx context.Context, x *Request, u *catalog.Upstream, conn *upconn.Conn) result {
	key := u.Key()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	watch := d.newWatch(x, cancel)
	defer watch.stop()
	//nolint:bodyclose // release closes the connection under the body, or gives it back after the body's end
	resp, err := conn.RoundTrip(d.request(x, u), x.Body, func(_ int, h http.Header) bool {
		id := d.codec.ResponseMetadata(0, h).ID
		return id == x.ID || id == "" && !conn.Reused
	})
	if err != nil {
		conn.Close()
		return d.broken(ctx, x, u, err)
	}
	reply := d.codec.ResponseMetadata(resp.StatusCode, resp.Header)
	d.table.RecordResponseStart(u)
	if reply.Load != nil {
		d.table.RecordLoad(key, reply.Load.Running+reply.Load.Waiting)
	}
	release := func(whole bool) {
		if whole && stop() {
			d.pool.Put(conn)
			return
		}
		conn.Close()
	}
	switch {
	case reply.NotRun:
		x.shedBy = append(x.shedBy, key)
		return d.shed(u, resp, reply, release)
	case resp.StatusCode < http.StatusMultipleChoices && !reply.Signed:
		release(false)
		d.table.RecordBrokenResponse(u, errors.New("answer is not signed"))
		return d.unknown(x, "not-signed", "the upstream's answer is not its own", key, nil)
	case x.Route.Kind == catalog.Stream && resp.StatusCode == http.StatusOK:
		return d.relayStream(ctx, x, u, resp, watch, release)
	default:
		return d.relayWhole(ctx, x, u, resp, release)
	}
}

// request builds the upstream's request.
func (d *dispatch) request(x *Request, u *catalog.Upstream) *http.Request {
	in := x.HTTP
	snap := d.store.Current()
	engine, holder := snap.Config.Services[u.Service].Engine, ""
	if shared := affinity(x.Prompt); engine && shared != 0 {
		if h := d.table.LikelyCacheHolder(snap, u.Service, shared, u); h != nil {
			holder = h.Address
		}
	}
	header := d.codec.ForwardHeader(in.Header, ForwardMetadata{
		Upstream: u.Key(), Team: x.team(), RemainingTime: x.Deadline.Sub(d.clock.Now()), Priority: x.priority(),
		LastEventID: x.lastEvent(), Engine: engine, LikelyCacheHolder: holder,
	})
	hopheader.Drop(header)
	header.Del("Content-Length") // the body's own length is sent
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http adds its own to a request that has none
	}
	out := &http.Request{
		Method: in.Method, Host: in.Host, Header: header, ContentLength: int64(len(x.Body)), ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: in.Host, Opaque: in.RequestURI},
	}
	if len(x.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.Body))
	}
	return out
}

// broken deals with a send whose connection broke before an answer.
func (d *dispatch) broken(ctx context.Context, x *Request, u *catalog.Upstream, err error) result {
	key := u.Key()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, balance.ErrResponseTimeout):
		d.table.RecordBrokenResponse(u, cause)
		return d.unknown(x, "silent", "the upstream stayed silent", key, cause)
	case cause != nil:
		return d.unknown(x, "over", "the time is over", key, cause)
	default:
		d.table.RecordBrokenResponse(u, err)
		d.deaths.broke(u, x.fingerprint)
		d.pool.CloseIdle(key.Address)
		return d.unknown(x, "no-answer", "the upstream did not answer", key, err)
	}
}

// shed deals with an answer that says that the request did not run.
func (d *dispatch) shed(u *catalog.Upstream, resp *http.Response, reply ResponseMetadata, release func(bool)) result {
	key := u.Key()
	d.metrics.notRun.Inc(1)
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWholeBytes))
	release(err == nil)
	if reply.WrongInstance {
		d.table.MarkReplaced(u)
		return notRun(true, "wrong-instance", "another upstream has the address", key, nil)
	}
	d.table.MarkFull(key)
	return notRun(true, "upstream-full", "the upstream did not take the request", key, nil)
}

// watch ends a send whose upstream is silent for too long, where the request may go on elsewhere.
type watch struct {
	timer *time.Timer
	limit time.Duration
}

func (d *dispatch) newWatch(x *Request, cancel context.CancelCauseFunc) *watch {
	if !x.Route.Repeatable() || x.runs+1 >= x.Route.MaxAttempts {
		return &watch{}
	}
	first, between := firstEventLimit, silenceLimit
	if x.Route.Kind == catalog.Safe {
		first = x.Deadline.Sub(d.clock.Now()) / 2
	}
	return &watch{timer: time.AfterFunc(first, func() { cancel(balance.ErrResponseTimeout) }), limit: between}
}

func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
