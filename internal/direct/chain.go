package direct

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/inbound"
)

// filters is what a caller's request passes, in this order.
func (s *Server) filters() []Filter {
	return []Filter{
		&admit{store: s.Store, clock: s.Clock},
		&deadline{clock: s.Clock},
		&receive{store: s.Store, bodies: inbound.NewBodyBudget(s.BodyBytes)},
		&hold{table: s.Quarantine},
		&dispatch{
			store: s.Store, table: s.Table, retries: s.RetryBudget, cold: s.ColdLimiter, pool: s.Pool, codec: s.Codec, clock: s.Clock,
			log: s.Log, metrics: newMetrics(s.Scope), deaths: &deaths{
				table: s.Quarantine, dial: s.Pool.Dial, clock: s.Clock, log: s.Log, running: map[catalog.UpstreamKey][]uint64{},
			},
		},
	}
}

// deadline ends the rest of the chain when the request's time is over.
type deadline struct {
	clock clockwork.Clock
}

// Name implements Filter.
func (*deadline) Name() string { return "deadline" }

// Handle implements Filter.
func (f *deadline) Handle(ctx context.Context, x *Request, next Next) error {
	ctx, cancel := clockwork.WithDeadline(ctx, f.clock, x.Deadline)
	defer cancel()
	// A connection that takes no deadline is bounded by the caller's patience.
	_ = http.NewResponseController(x.out.w).SetWriteDeadline(x.Deadline.Add(writeSlack))
	return next(ctx, x)
}
