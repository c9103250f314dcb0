// Package callers serves the fleet's callers: it turns an HTTP request into an exchange, runs the entry chain and
// relays the answer or writes the refusal.
package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/relay"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// step is the name that this package's refusals carry.
const step = "receive"

// HeaderTimeout lets a caller say, in milliseconds, how long it waits for the whole answer.
const HeaderTimeout = "Oriole-Timeout-Ms"

// Handler is the callers' API.
type Handler struct {
	store    *config.Store
	chain    exchange.Next
	limits   settings.Limits
	timeouts settings.Timeouts
	clock    clockwork.Clock
	log      zerolog.Logger
	requests tally.Counter
	refusals tally.Counter
	cut      tally.Counter
}

// New returns the handler that runs chain for each request.
func New(store *config.Store, chain exchange.Next, s *settings.Router, clock clockwork.Clock, log zerolog.Logger, scope tally.Scope) *Handler {
	return &Handler{
		store: store, chain: chain, limits: s.Limits, timeouts: s.Timeouts, clock: clock, log: log,
		requests: scope.Counter("requests"), refusals: scope.Counter("refusals"), cut: scope.Counter("answers_cut"),
	}
}

// Router returns the handler for every path.
func (h *Handler) Router() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.PathPrefix("/").HandlerFunc(h.serve)
	return r
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	h.requests.Inc(1)
	x, err := h.receive(w, r)
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
		h.log.Warn().Str("event", "answer-cut").Str("trace", x.Trace).Str("peer", x.Answer.Upstream).Err(err).Send()
		panic(http.ErrAbortHandler)
	}
	h.logDone(x, x.Answer.Status)
}

func (h *Handler) logDone(x *exchange.Exchange, status int) {
	h.log.Info().Str("event", "request").Str("trace", x.Trace).Str("team", x.TeamName()).Str("route", x.Route.Name).
		Str("upstream", x.Answer.Upstream).Int("status", status).Dur("took_ms", h.clock.Since(x.Start)).Send()
}

// receive reads the whole request, since its body may have to be sent to more than one host.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request) (*exchange.Exchange, error) {
	now := h.clock.Now()
	x := &exchange.Exchange{
		Trace: fmt.Sprintf("%016x", rand.Uint64()), Start: now, Deadline: now.Add(h.timeout(r.Header)),
		Method: r.Method, Path: r.URL.Path, RawQuery: r.URL.RawQuery, Header: r.Header.Clone(),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey), Snapshot: h.store.Current(),
	}
	if x.Snapshot == nil {
		return x, outcome.Unavailable(step, "no-document", "the router has no configuration yet").WithRetryAfter(time.Second)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.BodyBytes))
	if err != nil {
		return x, bodyRefusal(err)
	}
	x.Body = body
	return x, nil
}

func bodyRefusal(err error) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.Refuse(step, http.StatusRequestEntityTooLarge, "body-too-large", err.Error())
	}
	return outcome.Refuse(step, http.StatusBadRequest, "body-incomplete", "the request's body could not be read").
		WithPeer("caller", err)
}

func (h *Handler) timeout(header http.Header) time.Duration {
	limit := h.timeouts.Request.Std()
	ms, err := strconv.ParseInt(header.Get(HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// errorBody is the JSON body of every refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code           string          `json:"code"`
	Message        string          `json:"message"`
	Step           string          `json:"step"`
	Peer           string          `json:"peer,omitempty"`
	Outcome        outcome.Outcome `json:"outcome"`
	Earlier        outcome.Earlier `json:"earlier,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Trace          string          `json:"trace"`
}

func (h *Handler) refuse(w http.ResponseWriter, x *exchange.Exchange, err error) {
	h.refusals.Inc(1)
	r := exchange.Refusal(err)
	h.log.Info().Str("event", "refusal").Str("trace", x.Trace).Str("team", x.TeamName()).Str("step", r.Step).
		Str("peer", r.Peer).Str("code", r.Code).Str("outcome", string(r.Outcome)).AnErr("cause", r.Cause).Send()
	WriteRefusal(w, x.Trace, r)
}

// WriteRefusal writes a refusal as a caller sees it.
func WriteRefusal(w http.ResponseWriter, trace string, r *outcome.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcome.HeaderOutcome, string(r.Outcome))
	header.Set(outcome.HeaderTrace, trace)
	if r.Earlier != "" {
		header.Set(outcome.HeaderEarlier, string(r.Earlier))
	}
	if r.IdempotencyKey != "" {
		header.Set(outcome.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{
		Code: r.Code, Message: r.Message, Step: r.Step, Peer: r.Peer, Outcome: r.Outcome, Earlier: r.Earlier,
		IdempotencyKey: r.IdempotencyKey, Trace: trace,
	}})
}
