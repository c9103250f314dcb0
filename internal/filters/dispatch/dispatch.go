// Package dispatch sends a request to the owner of the preferred upstream, on this host or another one. It tries the
// next upstream when the owner reports that the request was not run, and queues at the most preferred ones when all are
// full.
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

// Name is the step that this filter's refusals carry.
const Name = "dispatch"

// Bounds on the upstreams that one request may try.
const (
	// maxImmediateAttempts bounds the upstreams that are tried one after another, most of them without queueing.
	maxImmediateAttempts = 4
	// maxQueuedAttempts bounds the upstreams at which the request then queues.
	maxQueuedAttempts = 2
)

// Hints provides the latest status that each upstream's owner has reported to this host.
type Hints interface {
	Hint(upstream string) upstreams.Hint
}

// Options configures New.
type Options struct {
	// Self is this host's name.
	Self     string
	Policy   settings.RoutingPolicy
	Liveness ownership.Liveness
	Hints    Hints
	Hops     *hop.Client
	// OwnerChain is the filter chain for upstreams that this host owns.
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
	full, err := f.tryCandidates(ctx, x)
	if err == nil || len(full) == 0 || !mayTryNext(ctx, x, err) {
		return err
	}
	for _, name := range full[:min(maxQueuedAttempts, len(full))] {
		f.waits.Inc(1)
		err = f.attempt(ctx, x, name, upstreams.MaxQueueWait)
		if err == nil || !mayTryNext(ctx, x, err) || exchange.AsRefusal(err).Code == upstreams.CodeBusy {
			return err
		}
	}
	return err
}

// tryCandidates tries the candidates in order: the first one with a short wait in its queue, the others without a wait.
// It returns the candidates that were at their load bound, followed by those in cold start, and the last error.
func (f *Filter) tryCandidates(ctx context.Context, x *exchange.Exchange) (full []string, err error) {
	var cold []string
	for i, name := range f.usable(x.Candidates) {
		wait := upstreams.FirstChoiceWait
		if i > 0 {
			wait = 0
			f.retry.Inc(1)
		}
		err = f.attempt(ctx, x, name, wait)
		if err == nil || !mayTryNext(ctx, x, err) {
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

// usable returns the first candidates that are not reported down, or simply the first ones if all are.
func (f *Filter) usable(candidates []string) []string {
	usable := make([]string, 0, maxImmediateAttempts)
	for _, name := range candidates {
		if len(usable) == maxImmediateAttempts {
			break
		}
		if f.Hints.Hint(name).Down {
			f.skipped.Inc(1)
			continue
		}
		usable = append(usable, name)
	}
	if len(usable) == 0 {
		return candidates[:min(maxImmediateAttempts, len(candidates))]
	}
	return usable
}

// mayTryNext reports whether another upstream may be tried after err: if this attempt was not run or, on repeatable
// routes, also if that is unknown, since no byte of a response has been relayed yet. After a crash of an upstream the
// quarantine filter decides.
func mayTryNext(ctx context.Context, x *exchange.Exchange, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	r := exchange.AsRefusal(err)
	if r.Code == quarantine.CodeUpstreamCrashed || r.Code == quarantine.CodeQuarantined {
		return false
	}
	return r.Outcome == outcome.NotRun || x.Route.Repeatable
}

// attempt takes one attempt from the request's budget, sends the request to the upstream's owner and sets the response.
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
		return f.runLocally(ctx, x, name, wait)
	}
	host, ok := ownership.Owner(x.Snapshot, f.Liveness, up.Upstream)
	if !ok {
		return outcome.Unavailable(Name, "no-owner", "no live host owns the upstream").WithPeer(name, nil)
	}
	if host.Name == f.Self {
		return f.runLocally(ctx, x, name, wait)
	}
	f.hop.Inc(1)
	response, err := f.Hops.Forward(ctx, x, hop.Destination{
		Role: hoppb.Role_ROLE_OWNER, Host: host, Upstream: name, MaxWait: wait,
	})
	x.Response = response
	return err
}

// runLocally runs the owner's filter chain on this host.
func (f *Filter) runLocally(ctx context.Context, x *exchange.Exchange, name string, wait time.Duration) error {
	f.local.Inc(1)
	local := *x
	local.Candidates = []string{name}
	local.MaxWait = wait
	if err := f.OwnerChain(ctx, &local); err != nil {
		return err
	}
	x.Response = local.Response
	return nil
}
