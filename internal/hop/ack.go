package hop

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/silence"
)

// ackPatience is how long a forward on a pooled connection waits for the peer's acknowledgement, which comes before the
// peer does anything else.
const ackPatience = 2 * time.Second

// errNoAck is the cause for which a forward on a pooled connection is given up.
var errNoAck = errors.New("pooled connection stayed silent")

// acknowledge tells the sender that the hop has arrived, long before its answer can.
func acknowledge(w http.ResponseWriter) { w.WriteHeader(http.StatusProcessing) }

// roundTrip sends the hop. A request that may not be repeated gets a connection of its own; a repeatable one whose
// pooled connection brings no acknowledgement is sent once more on a new one. The result says whether a connection was
// handed to the request, after which bytes may have been sent.
func (c *Client) roundTrip(ctx context.Context, x *exchange.Exchange, d Destination) (resp *http.Response, sent bool, err error) {
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	if x.Route.Repeatable {
		resp, err = c.acked(ctx, x, d)
		if !errors.Is(err, errNoAck) {
			return resp, got.Load(), err
		}
		c.silent.Inc(1)
		// Whatever lost track of one connection has most likely lost track of the others too.
		c.pooled.CloseIdleConnections()
	}
	req, err := c.request(ctx, x, d)
	if err != nil {
		return nil, got.Load(), err
	}
	resp, err = c.fresh.RoundTrip(req)
	return resp, got.Load(), err
}

// acked sends the hop on a pooled connection if there is one. The error is errNoAck if that connection brought no
// acknowledgement in time.
func (c *Client) acked(ctx context.Context, x *exchange.Exchange, d Destination) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(ackPatience, func() { cancel(errNoAck) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused {
				timer.Stop()
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			timer.Stop()
			return nil
		},
	})
	req, err := c.request(ctx, x, d)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp, err := c.pooled.RoundTrip(req)
	timer.Stop()
	if err == nil {
		resp.Body = silence.OnClose(resp.Body, func() { cancel(nil) })
		return resp, nil
	}
	cause := context.Cause(ctx)
	cancel(nil)
	if errors.Is(cause, errNoAck) {
		return nil, errNoAck
	}
	return nil, errors.Wrap(err, "send hop")
}
