// Package callers implements the server for the fleet's callers. It converts an HTTP request to an exchange, runs the
// entry chain, and relays the response or writes the refusal.
package callers

import (
	"context"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/relay"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// Handler handles the requests of callers.
type Handler struct {
	store           *config.Store
	chain           exchange.Next
	limits          settings.Limits
	timeouts        settings.Timeouts
	clock           clockwork.Clock
	log             zerolog.Logger
	bodies          *inbound.ByteBudget
	requests        tally.Counter
	refusals        tally.Counter
	responsesCut    tally.Counter
	headsIncomplete tally.Counter
	ambiguous       framing.Report
}

// New returns the handler that runs chain for each request.
func New(store *config.Store, chain exchange.Next, s *settings.Router, clock clockwork.Clock, log zerolog.Logger, scope tally.Scope) *Handler {
	return &Handler{
		store: store, chain: chain, limits: s.Limits, timeouts: s.Timeouts, clock: clock, log: log,
		bodies:   inbound.NewByteBudget(s.Limits.TotalBodyBytes),
		requests: scope.Counter("requests"), refusals: scope.Counter("refusals"), responsesCut: scope.Counter("answers_cut"),
		headsIncomplete: scope.Counter("heads_incomplete"), ambiguous: framing.NewReport("callers", log, scope),
	}
}

// headerReadFactor is the ratio of the header size that net/http accepts to the configured limit. A caller slightly
// above the limit thus gets a refusal with a JSON body instead of the plain 431 response of net/http.
const headerReadFactor = 2

// serverLog logs the messages of net/http as events.
type serverLog struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (s *serverLog) Write(p []byte) (int, error) {
	s.log.Debug().Str("event", "http").Str("message", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}

// Router returns the handler for all paths.
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
		h.responsesCut.Inc(1)
		h.log.Warn().Str("event", "answer-cut").Str("trace", x.TraceID).Str("peer", x.Response.Upstream).Err(err).Send()
		panic(http.ErrAbortHandler)
	}
	h.logDone(x, x.Response.Status)
}

func (h *Handler) logDone(x *exchange.Exchange, status int) {
	h.log.Info().Str("event", "request").Str("trace", x.TraceID).Str("team", x.TeamName()).Str("route", x.Route.Name).
		Str("upstream", x.Response.Upstream).Int("status", status).Dur("took_ms", h.clock.Since(x.Start)).Send()
}
