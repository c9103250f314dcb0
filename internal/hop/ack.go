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
	"github.com/orioleusher/orioleusher/internal/idletimeout"
	"github.com/orioleusher/orioleusher/internal/replylimit"
)

// ackTimeout is how long a hop on a pooled connection waits for the acknowledgement, which the peer sends before it
// processes the hop.
const ackTimeout = 2 * time.Second

// errNoAck is the cancellation cause of a hop whose pooled connection brought no acknowledgement in time.
var errNoAck = errors.New("no acknowledgement on the pooled connection")

// acknowledge sends an interim response, which shows the sender that the hop has arrived long before the response is
// ready.
func acknowledge(w http.ResponseWriter) { w.WriteHeader(http.StatusProcessing) }

// roundTrip sends the hop. A request on a route that is not repeatable gets a new connection. A repeatable request
// whose pooled connection brings no acknowledgement is sent once more on a new one. The result sent reports whether the
// request was given a connection, after which bytes of it may have been sent.
func (c *Client) roundTrip(ctx context.Context, x *exchange.Exchange, d Destination) (resp *http.Response, sent bool, err error) {
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	if x.Route.Repeatable {
		resp, err = c.sendPooled(ctx, x, d)
		if !errors.Is(err, errNoAck) {
			return resp, got.Load(), err
		}
		c.brokenConns.Inc(1)
		// Whatever broke one pooled connection has most likely broken the others too.
		c.pooled.CloseIdleConnections()
	}
	req, err := c.request(ctx, x, d)
	if err != nil {
		return nil, got.Load(), err
	}
	resp, err = c.fresh.RoundTrip(req)
	return resp, got.Load(), err
}

// sendPooled sends the hop on a pooled connection if there is one. The error is errNoAck if that connection brought no
// acknowledgement in time.
func (c *Client) sendPooled(ctx context.Context, x *exchange.Exchange, d Destination) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	limit := replylimit.Start(ackTimeout, func() { cancel(errNoAck) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused {
				limit.Lift()
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			limit.Lift()
			return nil
		},
	})
	req, err := c.request(ctx, x, d)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp, err := c.pooled.RoundTrip(req)
	if !limit.Lift() {
		if err == nil {
			resp.Body.Close()
		}
		return nil, errNoAck
	}
	if err == nil {
		resp.Body = idletimeout.OnClose(resp.Body, func() { cancel(nil) })
		return resp, nil
	}
	cancel(nil)
	return nil, errors.Wrap(err, "send hop")
}
