// Package upstreams holds what an owner knows of its upstreams and admits work to them: the load bound, the cold-start
// ramp, health, and the fair queue for requests that find no place.
package upstreams

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbound"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// step is the name that this package's refusals carry.
const step = "owner"

// Refusal codes by which the sender knows that another upstream may take the request.
const (
	// CodeOut means that the document takes the upstream out.
	CodeOut = "upstream-out"
	// CodeDown means that the upstream fails.
	CodeDown = "upstream-down"
	// CodeFull means that the upstream is at its load bound.
	CodeFull = "upstream-full"
	// CodeCold means that the upstream carries what it can bear while cold.
	CodeCold = "upstream-cold"
	// CodeBusy means that the request would wait too long for a place.
	CodeBusy = "upstream-busy"
)

// Configuration returns the document in force, or nil.
type Configuration interface {
	Current() *document.Snapshot
}

// Options configures NewSet.
type Options struct {
	// Self is this host's name.
	Self          string
	Policy        settings.RoutingPolicy
	Liveness      ownership.Liveness
	Configuration Configuration
	// LoadReader reads the upstreams' own load reports.
	LoadReader LoadReader
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Scope      tally.Scope
}

// Set is the owner's state of every upstream that it owns or has dispatched to. It is safe for concurrent use.
type Set struct {
	Options
	table   *loadbound.Table
	metrics setMetrics

	mu     sync.Mutex
	states map[string]*state
	pools  map[string]*poolLoad
	// ownership says which upstreams this host owned when it last looked.
	ownership owned
	// lastTick is when the control loop last ran; zero until it starts.
	lastTick time.Time
	// wokeAt is when the process last noticed that it had slept; confirmed says whether a peer has shown since then that
	// the document in force is not behind.
	wokeAt    time.Time
	confirmed bool
	sequence  uint64
	// next is the name after which the next digest goes on.
	next string
}

type setMetrics struct {
	granted  tally.Counter
	queued   tally.Counter
	evicted  tally.Counter
	early    tally.Counter
	takeover tally.Counter
	slept    tally.Counter
	down     tally.Counter
	polls    tally.Counter
	waited   tally.Timer
}

func newSetMetrics(scope tally.Scope) setMetrics {
	return setMetrics{
		granted: scope.Counter("owner_granted"), queued: scope.Counter("owner_queued"),
		evicted: scope.Counter("owner_queue_evicted"), early: scope.Counter("owner_refused_early"),
		takeover: scope.Counter("owner_takeovers"), slept: scope.Counter("owner_slept"),
		down: scope.Counter("owner_upstream_down"), polls: scope.Counter("owner_load_polls"),
		waited: scope.Timer("owner_queue_wait"),
	}
}

// NewSet returns an empty set; Run keeps it up to date.
func NewSet(o Options) *Set {
	return &Set{
		Options: o, table: loadbound.NewTable(o.Clock), metrics: newSetMetrics(o.Scope),
		confirmed: true, states: map[string]*state{}, pools: map[string]*poolLoad{},
	}
}

// stateOf returns the upstream's state, made if needed. A new state starts as a takeover, since this host does not know
// what the upstream carries for others. The caller holds mu.
func (s *Set) stateOf(up document.PoolUpstream, now time.Time) *state {
	st := s.states[up.Name]
	if st == nil || st.up.Capacity != up.Capacity || st.up.Address != up.Address {
		fresh := newState(up)
		if st != nil {
			fresh.inherit(st)
		}
		st = fresh
		s.states[up.Name] = st
		s.takeOver(st, now)
	}
	st.up = up
	return st
}

// takeOver starts the ramp of a new owner. The caller holds mu.
func (s *Set) takeOver(st *state, now time.Time) {
	s.metrics.takeover.Inc(1)
	st.takenOver, st.reported, st.pollAt = now, false, now
	s.findRival(st)
}

// findRival takes over what another host claims to have at the upstream as its owner. The caller holds mu.
func (s *Set) findRival(st *state) {
	report, fresh := s.table.FreshReport(st.up.Name)
	st.rival, st.contested = report.Load, fresh
	if !fresh {
		st.rival = 0
	}
}

// hasPlace reports whether the upstream may carry one more request. While two hosts own it, each may have half, since
// both may admit before they hear of each other's last requests. The caller holds mu.
func (s *Set) hasPlace(st *state, now time.Time) bool {
	limit := s.limit(st, now)
	if st.contested && s.Policy.HasLoadBound() && st.inFlight >= max(1, limit/2) {
		return false
	}
	return st.load() < limit
}

// limit returns the most requests that the upstream may carry now. The caller holds mu.
func (s *Set) limit(st *state, now time.Time) int {
	if !s.confirmed && now.Sub(s.wokeAt) < confirmTimeout {
		return 0
	}
	limit := loadbound.NoLimit
	if s.Policy.HasLoadBound() {
		totals := s.pool(st).lower()
		limit = st.ownerLimit(loadbound.Limit(st.up.Pool.LoadFactor, st.up.Capacity, totals), now)
	}
	return min(limit, st.ramp.Limit(now))
}
