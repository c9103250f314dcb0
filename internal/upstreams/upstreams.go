// Package upstreams holds what an owner knows of its upstreams and admits work to them.
package upstreams

import (
	"math"
	"net/http"
	"sync"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// step is the name that this package's refusals carry.
const step = "owner"

// Refusal codes by which the sender knows that another upstream may take the request.
const (
	CodeOut  = "upstream-out"
	CodeFull = "upstream-full"
)

// Set is the owner's state of every upstream that it has dispatched to. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	states map[string]*state
}

// state is what the owner knows of one upstream.
type state struct {
	inFlight int
	total    uint64
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{states: map[string]*state{}}
}

// Acquire takes a place at the upstream. The returned function gives it back and must be called once.
// The error is an *outcome.Refusal.
func (s *Set) Acquire(snap *document.Snapshot, up document.PoolUpstream) (func(), error) {
	if !snap.TakesWork(up.Upstream) {
		return nil, outcome.Unavailable(step, CodeOut, "the upstream takes no new work").WithPeer(up.Name, nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[up.Name]
	if st == nil {
		st = &state{}
		s.states[up.Name] = st
	}
	if st.inFlight >= limit(up) {
		return nil, outcome.Refuse(step, http.StatusServiceUnavailable, CodeFull, "the upstream is at its load bound").
			WithPeer(up.Name, nil)
	}
	st.inFlight++
	st.total++
	var once sync.Once
	return func() { once.Do(func() { s.release(st) }) }, nil
}

func (s *Set) release(st *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.inFlight--
}

// limit is the most requests that the upstream may carry.
func limit(up document.PoolUpstream) int {
	return int(math.Ceil(up.Pool.LoadFactor * float64(up.Capacity)))
}

// UpstreamState is one upstream in the state dump.
type UpstreamState struct {
	Name     string `json:"name"`
	InFlight int    `json:"in_flight"`
	Total    uint64 `json:"total"`
}

// State returns every upstream that this host has dispatched to.
func (s *Set) State() []UpstreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]UpstreamState, 0, len(s.states))
	for name, st := range s.states {
		states = append(states, UpstreamState{Name: name, InFlight: st.inFlight, Total: st.total})
	}
	return states
}
