// Package pause detects that the process was paused, by a stop signal, a suspended machine or CPU starvation, and
// blocks work until the process has resynchronised its state with the rest of the fleet.
package pause

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a heartbeat that counts as a pause.
	pauseThreshold = 700 * time.Millisecond
)

// ResyncFunc fetches the fleet's current state again. It is bounded in time and reports whether any peer responded.
type ResyncFunc func(ctx context.Context) bool

// Guard detects pauses and blocks work while the process's view of the fleet may be out of date. It is safe for
// concurrent use.
type Guard struct {
	clock    clockwork.Clock
	resync   ResyncFunc
	log      zerolog.Logger
	pauses   tally.Counter
	lostTime tally.Timer

	mu            sync.Mutex
	lastHeartbeat time.Time
	ready         chan struct{}
	resyncing     bool
	state         State
}

// State is the guard's section of the state dump.
type State struct {
	Pauses uint64 `json:"pauses"`
	// LongestMS is the longest pause in milliseconds.
	LongestMS int64     `json:"longest_ms"`
	Last      time.Time `json:"last"`
	// Resyncing is set while work waits for the resync.
	Resyncing bool `json:"catching_up"`
	// Isolated is set if no peer responded after the last pause, so that the router serves with its state from before.
	Isolated bool `json:"cut_off"`
}

// New returns a guard that calls resync after each pause. Run maintains its heartbeat. Work is blocked until Start is
// called.
func New(clock clockwork.Clock, resync ResyncFunc, log zerolog.Logger, scope tally.Scope) *Guard {
	return &Guard{
		clock: clock, resync: resync, log: log, lastHeartbeat: clock.Now(), ready: make(chan struct{}), resyncing: true,
		pauses: scope.Counter("pauses"), lostTime: scope.Timer("pause"),
	}
}

// Start unblocks work for the first time, once the process has the fleet's state. If a pause was detected before, a
// resync comes first.
func (g *Guard) Start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Pauses > 0 {
		go g.resyncUntilStable(g.state.Pauses)
		return
	}
	g.resyncing = false
	close(g.ready)
}

// Run records heartbeats until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := g.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.check(true)
		}
	}
}

// Wait returns immediately unless a pause was just detected, else after the resync. It returns the context's error if
// the context ends first.
func (g *Guard) Wait(ctx context.Context) error {
	ready := g.check(false)
	select {
	case <-ready:
		return nil
	default:
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pauses returns the number of pauses detected so far.
func (g *Guard) Pauses() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Pauses
}

// Handler calls Wait before each request.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.Wait(r.Context()); err != nil {
			http.Error(w, "catching up after a pause", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// check compares the clock with the last heartbeat and returns the channel that is closed while work may pass.
func (g *Guard) check(heartbeat bool) <-chan struct{} {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := elapsed(g.lastHeartbeat, now)
	if heartbeat || gap >= pauseThreshold {
		g.lastHeartbeat = now
	}
	if gap >= pauseThreshold {
		g.recordPause(gap, now)
	}
	return g.ready
}

// elapsed returns the time between two readings of the clock. The monotonic clock may stop while a machine is suspended
// and the wall clock may be set, so the greater of both differences counts. A wall clock that is set forward costs only
// an unnecessary resync.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// recordPause records a pause and starts a resync unless one is already running; that one is then repeated. The caller
// holds mu.
func (g *Guard) recordPause(gap time.Duration, now time.Time) {
	g.pauses.Inc(1)
	g.lostTime.Record(gap)
	g.state.Pauses++
	g.state.Last = now
	g.state.LongestMS = max(g.state.LongestMS, gap.Milliseconds())
	g.log.Warn().Str("event", "paused").Dur("lost_ms", gap).Send()
	if g.resyncing {
		return
	}
	g.resyncing = true
	g.ready = make(chan struct{})
	go g.resyncUntilStable(g.state.Pauses)
}

// resyncUntilStable repeats the resync until no further pause was detected during it.
func (g *Guard) resyncUntilStable(seenPauses uint64) {
	for {
		responded := g.resync(context.Background())
		g.mu.Lock()
		if g.state.Pauses == seenPauses {
			g.resyncing = false
			g.state.Isolated = !responded
			close(g.ready)
			g.mu.Unlock()
			g.log.Info().Str("event", "caught-up").Bool("cut_off", !responded).Send()
			return
		}
		seenPauses = g.state.Pauses
		g.mu.Unlock()
	}
}

// RecordPeerResponse records that a peer responded, so that the router is no longer isolated.
func (g *Guard) RecordPeerResponse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Isolated = false
}

// State returns a copy of the guard's state.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state
	s.Resyncing = g.resyncing
	return s
}
