// Package authorise finds the request's route and decides whether the request's team may use it.
package authorise

import (
	"context"
	"net/http"
	"slices"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/routing"
)

// Name is the step that this filter's refusals carry.
const Name = "authorise"

// Filter is the authorise step.
type Filter struct {
	refused tally.Counter
}

// New returns the filter.
func New(scope tally.Scope) *Filter {
	return &Filter{refused: scope.Counter("authorise_refused")}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if refusal := decide(x); refusal != nil {
		f.refused.Inc(1)
		return refusal
	}
	return next(ctx, x)
}

func decide(x *exchange.Exchange) *outcome.Refusal {
	route, known := routing.Match(x.Snapshot, x.Method, x.Path)
	switch {
	case !known:
		return outcome.Refuse(Name, http.StatusNotFound, "no-route", "no route has this path")
	case route == nil:
		return outcome.Refuse(Name, http.StatusMethodNotAllowed, "bad-method", "the route does not allow this method")
	}
	x.Route = route
	if route.Open {
		return nil
	}
	if x.Team == nil {
		return outcome.Refuse(Name, http.StatusUnauthorized, "no-key", "the route needs a key")
	}
	if len(route.Teams) > 0 && !slices.Contains(route.Teams, x.Team.Name) {
		return outcome.Refuse(Name, http.StatusForbidden, "not-allowed", "the team may not use this route")
	}
	return nil
}
