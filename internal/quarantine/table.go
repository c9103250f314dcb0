// Package quarantine decides which requests are refused because upstreams crashed while processing them.
//
// A crash record says that an upstream crashed while a request with the given fingerprint ran on it. One crash makes
// the fingerprint a suspect: it may run again, but on each upstream only while no other suspect runs there. Further
// crashes up to the threshold quarantine the fingerprint on all hosts until the crashes are too old to count. Hosts
// exchange crashes in gossip digests, where they are called strikes.
//
// Each crash makes a record of every request that ran on the upstream, and a digest has room for few of them. Hosts therefore
// also exchange a set of a fixed size for each crash. A request whose record one host holds and whose fingerprint is in the
// sets of other crashes was probably running there too, and its records are sent first.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// Limits defines when crashes quarantine a fingerprint.
type Limits struct {
	// CrashThreshold is the number of crashes that quarantine a fingerprint.
	CrashThreshold int
	// Lifetime is how long a crash counts.
	Lifetime time.Duration
}

// DefaultLimits are the limits of a fleet in which each upstream is owned by one host, which detects each of its crashes
// with certainty.
var DefaultLimits = Limits{CrashThreshold: 2, Lifetime: 10 * time.Minute}

const (
	// maxCrashes bounds the table. The oldest crashes are dropped first.
	maxCrashes = 10000
	// duplicateWindow is the time within which two crashes of one fingerprint on one upstream count as the same crash,
	// observed twice.
	duplicateWindow = 2 * time.Second
	// maxDigestCrashes bounds the crashes in one digest, which holds those of the fingerprints with most crashes.
	maxDigestCrashes = 16
	// minRelayInterval is the time between two calls of onSuspect for what other hosts told.
	minRelayInterval = 60 * time.Millisecond
)

// Verdict says whether and how a request may run.
type Verdict int

// The verdicts.
const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Suspect requests run only on an upstream where no other suspect runs.
	Suspect
	// Held requests are quarantined and do not run.
	Quarantined
)

// Crash is one crash of an upstream while a request with the fingerprint ran on it.
type Crash struct {
	Fingerprint uint64
	// Upstream is the hash of the upstream's name.
	Upstream uint64
	At       time.Time
	// sent is the number of digests that have held the record, counted while the table holds more than one digest.
	sent int
}

// Table holds the crashes that this host has detected or received. It is safe for concurrent use.
type Table struct {
	limits     Limits
	clock      clockwork.Clock
	onNewCrash func()
	// onSuspect is called when a request with a crash here is, or is likely to be, to be quarantined by all hosts.
	onSuspect func()

	mu sync.Mutex
	// crashes is ordered by time, oldest first.
	crashes []Crash
	// sets is ordered by time, oldest first.
	sets     []CrashSet
	counts   map[uint64]int
	liftedAt map[uint64]time.Time
	// relayedAt is the time of the last call of onSuspect for what other hosts told.
	relayedAt time.Time
}

// NewTable returns an empty table. onNewCrash is called after each crash that is new to this host; it may be nil.
func NewTable(limits Limits, clock clockwork.Clock, onNewCrash func()) *Table {
	if onNewCrash == nil {
		onNewCrash = func() {}
	}
	return &Table{
		limits: limits, clock: clock, onNewCrash: onNewCrash, onSuspect: func() {}, counts: map[uint64]int{}, liftedAt: map[uint64]time.Time{},
	}
}

// OnSuspect sets the function that is called after a new crash or set that makes a request with a crash on this host reach
// the threshold, also if some of its crashes are only known from sets. Calls for what other hosts told are minRelayInterval
// apart. It is called before the table is used.
func (t *Table) OnSuspect(f func()) { t.onSuspect = f }

// Fingerprint identifies the content of a request: requests of the same team with the same path and body have the same
// fingerprint.
func Fingerprint(team, path string, body []byte) uint64 {
	digest := xxhash.New()
	// Writing to an xxhash digest cannot fail.
	_, _ = digest.WriteString(team + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Check returns how a request with this fingerprint may run and, for a held one, for how long it remains held.
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
		return Quarantined, t.quarantinedFor(fingerprint, now)
	}
}

// quarantinedFor returns the time until the fingerprint has fewer crashes than the threshold. The caller holds mu.
func (t *Table) quarantinedFor(fingerprint uint64, now time.Time) time.Duration {
	left := t.counts[fingerprint]
	for _, c := range t.crashes {
		if c.Fingerprint != fingerprint {
			continue
		}
		left--
		if left < t.limits.CrashThreshold {
			return c.At.Add(t.limits.Lifetime).Sub(now)
		}
	}
	return 0
}

// RecordCrash records that the upstream crashed while a request with this fingerprint ran on it.
func (t *Table) RecordCrash(fingerprint uint64, upstream string) {
	if t.merge(Crash{Fingerprint: fingerprint, Upstream: xxhash.Sum64String(upstream), At: t.clock.Now()}) {
		t.onSuspect()
	}
}

// merge adds the crash and reports whether other hosts are to be told at once.
func (t *Table) merge(c Crash) (isUrgent bool) {
	isNew, isUrgent := t.add(c)
	if isNew {
		t.onNewCrash()
	}
	return isUrgent
}

// add inserts the crash in time order and reports whether it is new, and whether other hosts are to be told at once.
func (t *Table) add(c Crash) (isNew, isUrgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	if now.Sub(c.At) >= t.limits.Lifetime || t.isLifted(c) || t.isKnown(c) {
		return false, false
	}
	i := len(t.crashes)
	for i > 0 && t.crashes[i-1].At.After(c.At) {
		i--
	}
	t.crashes = append(t.crashes, Crash{})
	copy(t.crashes[i+1:], t.crashes[i:])
	t.crashes[i] = c
	before := t.counts[c.Fingerprint]
	t.counts[c.Fingerprint]++
	if len(t.crashes) > maxCrashes {
		t.dropOldest()
	}
	set := CrashSet{Upstream: c.Upstream, At: c.At}
	set.requests.add(c.Fingerprint)
	t.addSet(set)
	return true, before < t.limits.CrashThreshold && t.likelyCrashes(c.Fingerprint) >= t.limits.CrashThreshold
}

// isKnown reports whether the same crash is already in the table. The caller holds mu.
func (t *Table) isKnown(c Crash) bool {
	if t.counts[c.Fingerprint] == 0 {
		return false
	}
	for _, k := range t.crashes {
		if k.Fingerprint == c.Fingerprint && k.Upstream == c.Upstream && k.At.Sub(c.At).Abs() < duplicateWindow {
			return true
		}
	}
	return false
}

func (t *Table) isLifted(c Crash) bool {
	at, ok := t.liftedAt[c.Fingerprint]
	return ok && !c.At.After(at)
}

func (t *Table) expire(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].At) >= t.limits.Lifetime {
		t.dropOldest()
	}
	t.sets = slices.DeleteFunc(t.sets, func(s CrashSet) bool { return now.Sub(s.At) >= t.limits.Lifetime })
	for fingerprint, at := range t.liftedAt {
		if now.Sub(at) >= t.limits.Lifetime {
			delete(t.liftedAt, fingerprint)
		}
	}
}

func (t *Table) dropOldest() {
	c := t.crashes[0]
	t.crashes = t.crashes[1:]
	t.decrementCount(c)
}

func (t *Table) decrementCount(c Crash) {
	t.counts[c.Fingerprint]--
	if t.counts[c.Fingerprint] == 0 {
		delete(t.counts, c.Fingerprint)
	}
}

// Lift removes all crashes of the fingerprint up to now, on this host only.
func (t *Table) Lift(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.liftedAt[fingerprint] = t.clock.Now()
	kept := t.crashes[:0]
	for _, c := range t.crashes {
		if c.Fingerprint == fingerprint {
			t.decrementCount(c)
			continue
		}
		kept = append(kept, c)
	}
	t.crashes = kept
}

// Records is what hosts tell each other.
type Records struct {
	Crashes []Crash
	Sets    []CrashSet
}

// Records returns up to maxDigestCrashes of the crashes, and the newest sets, to be sent to other hosts.
func (t *Table) Records() Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
	return Records{Crashes: t.mostSuspect(), Sets: slices.Clone(t.sets[max(0, len(t.sets)-maxDigestSets):])}
}

// mostSuspect returns the crashes of the fingerprints that are likely to have most crashes; of these the ones that were sent
// least often, so that others follow if there are too many for one digest, and then the newest. The caller holds mu.
func (t *Table) mostSuspect() []Crash {
	if len(t.crashes) <= maxDigestCrashes {
		return slices.Clone(t.crashes)
	}
	likely := make(map[uint64]int, len(t.counts))
	for fingerprint := range t.counts {
		likely[fingerprint] = t.likelyCrashes(fingerprint)
	}
	first := make([]int, 0, maxDigestCrashes+1)
	for i := range slices.Backward(t.crashes) {
		at := len(first)
		for at > 0 && t.precedes(i, first[at-1], likely) {
			at--
		}
		if at < maxDigestCrashes {
			first = slices.Insert(first, at, i)
			first = first[:min(len(first), maxDigestCrashes)]
		}
	}
	crashes := make([]Crash, len(first))
	for at, i := range first {
		crashes[at] = t.crashes[i]
		crashes[at].sent = 0
		t.crashes[i].sent++
	}
	return crashes
}

// precedes reports whether the crash at i is sent before the one at j, which is newer. The caller holds mu.
func (t *Table) precedes(i, j int, likely map[uint64]int) bool {
	a, b := t.crashes[i], t.crashes[j]
	return cmp.Or(cmp.Compare(likely[b.Fingerprint], likely[a.Fingerprint]), cmp.Compare(a.sent, b.sent)) < 0
}

// Merge merges the records of another host, and calls onNewCrash for each crash that is new to this host.
func (t *Table) Merge(r Records) {
	isUrgent := false
	for _, s := range r.Sets {
		isUrgent = t.mergeSet(s) || isUrgent
	}
	for _, c := range r.Crashes {
		isUrgent = t.merge(c) || isUrgent
	}
	if isUrgent {
		t.relay()
	}
}

// relay calls onSuspect for what another host told, unless it did so a short time ago.
func (t *Table) relay() {
	t.mu.Lock()
	now := t.clock.Now()
	isDue := now.Sub(t.relayedAt) >= minRelayInterval
	if isDue {
		t.relayedAt = now
	}
	t.mu.Unlock()
	if isDue {
		t.onSuspect()
	}
}

// AppendState implements peers.Extension.
func (t *Table) AppendState(d *gossippb.Digest) {
	now := t.clock.Now()
	for _, c := range t.Records().Crashes {
		d.Strikes = append(d.Strikes, &gossippb.Strike{
			Fingerprint: c.Fingerprint, Upstream: c.Upstream, AgeMs: uint32(max(0, now.Sub(c.At).Milliseconds())),
		})
	}
}

// MergeState implements peers.Extension.
func (t *Table) MergeState(d *gossippb.Digest) {
	now := t.clock.Now()
	var r Records
	for _, c := range d.Strikes {
		age := time.Duration(c.AgeMs) * time.Millisecond
		r.Crashes = append(r.Crashes, Crash{Fingerprint: c.Fingerprint, Upstream: c.Upstream, At: now.Add(-age)})
	}
	t.Merge(r)
}

// FingerprintState is the entry of a fingerprint in the state dump.
type FingerprintState struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	Crashes     int    `json:"strikes"`
	Quarantined bool   `json:"held"`
}

// State returns the state of every fingerprint with crashes.
func (t *Table) State() []FingerprintState {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
	states := make([]FingerprintState, 0, len(t.counts))
	for fingerprint, n := range t.counts {
		states = append(states, FingerprintState{Fingerprint: fingerprint, Crashes: n, Quarantined: n >= t.limits.CrashThreshold})
	}
	return states
}
