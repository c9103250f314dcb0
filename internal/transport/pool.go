package transport

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/idletimeout"
	"github.com/orioleusher/orioleusher/internal/replylimit"
)

// pooledFirstByteTimeout is how long a request on a pooled connection waits for the first byte of its response before
// the connection is considered broken.
const pooledFirstByteTimeout = 3 * time.Second

// errNoPooledResponse is the cancellation cause of a request whose pooled connection brought no response in time.
var errNoPooledResponse = errors.New("no response on the pooled connection")

// sendPooled sends the exchange on a pooled connection if there is one. The error is errNoPooledResponse if that
// connection brought no response in time.
func (c *Client) sendPooled(ctx context.Context, x *exchange.Exchange, upstream, address string) (*exchange.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	limit := replylimit.Start(pooledFirstByteTimeout, func() { cancel(errNoPooledResponse) })
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			limit.Lift()
		}
	}}
	response, err := c.send(httptrace.WithClientTrace(ctx, trace), c.pooled, x, upstream, address)
	if !limit.Lift() {
		if err == nil {
			response.Body.Close()
		}
		return nil, errNoPooledResponse
	}
	if err != nil {
		cancel(nil)
		return nil, err
	}
	response.Body = idletimeout.OnClose(response.Body, func() { cancel(nil) })
	return response, nil
}
