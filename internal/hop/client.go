package hop

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// maxRefusalBytes bounds the refusal that a peer may send.
const maxRefusalBytes = 64 << 10

// Client forwards exchanges to other routers. It is safe for concurrent use.
type Client struct {
	self        string
	incarnation uint64
	scheme      string
	transport   http.RoundTripper
	clock       clockwork.Clock
	peers       Peers
	watch       *watch
}

// Peers is this host's view of the others.
type Peers interface {
	// Reachable reports whether the host is believed live and reachable from here.
	Reachable(host string) bool
	// Suspect notes that this host failed to reach the other one.
	Suspect(host string)
}

// NewClient returns a client that speaks scheme (http or https) over the transport.
func NewClient(self string, incarnation uint64, scheme string, transport http.RoundTripper, peers Peers, clock clockwork.Clock) *Client {
	return &Client{
		self: self, incarnation: incarnation, scheme: scheme, transport: transport, clock: clock,
		peers: peers, watch: newWatch(peers),
	}
}

// Run ends forwards whose peer is no longer reachable, until the context ends.
func (c *Client) Run(ctx context.Context) { c.watch.run(ctx, c.clock) }

// Forward sends the exchange to the destination. The error is an *outcome.Refusal, either the receiver's own or, when
// the receiver did not answer, one whose outcome is not-run only if the request cannot have reached it.
func (c *Client) Forward(ctx context.Context, x *exchange.Exchange, d Destination) (*exchange.Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx, done := c.watched(httptrace.WithClientTrace(ctx, trace), x, d.Host.Name)
	req, err := c.request(ctx, x, d)
	if err != nil {
		done()
		return nil, outcome.Unavailable(step, "internal", "the request cannot be forwarded").WithPeer(d.Host.Name, err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if ctx.Err() == nil {
			c.peers.Suspect(d.Host.Name)
		}
		done()
		return nil, noAnswer(d.Host.Name, sent.Load(), err)
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, done: done}
	if resp.Header.Get(headerRefusal) != "" {
		return nil, readRefusal(resp, d.Host.Name)
	}
	upstream := resp.Header.Get(outcome.HeaderUpstream)
	return &exchange.Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Upstream: upstream}, nil
}

// watched returns a context that ends when the peer becomes unreachable, and the function that ends the watch. A
// request that may not be repeated is not watched: its answer may still come, and nothing else could be done.
func (c *Client) watched(ctx context.Context, x *exchange.Exchange, host string) (context.Context, func()) {
	if !x.Route.Repeatable {
		return ctx, func() {}
	}
	return c.watch.add(ctx, host)
}

func (c *Client) request(ctx context.Context, x *exchange.Exchange, d Destination) (*http.Request, error) {
	text, err := encodeEnvelope(envelope(x, d, c.self, c.incarnation, c.clock.Now()))
	if err != nil {
		return nil, err
	}
	target := c.scheme + "://" + d.Host.PeerAddress + Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, newOnceReader(x.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build hop request")
	}
	req.ContentLength = int64(len(x.Body))
	req.Header = x.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Del("Content-Length")
	req.Header.Del("Connection")
	req.Header.Set(headerEnvelope, text)
	return req, nil
}

func noAnswer(peer string, sent bool, err error) *outcome.Refusal {
	if !sent {
		return outcome.Unavailable(step, "peer-unreachable", "the peer could not be reached").WithPeer(peer, err)
	}
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "peer-silent", Message: "the peer did not answer",
		Step: step, Peer: peer, Outcome: outcome.Unknown, Cause: err,
	}
}

func readRefusal(resp *http.Response, peer string) *outcome.Refusal {
	defer resp.Body.Close()
	var r outcome.Refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&r); err != nil {
		return noAnswer(peer, true, errors.Wrap(err, "decode refusal"))
	}
	return &r
}

// onceReader hides the body's type from net/http, which would otherwise be able to resend the request on its own.
type onceReader struct {
	rest []byte
}

func newOnceReader(body []byte) io.Reader { return &onceReader{rest: body} }

// Read implements io.Reader.
func (o *onceReader) Read(p []byte) (int, error) {
	if len(o.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, o.rest)
	o.rest = o.rest[n:]
	return n, nil
}
