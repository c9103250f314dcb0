// Package idempotency runs a request on a route that is not repeatable at most once. It requires an idempotency key
// that was issued by a router and forwards the request to that router. The issuer runs the first request with the key
// and returns the stored result to repeats.
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

// Name is the step that this filter's refusals carry.
const Name = "idempotency"

// maxKeptBytes bounds the body of a response that is stored for repeats.
const maxKeptBytes = 1 << 20

// Refusal codes that are used in more than one place.
const (
	codeRequired = "key-required"
	codeBadKey   = "bad-idempotency-key"
	codeUnusable = "key-dead"
	codeExpired  = "key-expired"
)

// registryFullRetryAfter is the Retry-After of a refusal while the registry is full. Finished runs are removed
// as their keys expire, so space soon becomes free.
const registryFullRetryAfter = 5 * time.Second

// Liveness reports which hosts are live and not leaving in this host's view.
type Liveness interface {
	Live(host string) bool
}

// Options configures New.
type Options struct {
	// Self is this host's name.
	Self     string
	Registry *idempotency.Registry
	Hops     *hop.Client
	Liveness Liveness
	// AtEntryHost is set in the chain of the host that accepted the request. Only that host may forward it to an issuer.
	AtEntryHost bool
	Scope       tally.Scope
}

// Filter is the idempotency step.
type Filter struct {
	Options
	// issued, repeats, unusable, reused and refusedFull count requests by how their key was handled.
	issued, repeats, unusable, reused, refusedFull tally.Counter
}

// New returns the filter.
func New(o Options) *Filter {
	return &Filter{
		Options: o,
		issued:  o.Scope.Counter("idempotency_issued"), repeats: o.Scope.Counter("idempotency_repeats"),
		unusable: o.Scope.Counter("idempotency_dead"), reused: o.Scope.Counter("idempotency_reused"),
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
		return f.refuseWithKey(ctx, x, http.StatusPreconditionRequired, codeRequired, "the route demands an idempotency key")
	}
	key, err := idempotency.ParseKey(x.IdempotencyKey)
	if err != nil || key.Team != x.TeamName() {
		return f.refuseWithKey(ctx, x, http.StatusBadRequest, codeBadKey, "the idempotency key was not issued to this team")
	}
	if key.Host != f.Self {
		if !f.AtEntryHost {
			return f.refuseUnusableKey(key, codeUnusable, "the request was forwarded to a host that did not issue its idempotency key")
		}
		return f.forward(ctx, x, key)
	}
	return f.runOnce(ctx, x, key, next)
}

// refuseWithKey refuses the request and issues a new key to the caller. No earlier attempt can have run without a key
// or with one that was never issued to the team.
func (f *Filter) refuseWithKey(ctx context.Context, x *exchange.Exchange, status int, code, message string) error {
	key, err := f.Registry.Issue(x.TeamName())
	if err != nil {
		return f.refuseWithPeerKey(ctx, x)
	}
	f.issued.Inc(1)
	r := outcome.Refuse(Name, status, code, message)
	r.IdempotencyKey, r.Earlier = key, outcome.EarlierNone
	return r
}

// refuseWithPeerKey refuses the request with a key from another live host, since a key of this host would become
// unusable when the process stops.
func (f *Filter) refuseWithPeerKey(ctx context.Context, x *exchange.Exchange) error {
	var names []string
	for _, host := range x.Snapshot.EntryHosts() {
		if f.AtEntryHost && host.Name != f.Self && !host.Retired && f.Liveness.Live(host.Name) {
			names = append(names, host.Name)
		}
	}
	if len(names) == 0 {
		r := outcome.Unavailable(Name, "stopping", "the router issues no keys any more").WithRetryAfter(time.Second)
		r.Earlier = outcome.EarlierNone
		return r
	}
	host, _ := x.Snapshot.Host(loadbalancer.HighestScored(loadbalancer.HashKey(x.TraceID), names))
	keyless := *x
	keyless.IdempotencyKey = ""
	_, err := f.Hops.Forward(ctx, &keyless, hop.Destination{Role: hoppb.Role_ROLE_ISSUER, Host: host})
	r := *exchange.AsRefusal(err)
	r.Earlier = outcome.EarlierNone
	return &r
}

// forward sends the request to the issuer. A failed hop gives no information about earlier attempts.
func (f *Filter) forward(ctx context.Context, x *exchange.Exchange, key idempotency.Key) error {
	host, ok := x.Snapshot.Host(key.Host)
	if !ok || host.Retired {
		return f.refuseUnusableKey(key, codeUnusable, "the host that issued the idempotency key is not in the document")
	}
	response, err := f.Hops.Forward(ctx, x, hop.Destination{Role: hoppb.Role_ROLE_ISSUER, Host: host})
	if err != nil {
		r := *exchange.AsRefusal(err)
		if r.Earlier == "" {
			r.Earlier = outcome.EarlierPossible
		}
		return &r
	}
	x.Response = response
	return nil
}

// refuseUnusableKey refuses a request whose key can no longer be used. This attempt did not run, but an earlier one may
// have. The refusal offers no new key, since a caller could use it to run the same request a second time by mistake.
func (f *Filter) refuseUnusableKey(key idempotency.Key, code, message string) error {
	f.unusable.Inc(1)
	r := outcome.Refuse(Name, http.StatusConflict, code, message).WithPeer(key.Host, nil)
	r.Earlier = outcome.EarlierPossible
	return r
}

func (f *Filter) runOnce(ctx context.Context, x *exchange.Exchange, key idempotency.Key, next exchange.Next) error {
	if !f.Registry.MatchesIncarnation(key) {
		return f.refuseUnusableKey(key, codeUnusable, "the router process that issued the idempotency key is gone")
	}
	if !f.Registry.Verify(key, x.TeamName()) {
		return f.refuseWithKey(ctx, x, http.StatusBadRequest, codeBadKey, "the idempotency key was not issued to this team")
	}
	run, decision := f.Registry.Begin(key, requestHash(x))
	switch decision {
	case idempotency.Execute:
		// The run continues if its caller disconnects, so that a repeat can collect the response.
		go f.execute(context.WithoutCancel(ctx), x, run, next)
		return f.waitForRun(ctx, x, run, false)
	case idempotency.Join:
		f.repeats.Inc(1)
		return f.waitForRun(ctx, x, run, true)
	case idempotency.Expired:
		return f.refuseUnusableKey(key, codeExpired, "the idempotency key has expired")
	case idempotency.DifferentRequest:
		return f.refuseReusedKey()
	default:
		return f.refuseFull()
	}
}

// requestHash hashes the parts of the request that a key is bound to.
func requestHash(x *exchange.Exchange) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{x.Route.Name, x.Method, x.Path, x.RawQuery} {
		// Writing to a hash never fails.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(x.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

func (f *Filter) refuseReusedKey() error {
	f.reused.Inc(1)
	r := outcome.Refuse(Name, http.StatusUnprocessableEntity, "key-reused", "the idempotency key was used for another request")
	r.Earlier = outcome.EarlierPossible
	return r
}

// refuseFull refuses a request because the registry cannot record another run. Every run whose key is still valid is in
// the registry, so no earlier attempt has run.
func (f *Filter) refuseFull() error {
	f.refusedFull.Inc(1)
	r := outcome.Unavailable(Name, "keys-full", "the router remembers as many requests as it can").WithRetryAfter(registryFullRetryAfter)
	r.Earlier = outcome.EarlierNone
	return r
}

// waitForRun waits for the run and replays its result. For a repeat, the result also states that an earlier attempt has
// run or may have run.
func (f *Filter) waitForRun(ctx context.Context, x *exchange.Exchange, run *idempotency.Run, repeat bool) error {
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

// execute runs the rest of the chain and stores the whole response in the registry.
func (f *Filter) execute(ctx context.Context, x *exchange.Exchange, run *idempotency.Run, next exchange.Next) {
	result := idempotency.Result{Refusal: responseLostRefusal("", errors.New("the run ended early"))}
	defer func() {
		// The run has its own goroutine, so net/http does not recover its panics. Without this recover, a panic would end
		// the process.
		if failure := recover(); failure != nil {
			result.Refusal = responseLostRefusal("", errors.Errorf("panic: %v", failure))
		}
		f.Registry.Finish(run, result)
	}()
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	// The caller's goroutine may return before the run ends, so the run works on a copy.
	runExchange := *x
	runExchange.Header = x.Header.Clone()
	if err := next(ctx, &runExchange); err != nil {
		result.Refusal = exchange.AsRefusal(err)
		return
	}
	result = readResponse(runExchange.Response)
	if result.Refusal == nil && incompleteStream(&runExchange, result) {
		result = idempotency.Result{Refusal: responseLostRefusal(result.Upstream, errors.New("the stream has no end event"))}
	}
}

// incompleteStream reports whether the result is an engine's stream without its end event.
func incompleteStream(x *exchange.Exchange, result idempotency.Result) bool {
	pool := x.Snapshot.Pool(x.Route.Pool)
	if pool == nil || pool.Kind != document.KindEngine || result.Status != http.StatusOK {
		return false
	}
	isStream := strings.HasPrefix(result.Header.Get("Content-Type"), "text/event-stream")
	return isStream && !bytes.HasSuffix(bytes.TrimSpace(result.Body), []byte("data: [DONE]"))
}

// readResponse reads a response into a result.
func readResponse(response *exchange.Response) idempotency.Result {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBytes+1))
	if err == nil && len(body) > maxKeptBytes {
		err = errors.Errorf("response is longer than %d bytes", maxKeptBytes)
	}
	if err != nil {
		return idempotency.Result{Refusal: responseLostRefusal(response.Upstream, err)}
	}
	return idempotency.Result{Status: response.Status, Header: response.Header, Body: body, Upstream: response.Upstream}
}

// responseLostRefusal returns the refusal for a run whose response could not be read completely.
func responseLostRefusal(upstream string, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: "answer-lost", Message: "the answer could not be read whole",
		Step: Name, Peer: upstream, Outcome: outcome.Unknown, Cause: err,
	}
}

func replay(x *exchange.Exchange, result idempotency.Result, earlier outcome.Earlier) error {
	switch {
	case result.Refusal != nil:
		return replayRefusal(*result.Refusal, earlier)
	case result.Dropped:
		return &outcome.Refusal{
			Status: http.StatusConflict, Code: "answer-dropped", Message: "the request has run; its answer is not kept any more",
			Step: Name, Peer: result.Upstream, Outcome: outcome.Run, Earlier: refineEarlier(earlier),
		}
	}
	x.Response = &exchange.Response{
		Status: result.Status, Header: result.Header.Clone(), Body: exchange.BodyFromBytes(result.Body), Upstream: result.Upstream,
		Earlier: refineEarlier(earlier),
	}
	return nil
}

// replayRefusal returns a copy of the run's refusal. If the run did not reach an upstream, no attempt has run.
func replayRefusal(r outcome.Refusal, earlier outcome.Earlier) error {
	r.Earlier = earlier
	if r.Outcome == outcome.NotRun {
		r.Earlier = outcome.EarlierNone
	}
	return &r
}

// refineEarlier returns EarlierRun instead of EarlierPossible for a run that received a response.
func refineEarlier(earlier outcome.Earlier) outcome.Earlier {
	if earlier == outcome.EarlierPossible {
		return outcome.EarlierRun
	}
	return earlier
}
