// Package transport sends requests to upstreams. It is the only place that derives the outcome of an attempt from what
// happened on the connection.
package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/idletimeout"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// step is the step that this package's refusals carry.
const step = "transport"

// CodeConnectFailed is the refusal code for an upstream to which no connection could be opened.
const CodeConnectFailed = "connect-failed"

// HeaderRequestID carries the exchange's trace ID to the upstream, which echoes it in its response.
const HeaderRequestID = "X-Request-Id"

// maxIdleConnTime bounds the time that a connection stays idle. A network path that was lost in the meantime is
// detected when a new connection is opened.
const maxIdleConnTime = 30 * time.Second

// MaxResponseHeadBytes limits the status line and the headers of an upstream's response.
const MaxResponseHeadBytes = 64 << 10

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections.
	pooled *http.Transport
	// fresh opens a new connection for each request.
	fresh       *http.Transport
	prober      *Prober
	timeouts    settings.Timeouts
	brokenConns tally.Counter
}

// NewClient returns a client with the given timeouts that connects with the dialer. It reports the boot ID in each
// response to the prober.
func NewClient(t settings.Timeouts, dialer *net.Dialer, prober *Prober, scope tally.Scope) *Client {
	pooled := &http.Transport{
		DialContext:            keepHeads(dialer.DialContext),
		ResponseHeaderTimeout:  t.FirstByte.Std(),
		IdleConnTimeout:        maxIdleConnTime,
		MaxIdleConnsPerHost:    64,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxResponseHeadBytes,
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		pooled: pooled, fresh: fresh, prober: prober, timeouts: t, brokenConns: scope.Counter("transport_silent_connections"),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Send sends the exchange to the upstream's address. The error is an *outcome.Refusal whose outcome is not-run only if
// no byte of the request can have left this host.
//
// A request on a route that is not repeatable always gets a new connection, since a pooled one may be broken without
// notice. A repeatable request that gets no response on a pooled connection in time is sent once more on a new one.
func (c *Client) Send(ctx context.Context, x *exchange.Exchange, upstream, address string) (*exchange.Response, error) {
	if !x.Route.Repeatable {
		return c.send(ctx, c.fresh, x, upstream, address)
	}
	response, err := c.sendPooled(ctx, x, upstream, address)
	if !errors.Is(err, errNoPooledResponse) {
		return response, err
	}
	c.brokenConns.Inc(1)
	// Whatever broke one pooled connection has most likely broken the others too.
	c.pooled.CloseIdleConnections()
	return c.send(ctx, c.fresh, x, upstream, address)
}

func (c *Client) send(ctx context.Context, via *http.Transport, x *exchange.Exchange, upstream, address string) (*exchange.Response, error) {
	body := &trackedBody{r: bytes.NewReader(x.Body)}
	req, used, err := c.request(ctx, x, address, body)
	if err != nil {
		return nil, outcome.Unavailable(step, "bad-request", "the request cannot be built").WithPeer(upstream, err)
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return nil, sendRefusal(upstream, used.sent() || body.read.Load(), err)
	}
	if err := used.check(); err != nil {
		resp.Body.Close()
		return nil, sendRefusal(upstream, true, err)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != x.TraceID {
		resp.Body.Close()
		return nil, wrongRequestIDRefusal(upstream, echo)
	}
	c.prober.RecordBootID(upstream, resp.Header)
	return &exchange.Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Body:     idletimeout.WithIdleTimeout(resp.Body, c.timeouts.BetweenBytes.Std()),
		Upstream: upstream,
	}, nil
}

func sendRefusal(upstream string, sent bool, err error) *outcome.Refusal {
	if !sent {
		return outcome.Unavailable(step, CodeConnectFailed, "the upstream could not be reached").WithPeer(upstream, err)
	}
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "no-answer", Message: "the upstream did not answer",
		Step: step, Peer: upstream, Outcome: outcome.Unknown, Cause: err,
	}
}

func wrongRequestIDRefusal(upstream, echo string) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "crossed-answer", Message: "the upstream answered another request",
		Step: step, Peer: upstream, Outcome: outcome.Unknown,
		Cause: errors.Errorf("response carries request ID %q", echo),
	}
}

// trackedBody is the body of a request. It records whether it was read. It also hides bytes.Reader from net/http, which
// could otherwise rewind the body and resend the request on its own.
type trackedBody struct {
	r    *bytes.Reader
	read atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.r.Read(p)
}

func (b *trackedBody) Close() error { return nil }

var _ io.ReadCloser = (*trackedBody)(nil)
