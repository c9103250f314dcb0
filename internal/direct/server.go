package direct

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/callerconn"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/retryafter"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Options configures New.
type Options struct {
	Store       *catalog.Store
	Balancer    *balance.Table
	Selector    *balance.Selector
	RetryBudget *allowance.RetryBudget
	Pool        *upconn.Pool
	Hosts       Hosts
	Codec       Codec
	// Reach tells whether this host is cut off from the upstreams. DetourPeers chooses the hosts through which it sends requests
	// then, and MaxDetours limits the requests of other hosts in flight through this one.
	Reach       Reachability
	DetourPeers *detour.Peers
	MaxDetours  int
	// Quarantine holds the requests that were running on upstreams when these crashed.
	Quarantine *quarantine.Table
	// Prompts holds the prompt segments that crash upstreams.
	Prompts *promptblame.Table
	// Origins finds out which software version began a stream that a caller continues.
	Origins OriginResolver
	// ShareOrigin records which software version began a stream of this host, and tells other hosts if they need it.
	ShareOrigin func(origin.Record)
	// Listing tells how recent the published upstreams in the store are, and RegistrationTime is the time within which an upstream
	// that listens has published itself.
	Listing          Listing
	RegistrationTime time.Duration
	// BodyBytes limits the body bytes of all requests in flight together.
	BodyBytes int64
	// ResponseBytes limits the bytes of upstreams' responses that are held together. Beyond it, responses are relayed as
	// they arrive.
	ResponseBytes int64
	// HeadBytes limits the bytes of requests' heads that are arriving, except the first ones of each head.
	HeadBytes int64
	// MaxConns limits the number of callers' connections; 0 if nothing does.
	MaxConns int
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Server serves callers' requests.
type Server struct {
	Options
	chain         Next
	stop          *plannedStop
	dispatch      *dispatchFilter
	detourHandler *detourHandler
	inFlight      atomic.Int64
	latency       map[catalog.Kind]tally.Histogram
	responses     *responseCounters
	conns         *callerconn.Tracker
	desk          *lending.Desk
	returns       *retryafter.Advisor
}

// Timeouts of callers' connections where the configuration does not set them.
const (
	// defaultHeaderTimeout limits the time for reading a request's headers if the configuration sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	// transitMargin is added to the configured limits, which callers count from when they send or receive: a lost packet is sent
	// again within a second.
	transitMargin = time.Second
	// defaultIdleTimeout is how long an idle connection stays open if the configuration sets no limit.
	defaultIdleTimeout = 15 * time.Second
	// writeGrace is the time after its deadline within which a response must have been written to the caller.
	writeGrace = 300 * time.Millisecond
	// discardTime limits the wait for the rest of a refused request's body, after which its connection could be reused.
	discardTime = 50 * time.Millisecond
	// maxHeaderBytes limits the headers of a request whatever the configuration allows.
	maxHeaderBytes = 256 << 10
)

// latencyBuckets are the upper bounds of the latency histograms: 16 buckets that double from one millisecond.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// New returns a server; HTTPServer returns the HTTP server for its listener.
func New(o Options) *Server {
	s := &Server{Options: o, stop: newPlannedStop(), responses: newResponseCounters(o.Scope), returns: retryafter.NewAdvisor(o.Clock, rand.Float64)}
	s.latency = map[catalog.Kind]tally.Histogram{}
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		s.latency[kind] = o.Scope.Tagged(map[string]string{"kind": string(kind)}).Histogram("latency", latencyBuckets)
	}
	s.conns = callerconn.New(callerconn.Options{
		Clock: o.Clock, Limits: s.connLimits, MaxConns: o.MaxConns, Heads: inbound.NewByteBudget(o.HeadBytes), Refusal: headRefusal,
		OnIncompleteHead: s.logIncompleteHead, OnLateBytes: s.logLateBytes, OnAmbiguous: s.reportAmbiguous,
	})
	s.desk = lending.New(lending.Options{
		Store: o.Store, Selector: o.Selector, Peers: o.Hosts, Clock: o.Clock, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log: o.Log, Scope: o.Scope,
	})
	o.Balancer.OnChange(s.recordUpstreamChange)
	s.assemble()
	return s
}

// assemble builds what handles the requests of callers and of other hosts.
func (s *Server) assemble() {
	s.dispatch = s.newDispatchFilter()
	s.detourHandler = &detourHandler{dispatchFilter: s.dispatch, server: s, max: int64(s.MaxDetours)}
	s.chain = chain.Compose(s.filters()...)
}

// recordUpstreamChange counts a change in what an upstream says of itself, and closes the idle connections to one that is
// leaving.
func (s *Server) recordUpstreamChange(c balance.Change) {
	s.Scope.Tagged(map[string]string{"cause": string(c.Cause), "source": string(c.Source)}).Counter("upstream_notices").Inc(1)
	if c.Cause == balance.CauseLeaving {
		s.Pool.CloseIdle(c.Upstream.Address)
	}
}

// Listen returns the listener for callers with which the HTTP server must be run.
func (s *Server) Listen(l net.Listener) net.Listener { return s.conns.Listen(l) }

// HTTPServer returns the HTTP server for the callers' address.
func (s *Server) HTTPServer() *http.Server {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").Handler(s)
	router.NotFoundHandler = s // refuses targets without a path
	return &http.Server{
		Handler: router, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.conns.OnStateChange,
		DisableGeneralOptionsHandler: true, // it answers "OPTIONS *" without asking the handler
	}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Conns returns the number of callers' connections.
func (s *Server) Conns() callerconn.State { return s.conns.State() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	req := &Request{RequestMetadata: s.Codec.DecodeRequest(r), HTTP: r, Start: s.Clock.Now()}
	req.response = callerResponse{writer: w, clock: s.Clock, start: req.Start, isEndToEnd: s.Codec.IsEndToEnd, stopping: s.stop.begun}
	defer s.logPanic(req)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(s.stop.ended, func() { cancel(errStopped) })()
	err := s.chain(ctx, req)
	s.finish(r.Context(), req, err)
}

// finish sends the final response, if the caller has received none yet, and logs the result. It panics with
// http.ErrAbortHandler, which closes the caller's connection, if a response has been started that cannot be completed or
// if the caller has disconnected.
func (s *Server) finish(ctx context.Context, req *Request, err error) {
	elapsed := s.Clock.Since(req.Start)
	if req.Route != nil {
		s.latency[req.Route.Kind].RecordDuration(elapsed)
	}
	if err == nil {
		s.responses.relayed.Inc(1)
		s.returns.Served(req.Service)
		s.logServed(req, elapsed)
		return
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		refusal = &outcome.Refusal{
			Status: http.StatusBadGateway, Code: "broken-off", Message: "the answer broke off", Step: stepDispatch,
			Peer: req.lastTriedID(), Outcome: outcome.Unknown, Cause: err,
		}
	}
	if refusal.RetryAfter > 0 && refusal.Step != stepQuarantine && refusal.Step != stepStop {
		graded := *refusal
		graded.RetryAfter = s.returns.Refused(req.Service, refusal.RetryAfter, req.timeLeft(s.Clock.Now()))
		refusal = &graded
	}
	cancelled := ctx.Err() != nil && !req.bodyLate
	endedBy := s.endedBy(ctx, req, refusal.Cause)
	s.logRefused(req, refusal, cancelled, endedBy, elapsed)
	switch {
	case req.response.headerSent:
		s.responses.brokenOff(refusal.Code).Inc(1)
		s.responses.cut(endedBy).Inc(1)
		panic(http.ErrAbortHandler)
	case cancelled:
		s.responses.cancelled(refusal.Code).Inc(1)
		req.response.sendRefusal(refusal)
	default:
		s.responses.refused(refusal.Code).Inc(1)
		if !req.receiving && req.HTTP.ContentLength != 0 {
			// Some connections do not support deadlines; there net/http waits for the body before it sends the response.
			_ = http.NewResponseController(req.response.writer).SetReadDeadline(time.Now().Add(discardTime))
		}
		req.response.sendRefusal(refusal)
	}
}

// logPanic logs a panic of a filter and continues it, so that net/http closes the caller's connection.
func (s *Server) logPanic(req *Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares the value as well
		s.responses.panics.Inc(1)
		s.Log.Error().Str("event", "request-panicked").Func(s.requestFields(req, s.Clock.Since(req.Start))).
			Bool("begun", req.response.headerSent).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Send()
	}
	panic(cause)
}

func (s *Server) logRefused(req *Request, r *outcome.Refusal, cancelled bool, endedBy string, elapsed time.Duration) {
	level, event := zerolog.WarnLevel, "not-served"
	if cancelled {
		level, event = zerolog.InfoLevel, "cancelled"
	}
	line := s.Log.WithLevel(level).Str("event", event).Func(s.requestFields(req, elapsed)).Int("status", r.Status).Str("code", r.Code).
		Str("step", r.Step).Str("peer", r.Peer).Str("outcome", string(r.Outcome)).Dur("retry_after_ms", r.RetryAfter).Bool("begun", req.response.headerSent)
	if req.response.headerSent {
		line.Str("ended_by", endedBy).Int64("bytes", req.response.bytes)
	}
	line.Err(r.Cause).Send()
}

// connLimits returns how long callers' connections may wait.
func (s *Server) connLimits() callerconn.Limits {
	limits := callerconn.Limits{Idle: defaultIdleTimeout, Header: defaultHeaderTimeout}
	config := s.Store.Current().Config
	if config == nil {
		return limits
	}
	limits.HeaderBytes = int64(config.Limits.HeaderBytes)
	if config.Limits.IdleTimeout > 0 {
		limits.Idle = config.Limits.IdleTimeout + transitMargin
	}
	if config.Limits.HeaderTimeout > 0 {
		limits.Header = config.Limits.HeaderTimeout + transitMargin
	}
	return limits
}

// headRefusal returns the response to a request whose head has not arrived whole.
func headRefusal(cause callerconn.Cause) *http.Response {
	step := stepReceive
	switch cause {
	case callerconn.CauseStop:
		step = stepStop
	case callerconn.CauseHeadSize:
		step = stepAdmit // as for a head that has arrived whole
	}
	refusal := callerconn.Refuse(cause, step, defaultRetryAfter)
	header, body := encodeRefusal(refusal)
	return callerconn.NewRefusal(refusal.Status, header, body)
}

func (s *Server) reportAmbiguous(peer net.Addr, reason framing.Reason) {
	framing.NewReport("callers", s.Log, s.Scope)(peer, reason)
}

func (s *Server) logLateBytes(peer net.Addr, cause callerconn.Cause, waited time.Duration) {
	s.responses.lateBytes.Inc(1)
	s.Log.Info().Str("event", "bytes-at-timeout").Stringer("peer", peer).Str("cause", string(cause)).Dur("waited_ms", waited).Send()
}

func (s *Server) logIncompleteHead(h callerconn.IncompleteHead) {
	limits := s.connLimits()
	s.responses.incompleteHeads(h.Cause).Inc(1)
	s.Log.Warn().Str("event", "head-incomplete").Stringer("peer", h.Peer).Str("cause", string(h.Cause)).Int64("bytes", h.Bytes).
		Dur("waited_ms", h.Waited).Dur("header_limit_ms", limits.Header).Dur("idle_limit_ms", limits.Idle).Send()
}

// responseCounters counts responses by result.
type responseCounters struct {
	scope                      tally.Scope
	relayed, panics, lateBytes tally.Counter
}

func newResponseCounters(scope tally.Scope) *responseCounters {
	return &responseCounters{
		scope: scope, relayed: scope.Counter("answers_relayed"), panics: scope.Counter("requests_panicked"),
		lateBytes: scope.Counter("bytes_at_timeout"),
	}
}

// cut returns the counter of responses that had begun and were ended before they were whole.
func (c *responseCounters) cut(endedBy string) tally.Counter {
	return c.scope.Tagged(map[string]string{"ended_by": endedBy}).Counter("answers_cut")
}

// incompleteHeads returns the counter of connections that ended in the midst of a head.
func (c *responseCounters) incompleteHeads(cause callerconn.Cause) tally.Counter {
	return c.scope.Tagged(map[string]string{"cause": cmp.Or(string(cause), "caller")}).Counter("heads_incomplete")
}

func (c *responseCounters) refused(code string) tally.Counter {
	return c.byCode("requests_refused", code)
}

func (c *responseCounters) brokenOff(code string) tally.Counter {
	return c.byCode("answers_broken_off", code)
}

func (c *responseCounters) cancelled(code string) tally.Counter {
	return c.byCode("requests_cancelled", code)
}

func (c *responseCounters) byCode(name, code string) tally.Counter {
	return c.scope.Tagged(map[string]string{"code": code}).Counter(name)
}
