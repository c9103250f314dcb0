package direct

import (
	"context"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// What ends a response that has begun before it is whole; docs/design/streams.md has the rule.
const (
	endCallersDeadline = "caller-deadline"
	endRouteTimeout    = "route-timeout"
	endCaller          = "caller"
	endNoProgress      = "no-progress"
	endSize            = "size"
	endStop            = "stop"
	endUpstream        = "upstream"
)

// endedBy returns what ended the response, from the cause of its last attempt. The context is that of the caller's
// connection.
func (s *Server) endedBy(ctx context.Context, req *Request, cause error) string {
	switch {
	case errors.Is(cause, balance.ErrResponseTimeout):
		return endNoProgress
	case errors.Is(cause, upconn.ErrResponseTooLarge):
		return endSize
	case errors.Is(cause, errStopped):
		return endStop
	case s.Clock.Now().Before(req.Deadline) && (req.response.callerGone || ctx.Err() != nil):
		return endCaller
	case s.Clock.Now().Before(req.Deadline):
		return endUpstream
	case req.callersDeadline:
		return endCallersDeadline
	default:
		return endRouteTimeout
	}
}
