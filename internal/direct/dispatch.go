package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

const (
	// maxSends limits how often one request is sent, including the sends that the upstream did not execute.
	maxSends = 5
	// maxUpstreamsTried limits the upstreams that are tried for one request, including those to which no connection
	// could be made.
	maxUpstreamsTried = 8
	// A request waits for an available upstream for at most 1/upstreamWaitDivisor of its latency objective: a delay of
	// up to an eighth of the objective does not count as a wait.
	upstreamWaitDivisor = 8
	// A request that continues a stream waits longer, for up to 1/boundWaitDivisor of the time that is left: only the
	// upstreams of one software version can take it, and the stream is lost otherwise.
	boundWaitDivisor = 4
	// upstreamPollInterval is how often a waiting request checks for an available upstream.
	upstreamPollInterval = 20 * time.Millisecond
	// minRemainingTime is the remaining time below which a request is not sent: no upstream responds faster.
	minRemainingTime = 5 * time.Millisecond
)

// dispatchFilter sends the request to an upstream, and retries it at others where that is allowed.
type dispatchFilter struct {
	store        *catalog.Store
	balancer     *balance.Table
	retryBudget  *allowance.RetryBudget
	selector     *balance.Selector
	desk         *lending.Desk
	pool         *upconn.Pool
	hosts        HostCount
	codec        Codec
	clock        clockwork.Clock
	stop         *plannedStop
	log          zerolog.Logger
	metrics      dispatchMetrics
	crashes      *crashDetector
	incarnations *incarnationCheck
	// reachability tells whether silent upstreams accept connections.
	reachability *reachability
	// reach tells whether this host is cut off from the upstreams, and detours chooses the hosts that are not.
	reach       Reachability
	detours     *detour.Peers
	prompts     *promptblame.Table
	shareOrigin func(origin.Record)
	// bodies limits the memory for the bodies of requests.
	bodies *inbound.ByteBudget
	// responses limits the memory for the bodies of responses that are held.
	responses *inbound.ByteBudget
}

type dispatchMetrics struct {
	sends, sendsLimited, retries, resumes, refused, notRun, rejected, outcomeUnknown, tooLarge, detours, noDetour tally.Counter
}

func newDispatchMetrics(scope tally.Scope) dispatchMetrics {
	return dispatchMetrics{
		sends: scope.Counter("sends"), sendsLimited: scope.Counter("sends_limited"), retries: scope.Counter("retries"), resumes: scope.Counter("stream_resumes"),
		refused: scope.Counter("retries_refused"), notRun: scope.Counter("sends_not_run"), rejected: scope.Counter("sends_rejected"), outcomeUnknown: scope.Counter("sends_unknown"),
		tooLarge: scope.Counter("answers_too_large"), detours: scope.Counter("detours"), noDetour: scope.Counter("detours_missing"),
	}
}

// Name implements Filter.
func (*dispatchFilter) Name() string { return stepDispatch }

// Handle implements Filter.
func (d *dispatchFilter) Handle(ctx context.Context, req *Request, _ Next) error {
	defer func() { d.responses.Release(req.reserved) }()
	defer d.releaseNext(req)
	d.retryBudget.RecordRequest(req.Service)
	req.receivedAt = d.clock.Now()
	for {
		choice, err := d.waitForUpstream(ctx, req)
		if err != nil {
			return d.finishFailed(ctx, req, err)
		}
		start := d.clock.Now()
		res := d.attemptSelected(ctx, req, choice)
		if res.unproven {
			d.giveBack(req, choice)
			continue
		}
		req.attempts = append(req.attempts, newAttemptRecord(req, choice, start, d.clock.Now(), res))
		if res.responded {
			return nil
		}
		if !d.shouldRetry(ctx, req, res) {
			return d.finishFailed(ctx, req, res.err)
		}
	}
}

// attemptSelected sends the request to the selected upstream once.
func (d *dispatchFilter) attemptSelected(ctx context.Context, req *Request, choice *balance.Choice) attemptResult {
	defer d.selector.Finish(choice)
	return d.attemptSend(ctx, req, choice.Upstream)
}

// shouldRetry decides whether the request is sent again after an attempt that gave the caller no complete response.
func (d *dispatchFilter) shouldRetry(ctx context.Context, req *Request, res attemptResult) bool {
	reason := req.retryDenialReason(res)
	if ctx.Err() != nil {
		reason = "over"
	}
	if reason == "" && res.sent && req.next == nil && !d.retryBudget.TryWithdraw(req.Service) {
		reason = "budget"
		d.metrics.refused.Inc(1)
	}
	event := d.log.Info().Str("event", "retry").Str("request", req.ID).Str("route", req.Route.Name).Str("kind", string(req.Route.Kind)).
		Bool("not_run", res.notRun).Int("status", res.status).Bool("sent", res.sent).Int("runs", req.runs).Int("sends", req.sends).Str("peer", req.lastTriedID()).
		Bool("begun", req.response.begun()).Str("segments", req.formatSegments())
	var refusal *outcome.Refusal
	if errors.As(res.err, &refusal) {
		event.Str("code", refusal.Code).AnErr("error", refusal.Cause)
	}
	if reason != "" {
		event.Str("outcome", "no").Str("reason", reason).Send()
		return false
	}
	event.Str("outcome", "yes").Send()
	if res.sent {
		d.metrics.retries.Inc(1)
	}
	if req.response.headerSent {
		d.metrics.resumes.Inc(1)
	}
	return true
}

// retryDenialReason returns why the request may not be sent again, or "" if it may.
func (req *Request) retryDenialReason(res attemptResult) string {
	switch {
	case req.response.callerGone:
		return "caller"
	case req.response.unresumable:
		return "begun"
	case req.sendsExhausted():
		return "sends"
	case res.noPath:
		return "cut-off"
	case res.notRun:
		return ""
	case !req.Route.Repeatable():
		return "unsafe"
	case req.runs >= req.Route.MaxAttempts:
		return "attempts"
	default:
		return ""
	}
}

// sendsExhausted reports whether the request has been sent, or tried to be, as often as it may be.
func (req *Request) sendsExhausted() bool {
	return req.sends >= maxSends || len(req.tried) >= maxUpstreamsTried
}

// finishFailed ends a request that is not retried and returns its error. A buffered failure response of an upstream
// takes precedence over a refusal by the router. A refusal must not report "not run" if an earlier send may have been
// executed.
func (d *dispatchFilter) finishFailed(ctx context.Context, req *Request, err error) error {
	if req.response.fallback != nil && !req.response.headerSent {
		req.response.sendBuffered(req.response.fallback)
		return nil
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	if !req.outcomeUnknown && refusal.Outcome == outcome.NotRun {
		return refusal
	}
	r := *refusal
	r.Outcome, r.RetryAfter = outcome.Unknown, 0
	r.Status = http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Status = http.StatusGatewayTimeout
	}
	return &r
}

// waitForUpstream returns the next upstream for the request. It waits for a limited time until one is available, and
// checks the request against the current configuration and blames before each selection.
func (d *dispatchFilter) waitForUpstream(ctx context.Context, req *Request) (*balance.Choice, error) {
	var waitUntil time.Time
	endWait := func() {}
	defer func() { endWait() }()
	for {
		snap := d.store.Current()
		if err := resolveRoute(req, snap.Config); err != nil {
			return nil, err
		}
		if err := checkPrompt(d.prompts, req); err != nil {
			return nil, err
		}
		if err := d.checkOrigin(snap, req); err != nil {
			return nil, err
		}
		if err := d.stop.check(req, d.clock.Now()); err != nil {
			return nil, err
		}
		if left := req.Deadline.Sub(d.clock.Now()); left < minRemainingTime {
			return nil, outcome.Unavailable(stepDispatch, "no-time", "no time is left")
		}
		if u, err := d.selectUpstream(ctx, snap, req); u != nil || err != nil {
			return u, err
		}
		now := d.clock.Now()
		if waitUntil.IsZero() {
			waitUntil = req.waitLimit(now)
			if req.origin != nil {
				endWait = d.balancer.WaitForVersion(snap, req.Service, req.origin.Version)
			}
		}
		if until := d.balancer.AllPausedUntil(snap, req.Service); until.After(waitUntil) {
			return nil, outcome.Unavailable(stepDispatch, "upstreams-paused", "all upstreams have asked for a pause").
				WithRetryAfter(until.Sub(now))
		}
		if !now.Before(waitUntil) {
			return nil, d.noUpstream(req.Service).WithRetryAfter(defaultRetryAfter)
		}
		select {
		case <-ctx.Done():
			return nil, waitEnded(ctx)
		case <-d.clock.After(upstreamPollInterval):
		}
	}
}

// noUpstream returns the refusal of a request that no upstream can take.
func (d *dispatchFilter) noUpstream(service string) *outcome.Refusal {
	if d.balancer.Brittle(service) {
		return outcome.Unavailable(stepDispatch, "upstreams-brittle", "the upstreams are brittle and have no room")
	}
	return outcome.Unavailable(stepDispatch, "no-upstream", "no upstream can take the request")
}

// waitEnded returns the refusal of a request whose wait for an upstream was ended by its context.
func waitEnded(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errStopped) {
		return refuseStopping("the router stopped before an upstream could take the request")
	}
	return outcome.Unavailable(stepDispatch, "over", "the time is over").WithPeer("", ctx.Err())
}

// waitLimit returns the time until which the request, which begins to wait now, waits for an upstream.
func (req *Request) waitLimit(now time.Time) time.Time {
	switch {
	case !req.provenUntil.IsZero():
		return req.provenUntil
	case req.origin != nil:
		return now.Add(req.Deadline.Sub(now) / boundWaitDivisor)
	default:
		return now.Add(req.Route.LatencyObjective / upstreamWaitDivisor)
	}
}

// selectUpstream returns the upstream that is reserved for the request, or else the first one in its order of preference that
// may receive it now, or nil. While it is open which version began the request's stream, that is none.
func (d *dispatchFilter) selectUpstream(ctx context.Context, snap *catalog.Snapshot, req *Request) (*balance.Choice, error) {
	switch d.proveOrigin(ctx, req) {
	case proven:
		if next := d.takeNext(snap, req); next != nil {
			return next, nil
		}
		criteria := req.criteria(snap, d.clock.Now())
		if kept := d.takeBorrowed(snap, req, criteria); kept != nil {
			return kept, nil
		}
		if choice := d.selector.Select(snap, req.Service, criteria); choice != nil {
			return choice, nil
		}
		return d.borrow(ctx, snap, req, criteria), nil
	case replaced:
		return nil, outcome.Unavailable(stepDispatch, "stream-version-unproven", "it is not known which software version began the stream")
	default:
		return nil, nil
	}
}

// takeNext returns the upstream that is reserved for the request if it may still receive it, or nil.
func (d *dispatchFilter) takeNext(snap *catalog.Snapshot, req *Request) *balance.Choice {
	next := req.next
	req.next = nil
	if next == nil || isUsable(snap, next.Upstream) && req.accepts(next.Upstream) {
		return next
	}
	d.selector.Release(next) // the configuration or the stream's version has changed since
	return nil
}

// releaseNext gives back what is reserved for a next send that is not needed.
func (d *dispatchFilter) releaseNext(req *Request) {
	if req.next != nil {
		d.selector.Release(req.next)
		d.retryBudget.Return(req.next.Service)
		req.next = nil
	}
}

// criteria returns what determines the choice of the request's next upstream.
func (req *Request) criteria(snap *catalog.Snapshot, now time.Time) balance.Criteria {
	return balance.Criteria{
		Engine: snap.Config.Services[req.Service].Engine, AffinityHash: affinityKey(req.Prompt), Tried: req.tried, Rejected: req.excluded(now),
		Unreached: req.unreached, Version: req.version(), TakenUp: req.origin != nil && req.continuesStream(),
	}
}

// affinityKey returns the hash of the prompt prefix that the request shares with others: all segments but the last
// one.
func affinityKey(prompt []PromptSegment) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	shared := prompt[:max(1, len(prompt)-1)]
	return loadbalancer.HashKey(shared[len(shared)-1].ID)
}
