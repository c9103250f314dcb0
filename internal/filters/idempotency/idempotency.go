// Package idempotency runs a request that may not be repeated at most once. It demands a key that some router issued,
// forwards the request to that router, and there lets the first use of the key run and answers repeats from what was
// kept.
package idempotency

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/idempotency"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// Name is the filter's step.
const Name = "idempotency"

// maxKeptBytes is the largest answer that is kept for repeats.
const maxKeptBytes = 1 << 20

// Filter is the idempotency step.
type Filter struct {
	self     string
	registry *idempotency.Registry
	hops     *hop.Client
	issued   tally.Counter
	repeats  tally.Counter
}

// New returns the filter of the named host.
func New(self string, registry *idempotency.Registry, hops *hop.Client, scope tally.Scope) *Filter {
	return &Filter{
		self: self, registry: registry, hops: hops,
		issued: scope.Counter("idempotency_issued"), repeats: scope.Counter("idempotency_repeats"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	if x.Route.Repeatable {
		return next(ctx, x)
	}
	if x.IdempotencyKey == "" {
		return f.demand(x, http.StatusPreconditionRequired, "key-required", "the route demands an idempotency key")
	}
	key, err := idempotency.ParseKey(x.IdempotencyKey)
	if err != nil || key.Team != x.TeamName() {
		return f.demand(x, http.StatusBadRequest, "bad-idempotency-key", "the idempotency key was not issued to this team")
	}
	if key.Host != f.self {
		return f.forward(ctx, x, key)
	}
	return f.runOnce(ctx, x, key, next)
}

// demand refuses the request with a fresh key.
func (f *Filter) demand(x *exchange.Exchange, status int, code, message string) error {
	f.issued.Inc(1)
	r := outcome.Refuse(Name, status, code, message)
	r.IdempotencyKey = f.registry.Issue(x.TeamName())
	return r
}

func (f *Filter) forward(ctx context.Context, x *exchange.Exchange, key idempotency.Key) error {
	host, ok := x.Snapshot.Host(key.Host)
	if !ok {
		return f.dead(x, key)
	}
	answer, err := f.hops.Forward(ctx, x, hop.Destination{Role: hoppb.Role_ROLE_ISSUER, Host: host})
	if err != nil {
		return err
	}
	x.Answer = answer
	return nil
}

// dead refuses a key whose issuing incarnation is gone. This attempt did not run; an earlier one may have.
func (f *Filter) dead(x *exchange.Exchange, key idempotency.Key) error {
	r := outcome.Refuse(Name, http.StatusConflict, "key-dead", "the router that issued the idempotency key is gone").
		WithPeer(key.Host, nil)
	r.Earlier = outcome.EarlierPossible
	r.IdempotencyKey = f.registry.Issue(x.TeamName())
	return r
}

func (f *Filter) runOnce(ctx context.Context, x *exchange.Exchange, key idempotency.Key, next exchange.Next) error {
	if !f.registry.Verify(key, x.TeamName()) {
		return f.dead(x, key)
	}
	run, first := f.registry.Begin(key)
	if run == nil {
		return f.dead(x, key)
	}
	if first {
		// The run goes on when its caller leaves: a repeat collects the answer.
		go func() { run.Finish(execute(context.WithoutCancel(ctx), x, next)) }()
	} else {
		f.repeats.Inc(1)
	}
	select {
	case <-run.Done():
		return replay(x, run.Kept())
	case <-ctx.Done():
		return &outcome.Refusal{
			Status: http.StatusGatewayTimeout, Code: "still-running", Message: "the request has not finished yet",
			Step: Name, Outcome: outcome.Unknown, Cause: ctx.Err(),
		}
	}
}

// execute runs the rest of the chain and reads the whole answer.
func execute(ctx context.Context, x *exchange.Exchange, next exchange.Next) idempotency.Kept {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	// The caller's goroutine may return before the run ends, so the run works on its own copy.
	own := *x
	if err := next(ctx, &own); err != nil {
		return idempotency.Kept{Refusal: exchange.Refusal(err)}
	}
	defer own.Answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(own.Answer.Body, maxKeptBytes+1))
	if err == nil && len(body) > maxKeptBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxKeptBytes)
	}
	if err != nil {
		return idempotency.Kept{Refusal: &outcome.Refusal{
			Status: http.StatusBadGateway, Code: "answer-lost", Message: "the answer could not be read whole",
			Step: Name, Peer: own.Answer.Upstream, Outcome: outcome.Unknown, Cause: err,
		}}
	}
	return idempotency.Kept{
		Status: own.Answer.Status, Header: own.Answer.Header, Body: body, Upstream: own.Answer.Upstream,
	}
}

func replay(x *exchange.Exchange, kept idempotency.Kept) error {
	if kept.Refusal != nil {
		return kept.Refusal
	}
	x.Answer = &exchange.Answer{
		Status: kept.Status, Header: kept.Header.Clone(), Body: exchange.BytesBody(kept.Body), Upstream: kept.Upstream,
	}
	return nil
}
