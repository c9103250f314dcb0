package router

import (
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/admit"
	"github.com/orioleusher/orioleusher/internal/filters/authorise"
	"github.com/orioleusher/orioleusher/internal/filters/dispatch"
	"github.com/orioleusher/orioleusher/internal/filters/idempotency"
	"github.com/orioleusher/orioleusher/internal/filters/identify"
	"github.com/orioleusher/orioleusher/internal/filters/limit"
	"github.com/orioleusher/orioleusher/internal/filters/route"
	"github.com/orioleusher/orioleusher/internal/filters/send"
)

// entryChain is what a caller's request passes, in this order, on the host that accepted it.
func (r *Router) entryChain() exchange.Next {
	filters := []exchange.Filter{
		identify.New(r.clock, r.scope),
		authorise.New(r.scope),
		limit.New(r.borrower, r.scope),
	}
	return exchange.Chain(append(filters, r.issuerFilters()...)...)
}

// issuerChain is what a request with an idempotency key passes on the host that issued the key.
func (r *Router) issuerChain() exchange.Next {
	return exchange.Chain(r.issuerFilters()...)
}

func (r *Router) issuerFilters() []exchange.Filter {
	return []exchange.Filter{
		idempotency.New(r.settings.Name, r.registry, r.hops, r.scope),
		route.New(r.settings.DataCentre, r.scope),
		dispatch.New(r.settings.Name, r.members, r.hops, r.ownerChain(), r.scope),
	}
}

// ownerChain is what a request passes on the host that owns the chosen upstream.
func (r *Router) ownerChain() exchange.Next {
	return exchange.Chain(
		admit.New(r.upstreams, r.scope),
		send.New(r.client, r.scope),
	)
}
