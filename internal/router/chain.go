package router

import (
	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/admit"
	"github.com/orioleusher/orioleusher/internal/filters/authorise"
	"github.com/orioleusher/orioleusher/internal/filters/awake"
	"github.com/orioleusher/orioleusher/internal/filters/dispatch"
	"github.com/orioleusher/orioleusher/internal/filters/idempotency"
	"github.com/orioleusher/orioleusher/internal/filters/identify"
	"github.com/orioleusher/orioleusher/internal/filters/limit"
	"github.com/orioleusher/orioleusher/internal/filters/quarantine"
	"github.com/orioleusher/orioleusher/internal/filters/resume"
	"github.com/orioleusher/orioleusher/internal/filters/route"
	"github.com/orioleusher/orioleusher/internal/filters/send"
)

// entryChain returns the filters, in order, that a caller's request passes through on the host that accepted it.
func (r *Router) entryChain() exchange.Next {
	filters := []exchange.Filter{
		awake.New(r.guard, r.store),
		identify.New(r.clock, r.store, r.scope),
		authorise.New(r.scope),
		limit.New(r.borrower, r.scope),
	}
	return chain.Compose(append(filters, r.sharedFilters(true)...)...)
}

// issuerChain returns the filters that a request with an idempotency key passes through on the host that issued the
// key.
func (r *Router) issuerChain() exchange.Next {
	return chain.Compose(append([]exchange.Filter{awake.New(r.guard, r.store)}, r.sharedFilters(false)...)...)
}

// sharedFilters returns the filters that both of these chains end with. The flag atEntryHost is set for the host that
// accepted the request.
func (r *Router) sharedFilters(atEntryHost bool) []exchange.Filter {
	entryFilter := quarantine.NewEntryFilter(r.quarantine, r.prober, r.gossip.GossipNow, r.scope)
	return []exchange.Filter{
		idempotency.New(idempotency.Options{
			Self: r.settings.Name, Registry: r.registry, Hops: r.hops, Liveness: r.members, AtEntryHost: atEntryHost, Scope: r.scope,
		}),
		entryFilter,
		resume.New(entryFilter, r.scope),
		route.New(r.planner, r.scope),
		dispatch.New(dispatch.Options{
			Self: r.settings.Name, Policy: r.settings.RoutingPolicy, Liveness: r.members, Hints: r.upstreams,
			Hops: r.hops, OwnerChain: r.ownerChain(), Scope: r.scope,
		}),
	}
}

// ownerChain returns the filters that a request passes through on the host that owns the chosen upstream.
func (r *Router) ownerChain() exchange.Next {
	return chain.Compose(
		awake.New(r.guard, r.store),
		quarantine.NewOwnerFilter(r.quarantine, r.suspectLimiter, r.prober, r.scope),
		admit.New(r.upstreams, r.scope),
		awake.NewPreSend(r.guard, r.store),
		send.New(r.client, r.scope),
	)
}
