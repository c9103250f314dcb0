// Package route puts the upstreams that may serve a request in the order of preference.
package route

import (
	"context"
	"slices"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/routing"
)

// Name is the filter's step.
const Name = "route"

// Filter is the route step.
type Filter struct {
	dataCentre string
	empty      tally.Counter
}

// New returns the filter of a host in the data centre.
func New(dataCentre string, scope tally.Scope) *Filter {
	return &Filter{dataCentre: dataCentre, empty: scope.Counter("route_no_upstream")}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	x.ChatID = routing.ChatID(x.Header, x.Body, x.Trace)
	pool := x.Snapshot.Pool(x.Route.Pool)
	x.Candidates = routing.Candidates(x.Snapshot, pool, x.ChatID, f.dataCentre)
	if len(x.Candidates) == 0 {
		f.empty.Inc(1)
		return outcome.Unavailable(Name, "no-upstream", "no upstream of the pool takes new work").WithPeer(pool.Name, nil)
	}
	x.Candidates = avoidLast(x.Candidates, x.Avoid)
	return next(ctx, x)
}

// avoidLast moves the upstreams that failed the request already to the end.
func avoidLast(candidates, avoid []string) []string {
	if len(avoid) == 0 {
		return candidates
	}
	var first, last []string
	for _, c := range candidates {
		if slices.Contains(avoid, c) {
			last = append(last, c)
		} else {
			first = append(first, c)
		}
	}
	return append(first, last...)
}
