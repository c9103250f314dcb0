package direct

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Options configures New.
type Options struct {
	Store       *catalog.Store
	Table       *balance.Table
	RetryBudget *allowance.RetryBudget
	ColdLimiter *allowance.ColdLimiter
	Pool        *upconn.Pool
	Codec       Codec
	// Quarantine counts the upstreams that died of a request.
	Quarantine *quarantine.Table
	// BodyBytes bounds the bodies of all requests in flight together.
	BodyBytes int64
	Clock     clockwork.Clock
	Log       zerolog.Logger
	Scope     tally.Scope
}

// Server answers callers.
type Server struct {
	Options
	chain    Next
	stopping atomic.Bool
	inFlight atomic.Int64
	latency  map[catalog.Kind]tally.Histogram
	answers  *counters
	idle     *idleConns
}

// Bounds of the callers' connections where the configuration does not set them.
const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// defaultIdle is how long an unused connection stays open if the configuration says nothing.
	defaultIdle = 15 * time.Second
	// writeSlack is how much longer than its deadline a request may take to be written to its caller.
	writeSlack = 300 * time.Millisecond
)

// latencyBuckets are the bounds of the latency histograms, doubled from one millisecond.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// New returns a server; HTTP returns its listener's side.
func New(o Options) *Server {
	s := &Server{Options: o, answers: newCounters(o.Scope)}
	s.latency = map[catalog.Kind]tally.Histogram{}
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		s.latency[kind] = o.Scope.Tagged(map[string]string{"kind": string(kind)}).Histogram("latency", latencyBuckets)
	}
	s.idle = newIdleConns(o.Clock, s.idleLimit)
	s.chain = chain.Compose(s.filters()...)
	return s
}

// HTTPServer returns the server of the callers' address.
func (s *Server) HTTPServer() *http.Server {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").Handler(s)
	return &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ConnState: s.idle.state}
}

// Stop makes all further answers ask for the end of their connections.
func (s *Server) Stop() { s.stopping.Store(true) }

// DrainIdleConns ends callers' unused connections without cutting off a request that was read from one. It is called before the
// HTTP server is shut down, and returns when all have ended or the context has.
func (s *Server) DrainIdleConns(ctx context.Context) { s.idle.end(ctx) }

// InFlight returns the requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &Request{RequestMetadata: s.Codec.RequestMetadata(r), HTTP: r, Start: s.Clock.Now(), out: answer{w: w, clock: s.Clock}}
	x.out.start = x.Start
	err := s.chain(r.Context(), x)
	s.finish(r.Context(), x, err)
}

// finish gives the caller its final answer, if it has none, and logs what happened.
func (s *Server) finish(ctx context.Context, x *Request, err error) {
	took := s.Clock.Since(x.Start)
	if x.Route != nil {
		s.latency[x.Route.Kind].RecordDuration(took)
	}
	if err == nil {
		s.answers.relayed.Inc(1)
		s.logServed(x, took)
		return
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		refusal = &outcome.Refusal{
			Status: http.StatusBadGateway, Code: "broken-off", Message: "the answer broke off", Step: stepDispatch,
			Outcome: outcome.Unknown, Cause: err,
		}
	}
	s.logRefused(ctx, x, refusal, took)
	switch {
	case x.out.begun:
		s.answers.broken.Inc(1)
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil:
		s.answers.cancelled.Inc(1)
		panic(http.ErrAbortHandler)
	default:
		s.answers.refused(refusal.Code).Inc(1)
		x.out.refuse(refusal)
	}
}

func (s *Server) logRefused(ctx context.Context, x *Request, r *outcome.Refusal, took time.Duration) {
	level, event := zerolog.WarnLevel, "not-served"
	if ctx.Err() != nil {
		level, event = zerolog.InfoLevel, "cancelled"
	}
	s.Log.WithLevel(level).Str("event", event).Func(s.describe(x, took)).Int("status", r.Status).Str("code", r.Code).
		Str("step", r.Step).Str("peer", r.Peer).Str("outcome", string(r.Outcome)).Bool("begun", x.out.begun).Err(r.Cause).Send()
}

// idleLimit returns how long a caller's connection may stay unused.
func (s *Server) idleLimit() time.Duration {
	if config := s.Store.Current().Config; config != nil && config.Limits.IdleTime > 0 {
		return config.Limits.IdleTime
	}
	return defaultIdle
}

// counters count the answers by what became of them.
type counters struct {
	scope                      tally.Scope
	relayed, broken, cancelled tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope: scope, relayed: scope.Counter("answers_relayed"), broken: scope.Counter("answers_broken_off"),
		cancelled: scope.Counter("requests_cancelled"),
	}
}

func (c *counters) refused(code string) tally.Counter {
	return c.scope.Tagged(map[string]string{"code": code}).Counter("requests_refused")
}
