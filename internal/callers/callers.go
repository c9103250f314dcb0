// Package callers serves the fleet's callers: it turns an HTTP request into an exchange, runs the entry chain and
// relays the answer or writes the refusal.
package callers

import (
	"context"
	stdlog "log"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/relay"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// Handler is the callers' API.
type Handler struct {
	store    *config.Store
	chain    exchange.Next
	limits   settings.Limits
	timeouts settings.Timeouts
	clock    clockwork.Clock
	log      zerolog.Logger
	bodies   *inbound.BodyBudget
	requests tally.Counter
	refusals tally.Counter
	cut      tally.Counter
}

// New returns the handler that runs chain for each request.
func New(store *config.Store, chain exchange.Next, s *settings.Router, clock clockwork.Clock, log zerolog.Logger, scope tally.Scope) *Handler {
	return &Handler{
		store: store, chain: chain, limits: s.Limits, timeouts: s.Timeouts, clock: clock, log: log,
		bodies:   inbound.NewBodyBudget(s.Limits.TotalBodyBytes),
		requests: scope.Counter("requests"), refusals: scope.Counter("refusals"), cut: scope.Counter("answers_cut"),
	}
}

// headerSlack is the factor by which net/http reads more header than is allowed, so that a caller that is a little above
// the limit gets a refusal with a body instead of net/http's bare 431.
const headerSlack = 2

// Server returns the callers' server. net/http lifts the ReadTimeout once the body has been read, so it does not bound
// the answer. A WriteTimeout would cut long streams; the handler sets a deadline for each piece of the answer instead.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler: h.Router(), ReadHeaderTimeout: h.timeouts.Header.Std(), ReadTimeout: h.timeouts.Body.Std(),
		IdleTimeout: h.timeouts.Idle.Std(), MaxHeaderBytes: headerSlack * h.limits.HeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(&serverLog{log: h.log}, "", 0),
	}
}

// serverLog turns net/http's own messages into events.
type serverLog struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (s *serverLog) Write(p []byte) (int, error) {
	s.log.Debug().Str("event", "http").Str("message", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}

// Router returns the handler for every path.
func (h *Handler) Router() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.PathPrefix("/").HandlerFunc(h.serve)
	// A request target without a path, such as OPTIONS *, matches no prefix.
	r.NotFoundHandler = http.HandlerFunc(h.serve)
	return r
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	h.requests.Inc(1)
	w = newDeadlineWriter(w, h.timeouts.Write.Std())
	body := h.limitBody(w, r)
	defer body.Release()
	x, err := h.receive(r, body)
	if err != nil {
		h.refuse(w, x, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
	defer cancel()
	if err := h.chain(ctx, x); err != nil {
		h.refuse(w, x, err)
		return
	}
	if err := relay.Copy(w, x); err != nil {
		h.cut.Inc(1)
		h.log.Warn().Str("event", "answer-cut").Str("trace", x.TraceID).Str("peer", x.Response.Upstream).Err(err).Send()
		panic(http.ErrAbortHandler)
	}
	h.logDone(x, x.Response.Status)
}

func (h *Handler) logDone(x *exchange.Exchange, status int) {
	h.log.Info().Str("event", "request").Str("trace", x.TraceID).Str("team", x.TeamName()).Str("route", x.Route.Name).
		Str("upstream", x.Response.Upstream).Int("status", status).Dur("took_ms", h.clock.Since(x.Start)).Send()
}
