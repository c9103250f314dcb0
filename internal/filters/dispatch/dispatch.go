// Package dispatch hands a request to the owner of the preferred upstream, here or on another host, goes on to the next
// upstream when the owner says that the request did not run, and waits at the first one when all are full.
package dispatch

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/quarantine"
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/upstreams"
)

// Name is the filter's step.
const Name = "dispatch"

// Bounds on what one request costs.
const (
	// maxAttempts bounds the upstreams that are asked for a place at once.
	maxAttempts = 4
	// maxWaits bounds the upstreams at which a place is waited for.
	maxWaits = 2
)

// Hints says what this host last heard of upstreams from their owners.
type Hints interface {
	Hint(upstream string) upstreams.Hint
}

// Options configures New.
type Options struct {
	// Self is this host's name.
	Self   string
	Policy settings.RoutingPolicy
	Live   ownership.Liveness
	Hints  Hints
	Hops   *hop.Client
	// OwnerChain is the chain for upstreams that this host owns.
	OwnerChain exchange.Next
	Scope      tally.Scope
}

// Filter is the dispatch step.
type Filter struct {
	Options
	local   tally.Counter
	hop     tally.Counter
	retry   tally.Counter
	skipped tally.Counter
	waits   tally.Counter
}

// New returns the filter.
func New(o Options) *Filter {
	return &Filter{
		Options: o, local: o.Scope.Counter("dispatch_local"), hop: o.Scope.Counter("dispatch_hop"),
		retry: o.Scope.Counter("dispatch_retry"), skipped: o.Scope.Counter("dispatch_skipped"),
		waits: o.Scope.Counter("dispatch_waits"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, _ exchange.Next) error {
	return x.Attempts.OverallError(f.handle(ctx, x))
}

func (f *Filter) handle(ctx context.Context, x *exchange.Exchange) error {
	full, err := f.tryEach(ctx, x)
	if err == nil || len(full) == 0 || !mayGoOn(ctx, x, err) {
		return err
	}
	for _, name := range full[:min(maxWaits, len(full))] {
		f.waits.Inc(1)
		err = f.attempt(ctx, x, name, upstreams.MaxQueueWait)
		if err == nil || !mayGoOn(ctx, x, err) || exchange.AsRefusal(err).Code == upstreams.CodeBusy {
			return err
		}
	}
	return err
}

// tryEach asks the candidates in order for a place, the first one for a short wait, the others at once. It returns the candidates that were full, the warm ones
// first, and the last error.
func (f *Filter) tryEach(ctx context.Context, x *exchange.Exchange) (full []string, err error) {
	var cold []string
	for i, name := range f.usable(x.Candidates) {
		wait := upstreams.FirstChoiceWait
		if i > 0 {
			wait = 0
			f.retry.Inc(1)
		}
		err = f.attempt(ctx, x, name, wait)
		if err == nil || !mayGoOn(ctx, x, err) {
			return nil, err
		}
		switch exchange.AsRefusal(err).Code {
		case upstreams.CodeFull:
			full = append(full, name)
		case upstreams.CodeCold:
			cold = append(cold, name)
		}
	}
	return append(full, cold...), err
}

// usable returns the candidates to ask: those not known to be down, or all if all are.
func (f *Filter) usable(candidates []string) []string {
	usable := make([]string, 0, maxAttempts)
	for _, name := range candidates {
		if len(usable) == maxAttempts {
			break
		}
		if f.Hints.Hint(name).Down {
			f.skipped.Inc(1)
			continue
		}
		usable = append(usable, name)
	}
	if len(usable) == 0 {
		return candidates[:min(maxAttempts, len(candidates))]
	}
	return usable
}

// mayGoOn reports whether another upstream may be tried after err: when this attempt did not run, and on repeatable
// routes also when that is unknown, since no byte of an answer has been relayed yet. After the death of an upstream the
// quarantine step decides.
func mayGoOn(ctx context.Context, x *exchange.Exchange, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	r := exchange.AsRefusal(err)
	if r.Code == quarantine.CodeUpstreamDied || r.Code == quarantine.CodeQuarantined {
		return false
	}
	return r.Outcome == outcome.NotRun || x.Route.Repeatable
}

// attempt sends the request to the owner of the upstream and sets the answer.
func (f *Filter) attempt(ctx context.Context, x *exchange.Exchange, name string, wait time.Duration) error {
	if !x.Attempts.TryTake() {
		return outcome.Unavailable(Name, "retry-budget", "the request has used up its attempts").WithPeer(name, nil)
	}
	err := f.send(ctx, x, name, wait)
	if err != nil && exchange.AsRefusal(err).Outcome == outcome.Unknown {
		x.Attempts.RecordUnknownOutcome()
	}
	return err
}

func (f *Filter) send(ctx context.Context, x *exchange.Exchange, name string, wait time.Duration) error {
	up, ok := x.Snapshot.Upstream(name)
	if !ok {
		return outcome.Unavailable(Name, "no-upstream", "the upstream is not in the document").WithPeer(name, nil)
	}
	if f.Policy == settings.PolicyDirect {
		return f.here(ctx, x, name, wait)
	}
	host, ok := ownership.Owner(x.Snapshot, f.Live, up.Upstream)
	if !ok {
		return outcome.Unavailable(Name, "no-owner", "no live host owns the upstream").WithPeer(name, nil)
	}
	if host.Name == f.Self {
		return f.here(ctx, x, name, wait)
	}
	f.hop.Inc(1)
	answer, err := f.Hops.Forward(ctx, x, hop.Destination{
		Role: hoppb.Role_ROLE_OWNER, Host: host, Upstream: name, MaxWait: wait,
	})
	x.Response = answer
	return err
}

// here runs the owner's chain on this host.
func (f *Filter) here(ctx context.Context, x *exchange.Exchange, name string, wait time.Duration) error {
	f.local.Inc(1)
	own := *x
	own.Candidates = []string{name}
	own.MaxWait = wait
	if err := f.OwnerChain(ctx, &own); err != nil {
		return err
	}
	x.Response = own.Response
	return nil
}
