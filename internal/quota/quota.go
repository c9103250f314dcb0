// Package quota admits requests under each team's rate and burst over the whole fleet.
//
// The document splits both over the seats, so that the parts add up to no more than the whole whatever the hosts
// believe of each other. A host spends only its own part.
package quota

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/document"
)

// Decision is the result of one admission.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until the bucket holds a whole request again.
	RetryAfter time.Duration
}

// Limiter holds one token bucket for each team. It is safe for concurrent use.
type Limiter struct {
	host    string
	clock   clockwork.Clock
	started time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewLimiter returns a limiter for the named host. Its buckets are empty at this moment and fill from then on.
func NewLimiter(host string, clock clockwork.Clock) *Limiter {
	return &Limiter{host: host, clock: clock, started: clock.Now(), buckets: map[string]*bucket{}}
}

// Admit spends one token of the team's bucket.
func (l *Limiter) Admit(snap *document.Snapshot, team *document.Team) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b := l.buckets[team.Name]
	if b == nil {
		b = &bucket{refilled: l.started}
		b.rate, b.burst = l.part(snap, team)
		b.version = snap.Version
		l.buckets[team.Name] = b
	}
	b.refill(now)
	if b.version != snap.Version {
		b.version = snap.Version
		b.rate, b.burst = l.part(snap, team)
		b.tokens = min(b.tokens, b.burst)
	}
	return b.take()
}

// part returns this host's part of the team's rate and burst.
func (l *Limiter) part(snap *document.Snapshot, team *document.Team) (rate, burst float64) {
	if _, ok := snap.Host(l.host); !ok {
		return 0, 0
	}
	seats := float64(len(snap.Seats()))
	return team.RatePerSecond / seats, team.Burst / seats
}

// bucket is a token bucket; tokens and burst count requests, rate requests a second.
type bucket struct {
	version  uint64
	rate     float64
	burst    float64
	tokens   float64
	refilled time.Time
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilled).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
	b.refilled = now
}

// unreachableWait is the wait told to a team that has no part on this host.
const unreachableWait = time.Second

func (b *bucket) take() Decision {
	if b.tokens >= 1 {
		b.tokens--
		return Decision{Admitted: true}
	}
	if b.rate <= 0 || b.burst < 1 {
		return Decision{RetryAfter: unreachableWait}
	}
	wait := (1 - b.tokens) / b.rate
	return Decision{RetryAfter: time.Duration(wait * float64(time.Second))}
}

// TeamState is one team's bucket in the state dump.
type TeamState struct {
	Team   string  `json:"team"`
	Rate   float64 `json:"rate_per_second"`
	Burst  float64 `json:"burst"`
	Tokens float64 `json:"tokens"`
}

// State returns every bucket.
func (l *Limiter) State() []TeamState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make([]TeamState, 0, len(l.buckets))
	for name, b := range l.buckets {
		states = append(states, TeamState{Team: name, Rate: b.rate, Burst: b.burst, Tokens: b.tokens})
	}
	return states
}
