package upstreams

import (
	"slices"
	"strings"

	"github.com/orioleusher/orioleusher/internal/health"
)

// UpstreamState is one upstream in the state dump.
type UpstreamState struct {
	Name     string `json:"name"`
	Owned    bool   `json:"owned"`
	InFlight int    `json:"in_flight"`
	// ExternalLoad is the load that the upstream carries for other hosts, by its own report.
	ExternalLoad int `json:"foreign"`
	Waiting      int `json:"waiting"`
	// Limit is the most requests that it may carry now.
	Limit  int           `json:"limit"`
	Cold   bool          `json:"cold"`
	Health health.Status `json:"health"`
	// ColdLimit is what it gets while cold.
	ColdLimit int    `json:"cold_limit"`
	Total     uint64 `json:"total"`
}

// State returns every upstream that this host owns or has dispatched to, by name.
func (s *Set) State() []UpstreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]UpstreamState, 0, len(s.states))
	for name, st := range s.states {
		states = append(states, UpstreamState{
			Name: name, Owned: st.owned, InFlight: st.inFlight, ExternalLoad: st.foreign, Waiting: st.queue.Len(),
			Limit: s.limit(st, s.Clock.Now()), Cold: st.ramp.Cold(), Health: st.health.Status(),
			ColdLimit: st.ramp.ColdLimit(), Total: st.total,
		})
	}
	slices.SortFunc(states, func(a, b UpstreamState) int { return strings.Compare(a.Name, b.Name) })
	return states
}
