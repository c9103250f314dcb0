package direct

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/inbound"
)

// filters returns the filters that a caller's request passes through, in this order.
func (s *Server) filters() []Filter {
	return []Filter{
		&admissionFilter{store: s.Store, clock: s.Clock},
		&deadlineFilter{clock: s.Clock},
		&bodyFilter{store: s.Store, bodies: s.dispatch.bodies, stop: s.stop, clock: s.Clock},
		&quarantineFilter{quarantine: s.Quarantine},
		&originFilter{store: s.Store, resolver: s.Origins},
		s.dispatch,
	}
}

// newDispatchFilter returns the last filter, which also serves the detours of other hosts.
func (s *Server) newDispatchFilter() *dispatchFilter {
	d := &dispatchFilter{
		shareOrigin:  s.ShareOrigin,
		incarnations: &incarnationCheck{store: s.Store, listing: s.Listing, registration: s.RegistrationTime, clock: s.Clock, log: s.Log},
		store:        s.Store, balancer: s.Balancer, selector: s.Selector, desk: s.desk, prompts: s.Prompts, reach: s.Reach, detours: s.DetourPeers,
		retryBudget: s.RetryBudget, pool: s.Pool, hosts: s.Hosts, codec: s.Codec, clock: s.Clock, stop: s.stop,
		reachability: &reachability{open: s.Pool.Open, clock: s.Clock, probes: map[string]*probe{}},
		bodies:       inbound.NewByteBudget(s.BodyBytes), responses: inbound.NewByteBudget(s.ResponseBytes), log: s.Log,
		metrics: newDispatchMetrics(s.Scope),
	}
	d.crashes = &crashDetector{
		quarantine: s.Quarantine, prompts: s.Prompts, refuses: d.refusesConnections, clock: s.Clock, log: s.Log,
		suspects: map[catalog.UpstreamKey][]suspect{},
	}
	return d
}

// deadlineFilter cancels the rest of the chain at the request's deadline.
type deadlineFilter struct {
	clock clockwork.Clock
}

// Name implements Filter.
func (*deadlineFilter) Name() string { return "deadline" }

// Handle implements Filter.
func (f *deadlineFilter) Handle(ctx context.Context, req *Request, next Next) error {
	ctx, cancel := clockwork.WithDeadline(ctx, f.clock, req.Deadline)
	defer cancel()
	// Some connections do not support deadlines; there the caller's own timeout bounds the write.
	req.response.writeDeadline = req.Deadline.Add(writeGrace)
	_ = http.NewResponseController(req.response.writer).SetWriteDeadline(req.response.writeDeadline)
	return next(ctx, req)
}
