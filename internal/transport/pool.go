package transport

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/idletimeout"
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
	timer := time.AfterFunc(pooledFirstByteTimeout, func() { cancel(errNoPooledResponse) })
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			timer.Stop()
		}
	}}
	response, err := c.send(httptrace.WithClientTrace(ctx, trace), c.pooled, x, upstream, address)
	timer.Stop()
	if err != nil {
		// The cause is read before cancel ends the request. The cancel would not replace a cause that is already set.
		cause := context.Cause(ctx)
		cancel(nil)
		if errors.Is(cause, errNoPooledResponse) {
			return nil, errNoPooledResponse
		}
		return nil, err
	}
	response.Body = idletimeout.OnClose(response.Body, func() { cancel(nil) })
	return response, nil
}
