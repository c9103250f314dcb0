// Package admin serves the operators' endpoints of a process: liveness, readiness, metrics and the state dump.
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
)

// Paths of the admin endpoints.
const (
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathExplain = "/debug/explain"
	// PathLift accepts a POST that lifts the quarantine of a request on this router.
	PathLift = "/debug/quarantine/lift"
)

// Query parameters of PathExplain.
const (
	ParamRoute = "route"
	ParamChat  = "chat"
)

// ParamFingerprint is the query parameter of PathLift: a decimal number, as in the state dump.
const ParamFingerprint = "fingerprint"

// Options holds the functions behind the admin endpoints.
type Options struct {
	// Ready returns "" if the process accepts requests, and otherwise the reason why it does not.
	Ready func() string
	// State returns the state dump as a value that can be encoded as JSON.
	State   func() any
	Metrics http.Handler
	// Explain, if not nil, reports why a chat on a route is sent to its upstream, as a value that can be encoded as
	// JSON.
	Explain func(route, chat string) (any, error)
	// Lift, if not nil, lifts the quarantine of a request.
	Lift func(fingerprint uint64)
}

// Handler returns the handler of the admin endpoints.
func Handler(o Options) *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc(PathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc(PathReady, func(w http.ResponseWriter, _ *http.Request) { ready(w, o.Ready()) })
	r.HandleFunc(PathState, func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, o.State()) })
	if o.Metrics != nil {
		r.Handle(PathMetrics, o.Metrics)
	}
	if o.Explain != nil {
		r.HandleFunc(PathExplain, func(w http.ResponseWriter, r *http.Request) { explain(w, r, o.Explain) })
	}
	if o.Lift != nil {
		r.HandleFunc(PathLift, func(w http.ResponseWriter, r *http.Request) { lift(w, r, o.Lift) }).Methods(http.MethodPost)
	}
	return r
}

func lift(w http.ResponseWriter, r *http.Request, liftFingerprint func(fingerprint uint64)) {
	text := r.URL.Query().Get(ParamFingerprint)
	fingerprint, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("fingerprint %q: want a decimal number as in the state dump", text), http.StatusBadRequest)
		return
	}
	liftFingerprint(fingerprint)
}

func explain(w http.ResponseWriter, r *http.Request, explainChat func(route, chat string) (any, error)) {
	query := r.URL.Query()
	v, err := explainChat(query.Get(ParamRoute), query.Get(ParamChat))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	WriteJSON(w, v)
}

func ready(w http.ResponseWriter, reason string) {
	if reason == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// WriteJSON writes v as indented JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// The client may have disconnected, in which case the error cannot be reported to it.
	_ = enc.Encode(v)
}
