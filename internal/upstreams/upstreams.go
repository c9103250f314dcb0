// Package upstreams keeps an owner's state of its upstreams and admits requests to them. It applies the load bound, the
// cold-start ramp and the health status, and queues requests fairly when an upstream has no free slot.
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

// step is the step that this package's refusals carry.
const step = "owner"

// Refusal codes after which the sender may try another upstream, since the request was not run.
const (
	// CodeOut means that the document has the upstream out of service.
	CodeOut = "upstream-out"
	// CodeDown means that the upstream is marked down.
	CodeDown = "upstream-down"
	// CodeFull means that the upstream is at its load bound.
	CodeFull = "upstream-full"
	// CodeCold means that the upstream is at its limit for cold start.
	CodeCold = "upstream-cold"
	// CodeBusy means that the request would wait too long for a slot.
	CodeBusy = "upstream-busy"
)

// Configuration provides the document in force, or nil if there is none.
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

// Set holds the owner's state of every upstream that it owns or has dispatched to. It is safe for concurrent use.
type Set struct {
	Options
	table   *loadbound.Table
	metrics setMetrics

	mu     sync.Mutex
	states map[string]*state
	pools  map[string]*poolLoad
	// ownership is the result of the latest ownership computation.
	ownership ownershipView
	// lastTick is when the control loop last ran; zero until it starts.
	lastTick time.Time
	// resumedAt is when the latest pause of the process was detected. documentConfirmed is set once a peer has shown
	// since then that the document in force is not out of date.
	resumedAt         time.Time
	documentConfirmed bool
	sequence          uint64
	// lastReported is the name of the upstream reported last; the next digest continues after it.
	lastReported string
}

type setMetrics struct {
	granted      tally.Counter
	queued       tally.Counter
	evicted      tally.Counter
	refusedEarly tally.Counter
	takeovers    tally.Counter
	pauses       tally.Counter
	down         tally.Counter
	polls        tally.Counter
	queueWait    tally.Timer
}

func newSetMetrics(scope tally.Scope) setMetrics {
	return setMetrics{
		granted: scope.Counter("owner_granted"), queued: scope.Counter("owner_queued"),
		evicted: scope.Counter("owner_queue_evicted"), refusedEarly: scope.Counter("owner_refused_early"),
		takeovers: scope.Counter("owner_takeovers"), pauses: scope.Counter("owner_slept"),
		down: scope.Counter("owner_upstream_down"), polls: scope.Counter("owner_load_polls"),
		queueWait: scope.Timer("owner_queue_wait"),
	}
}

// NewSet returns an empty set. Run keeps it up to date.
func NewSet(o Options) *Set {
	return &Set{
		Options: o, table: loadbound.NewTable(o.Clock), metrics: newSetMetrics(o.Scope),
		documentConfirmed: true, states: map[string]*state{}, pools: map[string]*poolLoad{},
	}
}

// stateOf returns the upstream's state and creates it if needed. A new state starts with a takeover, since this host
// does not know the upstream's load from other hosts. The caller holds mu.
func (s *Set) stateOf(up document.PoolUpstream, now time.Time) *state {
	st := s.states[up.Name]
	if st == nil || st.up.Capacity != up.Capacity || st.up.Address != up.Address {
		created := newState(up)
		if st != nil {
			created.inherit(st)
		}
		st = created
		s.states[up.Name] = st
		s.startTakeover(st, now)
	}
	st.up = up
	return st
}

// startTakeover starts the ramp of a new owner. The caller holds mu.
func (s *Set) startTakeover(st *state, now time.Time) {
	s.metrics.takeovers.Inc(1)
	st.takenOverAt, st.hasReport, st.nextPollAt = now, false, now
	s.updateOtherOwnerLoad(st)
}

// updateOtherOwnerLoad stores the load that another host reports as owner of the upstream. The caller holds mu.
func (s *Set) updateOtherOwnerLoad(st *state) {
	report, fresh := s.table.FreshReport(st.up.Name)
	st.otherOwnerLoad, st.contested = report.Load, fresh
	if !fresh {
		st.otherOwnerLoad = 0
	}
}

// hasSlot reports whether the upstream may take one more request. While two hosts own it, each may use half of the
// limit, since both may admit requests before they receive each other's reports. The caller holds mu.
func (s *Set) hasSlot(st *state, now time.Time) bool {
	limit := s.limit(st, now)
	if st.contested && s.Policy.HasLoadBound() && st.inFlight >= max(1, limit/2) {
		return false
	}
	return st.load() < limit
}

// limit returns the current limit of requests in flight at the upstream. The caller holds mu.
func (s *Set) limit(st *state, now time.Time) int {
	if !s.documentConfirmed && now.Sub(s.resumedAt) < confirmTimeout {
		return 0
	}
	limit := loadbound.NoLimit
	if s.Policy.HasLoadBound() {
		totals := s.pool(st).limitTotals()
		limit = st.ownerLimit(loadbound.Limit(st.up.Pool.LoadFactor, st.up.Capacity, totals), now)
	}
	return min(limit, st.ramp.Limit(now))
}
