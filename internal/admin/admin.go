// Package admin serves each process's operators: liveness, readiness, metrics and the state dump.
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
)

// Paths of the admin address.
const (
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathExplain = "/debug/explain"
	// PathLift takes a POST that ends the quarantine of a request on this router.
	PathLift = "/debug/quarantine/lift"
)

// Query parameters of PathExplain.
const (
	ParamRoute = "route"
	ParamChat  = "chat"
)

// ParamFingerprint is the query parameter of PathLift, a decimal number as in the state dump.
const ParamFingerprint = "fingerprint"

// Options is what a process shows on its admin address.
type Options struct {
	// Ready returns "" when the process takes work, else the reason why not.
	Ready func() string
	// State returns the state dump, a value that encodes as JSON.
	State   func() any
	Metrics http.Handler
	// Explain, if not nil, says why a chat on a route goes to its upstream, a value that encodes as JSON.
	Explain func(route, chat string) (any, error)
	// Lift, if not nil, ends the quarantine of a request.
	Lift func(fingerprint uint64)
}

// Handler returns the admin handler.
func Handler(s Options) *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc(PathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc(PathReady, func(w http.ResponseWriter, _ *http.Request) { ready(w, s.Ready()) })
	r.HandleFunc(PathState, func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, s.State()) })
	if s.Metrics != nil {
		r.Handle(PathMetrics, s.Metrics)
	}
	if s.Explain != nil {
		r.HandleFunc(PathExplain, func(w http.ResponseWriter, r *http.Request) { explain(w, r, s.Explain) })
	}
	if s.Lift != nil {
		r.HandleFunc(PathLift, func(w http.ResponseWriter, r *http.Request) { lift(w, r, s.Lift) }).Methods(http.MethodPost)
	}
	return r
}

func lift(w http.ResponseWriter, r *http.Request, end func(fingerprint uint64)) {
	text := r.URL.Query().Get(ParamFingerprint)
	fingerprint, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("fingerprint %q: want a decimal number as in the state dump", text), http.StatusBadRequest)
		return
	}
	end(fingerprint)
}

func explain(w http.ResponseWriter, r *http.Request, answer func(route, chat string) (any, error)) {
	query := r.URL.Query()
	v, err := answer(query.Get(ParamRoute), query.Get(ParamChat))
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
	// The reader may be gone; there is nobody left to tell.
	_ = enc.Encode(v)
}
