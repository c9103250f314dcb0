package transport

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/silence"
)

// pooledPatience is how long a request on a pooled connection waits for the first byte of its answer before the
// connection counts as silent.
const pooledPatience = 3 * time.Second

// errSilentPool is the cause for which a request on a pooled connection is given up.
var errSilentPool = errors.New("pooled connection stayed silent")

// sendPooled sends the exchange on a pooled connection if there is one. The error is errSilentPool if that connection
// gave no answer in time.
func (c *Client) sendPooled(ctx context.Context, x *exchange.Exchange, upstream, address string) (*exchange.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(pooledPatience, func() { cancel(errSilentPool) })
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			timer.Stop()
		}
	}}
	answer, err := c.send(httptrace.WithClientTrace(ctx, trace), c.pooled, x, upstream, address)
	timer.Stop()
	if err != nil {
		// The context's cause is read before cancel, which would not replace it but ends the request for good.
		cause := context.Cause(ctx)
		cancel(nil)
		if errors.Is(cause, errSilentPool) {
			return nil, errSilentPool
		}
		return nil, err
	}
	answer.Body = silence.OnClose(answer.Body, func() { cancel(nil) })
	return answer, nil
}
