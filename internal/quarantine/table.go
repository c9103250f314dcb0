// Package quarantine decides which requests are held back because upstreams died while they ran.
//
// A strike says that an upstream died while a request with this fingerprint ran on it. One strike makes the fingerprint
// a suspect: it may run again, but on each upstream only while no other suspect runs there. A second strike holds it
// back everywhere until the strikes are too old. Strikes travel on the gossip digests.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// Limits say when strikes hold a fingerprint back.
type Limits struct {
	// CrashThreshold is the number of strikes that hold a fingerprint back.
	CrashThreshold int
	// Lifetime is how long a strike counts.
	Lifetime time.Duration
}

// DefaultLimits are those of a fleet with owners, which knows each death for certain.
var DefaultLimits = Limits{CrashThreshold: 2, Lifetime: 10 * time.Minute}

const (
	// maxStrikes bounds the table; the oldest strikes go first.
	maxStrikes = 10000
	// sameDeath is the time within which strikes of one fingerprint on one upstream are the same death, seen twice.
	sameDeath = 2 * time.Second
	// digestStrikes bounds the strikes in one digest, the newest first.
	digestStrikes = 16
)

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	// Clear requests run like any other.
	Clear Verdict = iota
	// Suspect requests run only where no other suspect runs.
	Suspect
	// Held requests do not run.
	Held
)

// Crash is one death of an upstream under a fingerprint.
type Crash struct {
	Fingerprint uint64
	// Upstream is the hash of the upstream's name.
	Upstream uint64
	At       time.Time
}

// Table holds the strikes that this host knows of. It is safe for concurrent use.
type Table struct {
	limits Limits
	clock  clockwork.Clock
	notify func()

	mu sync.Mutex
	// strikes is ordered by the time they were made, oldest first.
	strikes []Crash
	counts  map[uint64]int
	lifted  map[uint64]time.Time
}

// NewTable returns an empty table. Notify is called after each strike that is new to this host; it may be nil.
func NewTable(limits Limits, clock clockwork.Clock, notify func()) *Table {
	if notify == nil {
		notify = func() {}
	}
	return &Table{
		limits: limits, clock: clock, notify: notify, counts: map[uint64]int{}, lifted: map[uint64]time.Time{},
	}
}

// Fingerprint identifies a request's content: the same body from the same team to the same path.
func Fingerprint(team, path string, body []byte) uint64 {
	digest := xxhash.New()
	// Writing to an xxhash digest cannot fail.
	_, _ = digest.WriteString(team + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Check returns how a request with this fingerprint may run and, for held ones, how long it is still held.
func (t *Table) Check(fingerprint uint64) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	switch n := t.counts[fingerprint]; {
	case n == 0:
		return Clear, 0
	case n < t.limits.CrashThreshold:
		return Suspect, 0
	default:
		return Held, t.heldFor(fingerprint, now)
	}
}

// heldFor returns the time until fewer strikes are left than hold it. The caller holds mu.
func (t *Table) heldFor(fingerprint uint64, now time.Time) time.Duration {
	left := t.counts[fingerprint]
	for _, s := range t.strikes {
		if s.Fingerprint != fingerprint {
			continue
		}
		left--
		if left < t.limits.CrashThreshold {
			return s.At.Add(t.limits.Lifetime).Sub(now)
		}
	}
	return 0
}

// RecordCrash records that the upstream died while a request with this fingerprint ran on it.
func (t *Table) RecordCrash(fingerprint uint64, upstream string) {
	t.merge(Crash{Fingerprint: fingerprint, Upstream: xxhash.Sum64String(upstream), At: t.clock.Now()})
}

func (t *Table) merge(s Crash) {
	if t.add(s) {
		t.notify()
	}
}

// add inserts the strike in order and reports whether it is new.
func (t *Table) add(s Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	if now.Sub(s.At) >= t.limits.Lifetime || t.isLifted(s) || t.known(s) {
		return false
	}
	i := len(t.strikes)
	for i > 0 && t.strikes[i-1].At.After(s.At) {
		i--
	}
	t.strikes = append(t.strikes, Crash{})
	copy(t.strikes[i+1:], t.strikes[i:])
	t.strikes[i] = s
	t.counts[s.Fingerprint]++
	if len(t.strikes) > maxStrikes {
		t.dropOldest()
	}
	return true
}

// known reports whether the same death is in the table already. The caller holds mu.
func (t *Table) known(s Crash) bool {
	if t.counts[s.Fingerprint] == 0 {
		return false
	}
	for _, k := range t.strikes {
		if k.Fingerprint == s.Fingerprint && k.Upstream == s.Upstream && k.At.Sub(s.At).Abs() < sameDeath {
			return true
		}
	}
	return false
}

func (t *Table) isLifted(s Crash) bool {
	at, ok := t.lifted[s.Fingerprint]
	return ok && !s.At.After(at)
}

func (t *Table) expire(now time.Time) {
	for len(t.strikes) > 0 && now.Sub(t.strikes[0].At) >= t.limits.Lifetime {
		t.dropOldest()
	}
	for fingerprint, at := range t.lifted {
		if now.Sub(at) >= t.limits.Lifetime {
			delete(t.lifted, fingerprint)
		}
	}
}

func (t *Table) dropOldest() {
	s := t.strikes[0]
	t.strikes = t.strikes[1:]
	t.forget(s)
}

func (t *Table) forget(s Crash) {
	t.counts[s.Fingerprint]--
	if t.counts[s.Fingerprint] == 0 {
		delete(t.counts, s.Fingerprint)
	}
}

// Lift forgets every strike of the fingerprint up to now, on this host.
func (t *Table) Lift(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lifted[fingerprint] = t.clock.Now()
	kept := t.strikes[:0]
	for _, s := range t.strikes {
		if s.Fingerprint == fingerprint {
			t.forget(s)
			continue
		}
		kept = append(kept, s)
	}
	t.strikes = kept
}

// Recent returns the newest strikes, a few, to be passed on.
func (t *Table) Recent() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
	return slices.Clone(t.strikes[max(0, len(t.strikes)-digestStrikes):])
}

// Take takes in strikes that others know of. One that is new is passed on at once.
func (t *Table) Take(strikes []Crash) {
	for _, s := range strikes {
		t.merge(s)
	}
}

// Fill implements peers.Extension.
func (t *Table) Fill(d *gossippb.Digest) {
	now := t.clock.Now()
	for _, s := range t.Recent() {
		d.Strikes = append(d.Strikes, &gossippb.Strike{
			Fingerprint: s.Fingerprint, Upstream: s.Upstream, AgeMs: uint32(max(0, now.Sub(s.At).Milliseconds())),
		})
	}
}

// Merge implements peers.Extension.
func (t *Table) Merge(d *gossippb.Digest) {
	now := t.clock.Now()
	for _, s := range d.Strikes {
		age := time.Duration(s.AgeMs) * time.Millisecond
		t.merge(Crash{Fingerprint: s.Fingerprint, Upstream: s.Upstream, At: now.Add(-age)})
	}
}

// FingerprintState is one fingerprint in the state dump.
type FingerprintState struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	Crashes     int    `json:"strikes"`
	Held        bool   `json:"held"`
}

// State returns every fingerprint with strikes.
func (t *Table) State() []FingerprintState {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
	states := make([]FingerprintState, 0, len(t.counts))
	for fingerprint, n := range t.counts {
		states = append(states, FingerprintState{Fingerprint: fingerprint, Crashes: n, Held: n >= t.limits.CrashThreshold})
	}
	return states
}
