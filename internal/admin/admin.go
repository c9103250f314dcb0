// Package admin serves each process's operators: liveness, readiness, metrics and the state dump.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// Paths of the admin address.
const (
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathExplain = "/debug/explain"
)

// Query parameters of PathExplain.
const (
	ParamRoute = "route"
	ParamChat  = "chat"
)

// Source is what a process shows on its admin address.
type Source struct {
	// Ready returns "" when the process takes work, else the reason why not.
	Ready func() string
	// State returns the state dump, a value that encodes as JSON.
	State   func() any
	Metrics http.Handler
	// Explain, if not nil, says why a chat on a route goes to its upstream, a value that encodes as JSON.
	Explain func(route, chat string) (any, error)
}

// Handler returns the admin handler.
func Handler(s Source) *mux.Router {
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
	return r
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
