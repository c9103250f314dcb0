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
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/silence"
)

// maxRefusalBytes bounds the refusal that a peer may send.
const maxRefusalBytes = 64 << 10

// Client forwards exchanges to other routers. It is safe for concurrent use.
type Client struct {
	self        string
	incarnation uint64
	scheme      string
	clock       clockwork.Clock
	peers       Peers
	watch       *watch
	// pooled keeps connections open for the next hop; fresh opens one for each.
	pooled *http.Transport
	fresh  *http.Transport
	// betweenBytes is the longest silence inside an answer.
	betweenBytes time.Duration
	silent       tally.Counter
}

// silenceMargin is added to the silence that the peer itself allows, so that the peer's own verdict comes first.
const silenceMargin = time.Second

// Options configures NewClient.
type Options struct {
	// Self is this host's name.
	Self        string
	Incarnation uint64
	// Scheme is http or https.
	Scheme    string
	Transport *http.Transport
	// BetweenBytes is the longest silence that an owner allows inside an upstream's answer.
	BetweenBytes time.Duration
	Peers        Peers
	Clock        clockwork.Clock
	Scope        tally.Scope
}

// Peers is this host's view of the others.
type Peers interface {
	// Reachable reports whether the host is believed live and reachable from here.
	Reachable(host string) bool
	// Suspect notes that this host failed to reach the other one.
	Suspect(host string)
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	fresh := o.Transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		self: o.Self, incarnation: o.Incarnation, scheme: o.Scheme, clock: o.Clock, peers: o.Peers,
		watch: newWatch(o.Peers), pooled: o.Transport, fresh: fresh, betweenBytes: o.BetweenBytes + silenceMargin,
		silent: o.Scope.Counter("hop_silent_connections"),
	}
}

// Run ends forwards whose peer is no longer reachable, until the context ends.
func (c *Client) Run(ctx context.Context) { c.watch.run(ctx, c.clock) }

// Forward sends the exchange to the destination. The error is an *outcome.Refusal, either the receiver's own or, when
// the receiver did not answer, one whose outcome is not-run only if the request cannot have reached it.
func (c *Client) Forward(ctx context.Context, x *exchange.Exchange, d Destination) (*exchange.Response, error) {
	ctx, done := c.watched(ctx, x, d.Host.Name)
	resp, sent, err := c.roundTrip(ctx, x, d)
	if err != nil {
		if ctx.Err() == nil {
			c.peers.Suspect(d.Host.Name)
		}
		done()
		return nil, noAnswer(d.Host.Name, sent, err)
	}
	resp.Body = silence.OnClose(silence.WithIdleTimeout(resp.Body, c.betweenBytes), done)
	if resp.Header.Get(headerRefusal) != "" {
		return nil, readRefusal(resp, d.Host.Name)
	}
	upstream := resp.Header.Get(outcome.HeaderUpstream)
	return &exchange.Response{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Upstream: upstream,
		Earlier: outcome.Earlier(resp.Header.Get(outcome.HeaderEarlier)),
	}, nil
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
