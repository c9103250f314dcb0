package hop

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/idletimeout"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// maxRefusalBytes bounds the body of a peer's refusal.
const maxRefusalBytes = 64 << 10

// Client forwards exchanges to other routers. It is safe for concurrent use.
type Client struct {
	self        string
	incarnation uint64
	scheme      string
	clock       clockwork.Clock
	peers       Peers
	watch       *peerWatch
	// pooled reuses connections; fresh opens a new one for each hop.
	pooled *http.Transport
	fresh  *http.Transport
	// betweenBytes is the longest time without a byte inside a response.
	betweenBytes time.Duration
	brokenConns  tally.Counter
}

// idleTimeoutMargin is added to the time without a byte that the peer itself allows, so that the peer's own refusal
// arrives first.
const idleTimeoutMargin = time.Second

// Options configures NewClient.
type Options struct {
	// Self is this host's name.
	Self        string
	Incarnation uint64
	// Scheme is http or https.
	Scheme    string
	Transport *http.Transport
	// BetweenBytes is the longest time without a byte that an owner allows inside an upstream's response.
	BetweenBytes time.Duration
	Peers        Peers
	Clock        clockwork.Clock
	Scope        tally.Scope
}

// Peers is this host's view of the other hosts' liveness.
type Peers interface {
	// Reachable reports whether the host is considered live and reachable from this host.
	Reachable(host string) bool
	// RecordFailure records that this host failed to reach the given host.
	RecordFailure(host string)
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	fresh := o.Transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		self: o.Self, incarnation: o.Incarnation, scheme: o.Scheme, clock: o.Clock, peers: o.Peers,
		watch: newPeerWatch(o.Peers), pooled: o.Transport, fresh: fresh, betweenBytes: o.BetweenBytes + idleTimeoutMargin,
		brokenConns: o.Scope.Counter("hop_silent_connections"),
	}
}

// Run cancels hops in flight whose peer becomes unreachable. It returns when the context ends.
func (c *Client) Run(ctx context.Context) { c.watch.run(ctx, c.clock) }

// Forward sends the exchange to the destination. The error is an *outcome.Refusal. It is either the receiver's own or,
// if the receiver did not respond, one whose outcome is not-run only if the request cannot have reached the receiver.
func (c *Client) Forward(ctx context.Context, x *exchange.Exchange, d Destination) (*exchange.Response, error) {
	ctx, done := c.watchPeer(ctx, x, d.Host.Name)
	resp, sent, err := c.roundTrip(ctx, x, d)
	if err != nil {
		if ctx.Err() == nil {
			c.peers.RecordFailure(d.Host.Name)
		}
		done()
		return nil, noResponseRefusal(d.Host.Name, sent, err)
	}
	resp.Body = idletimeout.OnClose(idletimeout.WithIdleTimeout(resp.Body, c.betweenBytes), done)
	if resp.Header.Get(headerRefusal) != "" {
		return nil, readRefusal(resp, d.Host.Name)
	}
	upstream := resp.Header.Get(outcome.HeaderUpstream)
	return &exchange.Response{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Upstream: upstream,
		Earlier: outcome.Earlier(resp.Header.Get(outcome.HeaderEarlier)),
	}, nil
}

// watchPeer returns a context that is cancelled when the peer becomes unreachable, and a function that ends the watch.
// The peer of a request that is not repeatable is not watched: the response may still arrive, and the request cannot be
// sent elsewhere.
func (c *Client) watchPeer(ctx context.Context, x *exchange.Exchange, host string) (context.Context, func()) {
	if !x.Route.Repeatable {
		return ctx, func() {}
	}
	return c.watch.add(ctx, host)
}

func (c *Client) request(ctx context.Context, x *exchange.Exchange, d Destination) (*http.Request, error) {
	encoded, err := encodeEnvelope(envelope(x, d, c.self, c.incarnation, c.clock.Now()))
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
	req.Header.Set(headerEnvelope, encoded)
	return req, nil
}

func noResponseRefusal(peer string, sent bool, err error) *outcome.Refusal {
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
		return noResponseRefusal(peer, true, errors.Wrap(err, "decode refusal"))
	}
	return &r
}

// onceReader hides the body's type from net/http, which could otherwise rewind the body and resend the request on its
// own.
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
