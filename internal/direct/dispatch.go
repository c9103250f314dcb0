package direct

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

const (
	// maxSends bounds the sends of one request, those that did not run too.
	maxSends = 5
	// maxTries bounds the upstreams that are tried for one request, those to which no connection could be made too.
	maxTries = 8
	// placeWait is the part of the objective that a request waits for an upstream to take it. Waits up to an eighth of
	// the objective count as none.
	placeWait = 8
	// placePoll is how often a waiting request looks for an upstream.
	placePoll = 20 * time.Millisecond
	// minLeft is the time below which a request is not sent any more: no upstream answers faster.
	minLeft = 5 * time.Millisecond
)

// dispatch sends the request to an upstream, and to others where that is allowed.
type dispatch struct {
	store   *catalog.Store
	table   *balance.Table
	retries *allowance.RetryBudget
	cold    *allowance.ColdLimiter
	pool    *upconn.Pool
	codec   Codec
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics metrics
	deaths  *deaths
}

type metrics struct {
	sends, retries, resumes, refused, notRun, unknown tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		sends: scope.Counter("sends"), retries: scope.Counter("retries"), resumes: scope.Counter("stream_resumes"),
		refused: scope.Counter("retries_refused"), notRun: scope.Counter("sends_not_run"), unknown: scope.Counter("sends_unknown"),
	}
}

// Name implements Filter.
func (*dispatch) Name() string { return stepDispatch }

// Handle implements Filter.
func (d *dispatch) Handle(ctx context.Context, x *Request, _ Next) error {
	d.retries.RecordRequest(x.Service)
	for {
		choice, err := d.place(ctx, x)
		if err != nil {
			return d.settle(ctx, x, err)
		}
		begun := d.clock.Now()
		res := d.attempt(ctx, x, choice.Upstream)
		x.trail = append(x.trail, newStep(x, choice, begun, d.clock.Now(), res))
		if res.done {
			return nil
		}
		if !d.again(ctx, x, res) {
			return d.settle(ctx, x, res.err)
		}
	}
}

// again decides whether the request may be sent once more after a send that brought no answer.
func (d *dispatch) again(ctx context.Context, x *Request, res result) bool {
	reason := x.mayRepeat(res)
	if ctx.Err() != nil {
		reason = "over"
	}
	if reason == "" && res.sent && !d.retries.TryWithdraw(x.Service) {
		reason = "budget"
		d.metrics.refused.Inc(1)
	}
	event := d.log.Info().Str("event", "retry").Str("request", x.ID).Str("route", x.Route.Name).Str("kind", string(x.Route.Kind)).
		Bool("not_run", res.notRun).Bool("sent", res.sent).Int("runs", x.runs).Int("sends", x.sends).Str("peer", x.lastTried())
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
	if x.out.begun {
		d.metrics.resumes.Inc(1)
	}
	return true
}

// mayRepeat returns why the request may not be sent again, or "".
func (x *Request) mayRepeat(res result) string {
	switch {
	case x.out.lost:
		return "caller"
	case x.sends >= maxSends || len(x.tried) >= maxTries:
		return "sends"
	case res.notRun:
		return ""
	case !x.Route.Repeatable():
		return "unsafe"
	case x.runs >= x.Route.MaxAttempts:
		return "attempts"
	default:
		return ""
	}
}

// settle returns the request's final error. A kept answer of an upstream goes before a refusal of our own, and a
// refusal must not say "not run" if an earlier send may have run.
func (d *dispatch) settle(ctx context.Context, x *Request, err error) error {
	if x.out.kept != nil && !x.out.begun {
		x.out.sendWhole(x.out.kept)
		return nil
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	if !x.unknown && refusal.Outcome == outcome.NotRun {
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

// place returns the upstream that takes the request next. It checks the request against the configuration in force
// and waits a little for an upstream that may take it.
func (d *dispatch) place(ctx context.Context, x *Request) (*balance.Choice, error) {
	var until time.Time
	for {
		snap := d.store.Current()
		if err := allow(x, snap.Config); err != nil {
			return nil, err
		}
		if left := x.Deadline.Sub(d.clock.Now()); left < minLeft {
			return nil, outcome.Unavailable(stepDispatch, "no-time", "no time is left")
		}
		if u := d.choose(snap, x); u != nil {
			return u, nil
		}
		now := d.clock.Now()
		if until.IsZero() {
			until = now.Add(x.Route.LatencyObjective / placeWait)
		}
		if !now.Before(until) {
			return nil, outcome.Unavailable(stepDispatch, "no-upstream", "no upstream can take the request").
				WithRetryAfter(shortRetry)
		}
		select {
		case <-ctx.Done():
			return nil, outcome.Unavailable(stepDispatch, "over", "the time is over").WithPeer("", ctx.Err())
		case <-d.clock.After(placePoll):
		}
	}
}

// choose returns the first upstream in the request's order that may take it now.
func (d *dispatch) choose(snap *catalog.Snapshot, x *Request) *balance.Choice {
	service := snap.Config.Services[x.Service]
	want := balance.Criteria{Engine: service.Engine, AffinityHash: affinity(x.Prompt), Tried: x.tried}
	now := d.clock.Now()
	order := d.table.Order(snap, x.Service, want)
	for i := range order {
		u := &order[i]
		if slices.Contains(x.shedBy, u.Key()) {
			continue
		}
		if service.ColdRequestsPerSecond > 0 && now.Before(u.ColdUntil) && !d.cold.TryAcquire(u.ID, service.ColdRequestsPerSecond) {
			continue
		}
		return u
	}
	return nil
}

// affinity returns the hash of the prompt's parts that other requests share: all but the last one.
func affinity(parts []PromptSegment) uint64 {
	if len(parts) == 0 {
		return 0
	}
	shared := parts[:max(1, len(parts)-1)]
	return loadbalancer.HashKey(shared[len(shared)-1].ID)
}
