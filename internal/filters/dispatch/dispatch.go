// Package dispatch hands a request to the owner of the preferred upstream, here or on another host, and goes on to the
// next upstream when the owner says that the request did not run.
package dispatch

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/quarantine"
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// Name is the filter's step.
const Name = "dispatch"

// maxAttempts bounds the upstreams that are tried for one request.
const maxAttempts = 4

// Filter is the dispatch step.
type Filter struct {
	self  string
	live  ownership.Liveness
	hops  *hop.Client
	owner exchange.Next
	local tally.Counter
	hop   tally.Counter
	retry tally.Counter
}

// New returns the filter of the named host; owner is the chain for upstreams that this host owns.
func New(self string, live ownership.Liveness, hops *hop.Client, owner exchange.Next, scope tally.Scope) *Filter {
	return &Filter{
		self: self, live: live, hops: hops, owner: owner,
		local: scope.Counter("dispatch_local"), hop: scope.Counter("dispatch_hop"), retry: scope.Counter("dispatch_retry"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, _ exchange.Next) error {
	var last error
	for i, name := range x.Candidates {
		if i == maxAttempts {
			break
		}
		if i > 0 {
			f.retry.Inc(1)
		}
		answer, err := f.attempt(ctx, x, name)
		if err == nil {
			x.Answer = answer
			return nil
		}
		last = err
		if ctx.Err() != nil || !mayRetry(x, err) {
			return err
		}
	}
	return last
}

// mayRetry reports whether another upstream may be tried after err: always when this attempt did not run, and on
// repeatable routes also when that is unknown, since no byte of an answer has been relayed yet. After the death of an
// upstream the quarantine step decides.
func mayRetry(x *exchange.Exchange, err error) bool {
	r := exchange.Refusal(err)
	if r.Code == quarantine.CodeDied || r.Code == quarantine.CodeHeld {
		return false
	}
	return r.Outcome == outcome.NotRun || x.Route.Repeatable
}

func (f *Filter) attempt(ctx context.Context, x *exchange.Exchange, name string) (*exchange.Answer, error) {
	up, ok := x.Snapshot.Upstream(name)
	if !ok {
		return nil, outcome.Unavailable(Name, "no-upstream", "the upstream is not in the document").WithPeer(name, nil)
	}
	host, ok := ownership.Owner(x.Snapshot, f.live, up.Upstream)
	if !ok {
		return nil, outcome.Unavailable(Name, "no-owner", "no live host owns the upstream").WithPeer(name, nil)
	}
	if host.Name != f.self {
		f.hop.Inc(1)
		return f.hops.Forward(ctx, x, hop.Destination{Role: hoppb.Role_ROLE_OWNER, Host: host, Upstream: name})
	}
	f.local.Inc(1)
	own := *x
	own.Candidates = []string{name}
	if err := f.owner(ctx, &own); err != nil {
		return nil, err
	}
	return own.Answer, nil
}
