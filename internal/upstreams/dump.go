package upstreams

import (
	"slices"
	"strings"

	"github.com/orioleusher/orioleusher/internal/health"
)

// UpstreamState describes one upstream in the state dump.
type UpstreamState struct {
	Name     string `json:"name"`
	Owned    bool   `json:"owned"`
	InFlight int    `json:"in_flight"`
	// ExternalLoad is the number of requests that the upstream runs for other hosts, by its own load report.
	ExternalLoad int `json:"foreign"`
	Waiting      int `json:"waiting"`
	// Limit is the current limit of requests in flight.
	Limit  int           `json:"limit"`
	Cold   bool          `json:"cold"`
	Health health.Status `json:"health"`
	// ColdLimit is the limit during cold start.
	ColdLimit int    `json:"cold_limit"`
	Total     uint64 `json:"total"`
}

// State returns every upstream that this host owns or has dispatched to, sorted by name.
func (s *Set) State() []UpstreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]UpstreamState, 0, len(s.states))
	for name, st := range s.states {
		states = append(states, UpstreamState{
			Name: name, Owned: st.owned, InFlight: st.inFlight, ExternalLoad: st.externalLoad, Waiting: st.queue.Len(),
			Limit: s.limit(st, s.Clock.Now()), Cold: st.ramp.Cold(), Health: st.health.Status(),
			ColdLimit: st.ramp.ColdLimit(), Total: st.total,
		})
	}
	slices.SortFunc(states, func(a, b UpstreamState) int { return strings.Compare(a.Name, b.Name) })
	return states
}
