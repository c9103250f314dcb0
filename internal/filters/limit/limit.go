// Package limit refuses requests that exceed their team's rate and burst.
package limit

import (
	"context"
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/quota"
)

// Name is the step that this filter's refusals carry.
const Name = "limit"

// Admitter takes a token from a team's token bucket and decides whether a request is admitted.
type Admitter interface {
	Admit(ctx context.Context, snap *document.Snapshot, team *document.Team) quota.Decision
}

// Filter is the limit step.
type Filter struct {
	limiter  Admitter
	admitted tally.Counter
	refused  tally.Counter
}

// New returns the filter.
func New(limiter Admitter, scope tally.Scope) *Filter {
	return &Filter{
		limiter: limiter, admitted: scope.Counter("limit_admitted"), refused: scope.Counter("limit_refused"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter. Requests without a team, which only open routes allow, are not limited.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if x.Team == nil {
		return next(ctx, x)
	}
	d := f.limiter.Admit(ctx, x.Snapshot, x.Team)
	if !d.Admitted {
		f.refused.Inc(1)
		return outcome.Refuse(Name, http.StatusTooManyRequests, "over-rate", "the team is above its rate").
			WithRetryAfter(d.RetryAfter)
	}
	f.admitted.Inc(1)
	return next(ctx, x)
}
