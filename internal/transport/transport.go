// Package transport sends requests to upstreams and derives, in this one place, the outcome of an attempt from what
// was seen on the connection.
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
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/silence"
)

// step is the name that this package's refusals carry.
const step = "transport"

// CodeConnectFailed is the code of a refusal when no connection to the upstream could be made.
const CodeConnectFailed = "connect-failed"

// HeaderRequestID carries the trace to the upstream, which echoes it.
const HeaderRequestID = "X-Request-Id"

// maxConnAge bounds the life of an unused connection; a path that was lost meanwhile is found by new connections.
const maxConnAge = 30 * time.Second

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	// pooled keeps connections open for the next request.
	pooled *http.Transport
	// fresh opens a connection for each request.
	fresh    *http.Transport
	prober   *Prober
	timeouts settings.Timeouts
	silent   tally.Counter
}

// NewClient returns a client with the given timeouts that connects with the dialer. It tells the prober of the runs of
// the upstreams that answer.
func NewClient(t settings.Timeouts, dialer *net.Dialer, prober *Prober, scope tally.Scope) *Client {
	pooled := &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: t.FirstByte.Std(),
		IdleConnTimeout:       maxConnAge,
		MaxIdleConnsPerHost:   64,
		DisableCompression:    true,
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		pooled: pooled, fresh: fresh, prober: prober, timeouts: t, silent: scope.Counter("transport_silent_connections"),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Send sends the exchange to the upstream's address. The error is an *outcome.Refusal whose outcome is true: not-run
// only if no byte of the request can have left this host.
//
// A request that may not be repeated always gets a connection of its own, since a pooled one may have gone silent
// unnoticed. A repeatable one that gets no answer on a pooled connection in time is sent once more on a new one.
func (c *Client) Send(ctx context.Context, x *exchange.Exchange, upstream, address string) (*exchange.Response, error) {
	if !x.Route.Repeatable {
		return c.send(ctx, c.fresh, x, upstream, address)
	}
	answer, err := c.sendPooled(ctx, x, upstream, address)
	if !errors.Is(err, errSilentPool) {
		return answer, err
	}
	c.silent.Inc(1)
	// Whatever lost track of one connection has most likely lost track of the others too.
	c.pooled.CloseIdleConnections()
	return c.send(ctx, c.fresh, x, upstream, address)
}

func (c *Client) send(ctx context.Context, via *http.Transport, x *exchange.Exchange, upstream, address string) (*exchange.Response, error) {
	body := &trackedBody{r: bytes.NewReader(x.Body)}
	req, sent, err := c.request(ctx, x, address, body)
	if err != nil {
		return nil, outcome.Unavailable(step, "bad-request", "the request cannot be built").WithPeer(upstream, err)
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return nil, refusal(upstream, sent.Load() || body.read.Load(), err)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != x.TraceID {
		resp.Body.Close()
		return nil, crossed(upstream, echo)
	}
	c.prober.RecordBootID(upstream, resp.Header)
	return &exchange.Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Body:     silence.WithIdleTimeout(resp.Body, c.timeouts.BetweenBytes.Std()),
		Upstream: upstream,
	}, nil
}

func refusal(upstream string, sent bool, err error) *outcome.Refusal {
	if !sent {
		return outcome.Unavailable(step, CodeConnectFailed, "the upstream could not be reached").WithPeer(upstream, err)
	}
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "no-answer", Message: "the upstream did not answer",
		Step: step, Peer: upstream, Outcome: outcome.Unknown, Cause: err,
	}
}

func crossed(upstream, echo string) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "crossed-answer", Message: "the upstream answered another request",
		Step: step, Peer: upstream, Outcome: outcome.Unknown,
		Cause: errors.Errorf("answer carries request id %q", echo),
	}
}

// trackedBody is the request's body. It hides bytes.Reader from net/http, which would otherwise be able to rewind and
// resend the body on its own, and records whether it was read.
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
