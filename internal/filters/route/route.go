// Package route lists the upstreams that may serve a request, in order of preference.
package route

import (
	"context"
	"net/http"
	"slices"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/routing"
)

// Name is the step that this filter's refusals carry.
const Name = "route"

// Filter is the route step.
type Filter struct {
	planner    *routing.Planner
	noUpstream tally.Counter
	wrongModel tally.Counter
}

// New returns the filter.
func New(planner *routing.Planner, scope tally.Scope) *Filter {
	return &Filter{
		planner: planner, noUpstream: scope.Counter("route_no_upstream"), wrongModel: scope.Counter("route_wrong_model"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter. It refuses a request for a model that the route's pool does not serve.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	pool := x.Snapshot.Pool(x.Route.Pool)
	var content routing.RequestContent
	if pool.Kind == document.KindEngine {
		content = routing.ParseContent(x.Body)
	}
	if content.Model != "" && pool.Model != "" && content.Model != pool.Model {
		f.wrongModel.Inc(1)
		return outcome.Refuse(Name, http.StatusNotFound, "wrong-model", "the route does not serve this model").
			WithPeer(pool.Name, nil)
	}
	x.ChatID = content.ChatID(x.Header, x.TraceID)
	x.Candidates = f.planner.Candidates(x.Snapshot, pool, x.ChatID, make([]string, 0, routing.MaxCandidates))
	if len(x.Candidates) == 0 {
		f.noUpstream.Inc(1)
		return outcome.Unavailable(Name, "no-upstream", "no upstream of the pool takes new work").WithPeer(pool.Name, nil)
	}
	x.Candidates = deprioritise(x.Candidates, x.FailedUpstreams)
	return next(ctx, x)
}

// deprioritise moves the upstreams that have already failed the request to the end.
func deprioritise(candidates, failed []string) []string {
	if len(failed) == 0 {
		return candidates
	}
	var preferred, avoided []string
	for _, c := range candidates {
		if slices.Contains(failed, c) {
			avoided = append(avoided, c)
		} else {
			preferred = append(preferred, c)
		}
	}
	return append(preferred, avoided...)
}
