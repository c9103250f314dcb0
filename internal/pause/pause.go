// Package pause notices that the process lost time, by a stop, a suspended machine or a starved processor, and holds
// work back until the process has read again what the rest of the fleet knows.
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
	// beatInterval is the time between two beats.
	beatInterval = 100 * time.Millisecond
	// gapLimit is the time without a beat that counts as a pause.
	gapLimit = 700 * time.Millisecond
)

// ResyncFunc reads again what the fleet knows. It is bounded in time and reports whether anybody answered.
type ResyncFunc func(ctx context.Context) bool

// Guard knows whether the process may act on what it believes. It is safe for concurrent use.
type Guard struct {
	clock   clockwork.Clock
	catchUp ResyncFunc
	log     zerolog.Logger
	pauses  tally.Counter
	lost    tally.Timer

	mu       sync.Mutex
	beat     time.Time
	awake    chan struct{}
	catching bool
	state    State
}

// State is the guard's section of the state dump.
type State struct {
	Pauses uint64 `json:"pauses"`
	// LongestMS is the longest pause in milliseconds.
	LongestMS int64     `json:"longest_ms"`
	Last      time.Time `json:"last"`
	// Resyncing says that work waits for what the fleet knows.
	Resyncing bool `json:"catching_up"`
	// Isolated says that nobody answered after the last pause: the router serves on what it knew before.
	Isolated bool `json:"cut_off"`
}

// New returns a guard that calls catchUp after each pause. Run keeps its beat. Work waits until Start is called.
func New(clock clockwork.Clock, catchUp ResyncFunc, log zerolog.Logger, scope tally.Scope) *Guard {
	return &Guard{
		clock: clock, catchUp: catchUp, log: log, beat: clock.Now(), awake: make(chan struct{}), catching: true,
		pauses: scope.Counter("pauses"), lost: scope.Timer("pause"),
	}
}

// Start lets work pass for the first time: the process knows what the fleet knows.
func (g *Guard) Start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Pauses > 0 {
		go g.recover(g.state.Pauses)
		return
	}
	g.catching = false
	close(g.awake)
}

// Run beats until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := g.clock.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.look(true)
		}
	}
}

// Wait returns when the process may act on what it believes: at once, unless it has just lost time. It returns the
// context's error if that ends first.
func (g *Guard) Wait(ctx context.Context) error {
	awake := g.look(false)
	select {
	case <-awake:
		return nil
	default:
	}
	select {
	case <-awake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pauses returns the number of pauses noticed so far.
func (g *Guard) Pauses() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Pauses
}

// Handler holds requests back as Wait does.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.Wait(r.Context()); err != nil {
			http.Error(w, "catching up after a pause", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// look compares the clock with the last beat and returns the channel that is closed while the process is awake.
func (g *Guard) look(beat bool) <-chan struct{} {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := lostTime(g.beat, now)
	if beat || gap >= gapLimit {
		g.beat = now
	}
	if gap >= gapLimit {
		g.paused(gap, now)
	}
	return g.awake
}

// lostTime returns the time between two readings of the clock. The monotonic clock stands still while a machine is
// suspended and the wall clock may be set, so the greater of both differences counts; a clock that was set forward only
// costs a needless catch-up.
func lostTime(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// paused notes a pause and starts to catch up, also when an earlier catch-up was itself interrupted. The caller holds mu.
func (g *Guard) paused(gap time.Duration, now time.Time) {
	g.pauses.Inc(1)
	g.lost.Record(gap)
	g.state.Pauses++
	g.state.Last = now
	g.state.LongestMS = max(g.state.LongestMS, gap.Milliseconds())
	g.log.Warn().Str("event", "paused").Dur("lost_ms", gap).Send()
	if g.catching {
		return
	}
	g.catching = true
	g.awake = make(chan struct{})
	go g.recover(g.state.Pauses)
}

// recover catches up until no further pause came in between.
func (g *Guard) recover(seen uint64) {
	for {
		reached := g.catchUp(context.Background())
		g.mu.Lock()
		if g.state.Pauses == seen {
			g.catching = false
			g.state.Isolated = !reached
			close(g.awake)
			g.mu.Unlock()
			g.log.Info().Str("event", "caught-up").Bool("cut_off", !reached).Send()
			return
		}
		seen = g.state.Pauses
		g.mu.Unlock()
	}
}

// RecordPeerResponse notes that somebody answered after all.
func (g *Guard) RecordPeerResponse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Isolated = false
}

// State returns the counts.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state
	s.Resyncing = g.catching
	return s
}
