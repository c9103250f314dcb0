// Package idempotency runs a request that may not be repeated at most once. It demands a key that some router issued,
// forwards the request to that router, and there lets the first use of the key run and answers repeats from what was
// kept.
package idempotency

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/idempotency"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
)

// Name is the filter's step.
const Name = "idempotency"

// maxKeptBytes is the largest answer that is kept for repeats.
const maxKeptBytes = 1 << 20

// Codes of refusals that several places give.
const (
	codeRequired = "key-required"
	codeBadKey   = "bad-idempotency-key"
	codeDead     = "key-dead"
	codeExpired  = "key-expired"
)

// fullRetry is the wait told when no further run can be remembered; finished runs are forgotten all the time.
const fullRetry = 5 * time.Second

// Liveness says which hosts are believed live and not leaving.
type Liveness interface {
	Live(host string) bool
}

// Options configures New.
type Options struct {
	// Self is this host's name.
	Self     string
	Registry *idempotency.Registry
	Hops     *hop.Client
	Live     Liveness
	// AtEntryHost is set in the chain of the host that accepted the request; only there may it be forwarded to an issuer.
	AtEntryHost bool
	Scope       tally.Scope
}

// Filter is the idempotency step.
type Filter struct {
	Options
	// issued, repeats, dead, reused and refusedFull count requests by what became of their key.
	issued, repeats, dead, reused, refusedFull tally.Counter
}

// New returns the filter.
func New(o Options) *Filter {
	return &Filter{
		Options: o,
		issued:  o.Scope.Counter("idempotency_issued"), repeats: o.Scope.Counter("idempotency_repeats"),
		dead: o.Scope.Counter("idempotency_dead"), reused: o.Scope.Counter("idempotency_reused"),
		refusedFull: o.Scope.Counter("idempotency_full"),
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
		return f.demand(ctx, x, http.StatusPreconditionRequired, codeRequired, "the route demands an idempotency key")
	}
	key, err := idempotency.ParseKey(x.IdempotencyKey)
	if err != nil || key.Team != x.TeamName() {
		return f.demand(ctx, x, http.StatusBadRequest, codeBadKey, "the idempotency key was not issued to this team")
	}
	if key.Host != f.Self {
		if !f.AtEntryHost {
			return f.lost(key, codeDead, "the request was forwarded to a host that did not issue its idempotency key")
		}
		return f.forward(ctx, x, key)
	}
	return f.runOnce(ctx, x, key, next)
}

// demand refuses the request with a fresh key. No attempt can have run without a key or with one that was never
// issued to the team.
func (f *Filter) demand(ctx context.Context, x *exchange.Exchange, status int, code, message string) error {
	key, err := f.Registry.Issue(x.TeamName())
	if err != nil {
		return f.demandElsewhere(ctx, x)
	}
	f.issued.Inc(1)
	r := outcome.Refuse(Name, status, code, message)
	r.IdempotencyKey, r.Earlier = key, outcome.EarlierNone
	return r
}

// demandElsewhere lets a live host demand the key, since a key of this host would die with the planned stop.
func (f *Filter) demandElsewhere(ctx context.Context, x *exchange.Exchange) error {
	var names []string
	for _, seat := range x.Snapshot.Seats() {
		if f.AtEntryHost && seat.Name != f.Self && !seat.Retired && f.Live.Live(seat.Name) {
			names = append(names, seat.Name)
		}
	}
	if len(names) == 0 {
		r := outcome.Unavailable(Name, "stopping", "the router issues no keys any more").WithRetryAfter(time.Second)
		r.Earlier = outcome.EarlierNone
		return r
	}
	host, _ := x.Snapshot.Host(loadbalancer.HighestScored(loadbalancer.HashKey(x.TraceID), names))
	bare := *x
	bare.IdempotencyKey = ""
	_, err := f.Hops.Forward(ctx, &bare, hop.Destination{Role: hoppb.Role_ROLE_ISSUER, Host: host})
	r := *exchange.AsRefusal(err)
	r.Earlier = outcome.EarlierNone
	return &r
}

// forward sends the request to the issuer. A failure of the hop says nothing of earlier attempts.
func (f *Filter) forward(ctx context.Context, x *exchange.Exchange, key idempotency.Key) error {
	host, ok := x.Snapshot.Host(key.Host)
	if !ok || host.Retired {
		return f.lost(key, codeDead, "the host that issued the idempotency key is not in the document")
	}
	answer, err := f.Hops.Forward(ctx, x, hop.Destination{Role: hoppb.Role_ROLE_ISSUER, Host: host})
	if err != nil {
		r := *exchange.AsRefusal(err)
		if r.Earlier == "" {
			r.Earlier = outcome.EarlierPossible
		}
		return &r
	}
	x.Response = answer
	return nil
}

// lost refuses a key that cannot run any more. This attempt did not run; an earlier one may have. No fresh key is
// offered, so that a caller does not take it by mistake for a repeat of a request that ran.
func (f *Filter) lost(key idempotency.Key, code, message string) error {
	f.dead.Inc(1)
	r := outcome.Refuse(Name, http.StatusConflict, code, message).WithPeer(key.Host, nil)
	r.Earlier = outcome.EarlierPossible
	return r
}

func (f *Filter) runOnce(ctx context.Context, x *exchange.Exchange, key idempotency.Key, next exchange.Next) error {
	if !f.Registry.MatchesIncarnation(key) {
		return f.lost(key, codeDead, "the router process that issued the idempotency key is gone")
	}
	if !f.Registry.Verify(key, x.TeamName()) {
		return f.demand(ctx, x, http.StatusBadRequest, codeBadKey, "the idempotency key was not issued to this team")
	}
	run, verdict := f.Registry.Begin(key, request(x))
	switch verdict {
	case idempotency.Execute:
		// The run goes on when its caller leaves: a repeat collects the answer.
		go f.execute(context.WithoutCancel(ctx), x, run, next)
		return f.wait(ctx, x, run, false)
	case idempotency.Join:
		f.repeats.Inc(1)
		return f.wait(ctx, x, run, true)
	case idempotency.Expired:
		return f.lost(key, codeExpired, "the idempotency key has expired")
	case idempotency.DifferentRequest:
		return f.otherRequest()
	default:
		return f.full()
	}
}

// request hashes everything that a key is bound to.
func request(x *exchange.Exchange) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{x.Route.Name, x.Method, x.Path, x.RawQuery} {
		// Writing to a hash cannot fail.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(x.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

func (f *Filter) otherRequest() error {
	f.reused.Inc(1)
	r := outcome.Refuse(Name, http.StatusUnprocessableEntity, "key-reused", "the idempotency key was used for another request")
	r.Earlier = outcome.EarlierPossible
	return r
}

// full refuses a run that could not be remembered. Every run with a live key is remembered, so none has begun.
func (f *Filter) full() error {
	f.refusedFull.Inc(1)
	r := outcome.Unavailable(Name, "keys-full", "the router remembers as many requests as it can").WithRetryAfter(fullRetry)
	r.Earlier = outcome.EarlierNone
	return r
}

// wait returns the run's answer. A repeat learns in addition that an earlier attempt has or may have run.
func (f *Filter) wait(ctx context.Context, x *exchange.Exchange, run *idempotency.Run, repeat bool) error {
	earlier := outcome.EarlierNone
	if repeat {
		earlier = outcome.EarlierPossible
	}
	select {
	case <-run.Done():
		return replay(x, run.Result(), earlier)
	case <-ctx.Done():
		return &outcome.Refusal{
			Status: http.StatusGatewayTimeout, Code: "still-running", Message: "the request has not finished yet",
			Step: Name, Outcome: outcome.Unknown, Earlier: earlier, Cause: ctx.Err(),
		}
	}
}

// execute runs the rest of the chain and keeps the whole answer.
func (f *Filter) execute(ctx context.Context, x *exchange.Exchange, run *idempotency.Run, next exchange.Next) {
	kept := idempotency.Result{Refusal: unread("", errors.New("the run ended early"))}
	defer func() {
		// The run is not on a server's goroutine, so that nobody else keeps a panic from ending the process.
		if failure := recover(); failure != nil {
			kept.Refusal = unread("", errors.Errorf("panic: %v", failure))
		}
		f.Registry.Finish(run, kept)
	}()
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	// The caller's goroutine may return before the run ends, so the run works on its own copy.
	own := *x
	own.Header = x.Header.Clone()
	if err := next(ctx, &own); err != nil {
		kept.Refusal = exchange.AsRefusal(err)
		return
	}
	kept = read(own.Response)
	if kept.Refusal == nil && brokenStream(&own, kept) {
		kept = idempotency.Result{Refusal: unread(kept.Upstream, errors.New("the stream has no end event"))}
	}
}

// brokenStream reports whether an engine's stream lacks the event that ends it.
func brokenStream(x *exchange.Exchange, kept idempotency.Result) bool {
	pool := x.Snapshot.Pool(x.Route.Pool)
	if pool == nil || pool.Kind != document.KindEngine || kept.Status != http.StatusOK {
		return false
	}
	isStream := strings.HasPrefix(kept.Header.Get("Content-Type"), "text/event-stream")
	return isStream && !bytes.HasSuffix(bytes.TrimSpace(kept.Body), []byte("data: [DONE]"))
}

// read keeps an answer.
func read(answer *exchange.Response) idempotency.Result {
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxKeptBytes+1))
	if err == nil && len(body) > maxKeptBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxKeptBytes)
	}
	if err != nil {
		return idempotency.Result{Refusal: unread(answer.Upstream, err)}
	}
	return idempotency.Result{Status: answer.Status, Header: answer.Header, Body: body, Upstream: answer.Upstream}
}

// unread is the refusal for a run whose answer could not be read whole.
func unread(upstream string, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "answer-lost", Message: "the answer could not be read whole",
		Step: Name, Peer: upstream, Outcome: outcome.Unknown, Cause: err,
	}
}

func replay(x *exchange.Exchange, kept idempotency.Result, earlier outcome.Earlier) error {
	switch {
	case kept.Refusal != nil:
		return replayRefusal(*kept.Refusal, earlier)
	case kept.Dropped:
		return &outcome.Refusal{
			Status: http.StatusConflict, Code: "answer-dropped", Message: "the request has run; its answer is not kept any more",
			Step: Name, Peer: kept.Upstream, Outcome: outcome.Run, Earlier: ran(earlier),
		}
	}
	x.Response = &exchange.Response{
		Status: kept.Status, Header: kept.Header.Clone(), Body: exchange.BodyFromBytes(kept.Body), Upstream: kept.Upstream,
		Earlier: ran(earlier),
	}
	return nil
}

// replayRefusal returns a copy of the run's refusal. If the run reached no upstream, no attempt has run.
func replayRefusal(r outcome.Refusal, earlier outcome.Earlier) error {
	r.Earlier = earlier
	if r.Outcome == outcome.NotRun {
		r.Earlier = outcome.EarlierNone
	}
	return &r
}

// ran sharpens what a repeat is told of a run that was answered.
func ran(earlier outcome.Earlier) outcome.Earlier {
	if earlier == outcome.EarlierPossible {
		return outcome.EarlierRun
	}
	return earlier
}
