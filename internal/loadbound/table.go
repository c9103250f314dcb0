package loadbound

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// The life of a report, from when it was heard.
const (
	// freshFor is how long a report counts as it stands.
	freshFor = 2 * time.Second
	// forgetAfter is when a report no longer counts: nobody in reach speaks for the upstream.
	forgetAfter = 10 * time.Second
	// unknownGrace is how long an upstream that nobody has reported counts as idle.
	unknownGrace = 5 * time.Second
	// settleTime is how long reports are ignored after this process slept: they may have waited as long as it did.
	settleTime = time.Second
)

// Report is what an upstream's owner says of it.
type Report struct {
	Upstream string
	// Incarnation identifies the run of the owner's process; Sequence grows with its digests.
	Incarnation uint64
	Sequence    uint64
	// Load is the number of requests in flight; Waiting is the number of those that wait for a place.
	Load    int
	Waiting int
	Cold    bool
	// Down means that the owner sends it nothing because it fails.
	Down bool
}

type entry struct {
	Report
	heard time.Time
}

// Table holds the newest report of each upstream. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock

	mu      sync.RWMutex
	entries map[string]entry
	started time.Time
	settled time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, entries: map[string]entry{}, started: clock.Now()}
}

// Merge takes over a report unless it is older than the known one. While two owners speak for one upstream the lower
// load counts, because that gives the lower mean.
func (t *Table) Merge(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.settled) {
		return
	}
	old, known := t.entries[r.Upstream]
	if known && old.Incarnation == r.Incarnation && r.Sequence <= old.Sequence {
		return
	}
	if known && old.Incarnation != r.Incarnation && now.Sub(old.heard) < freshFor && old.Load < r.Load {
		return
	}
	t.entries[r.Upstream] = entry{Report: r, heard: now}
}

// Reset drops every report, as after a sleep, and ignores those that waited meanwhile.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.entries = map[string]entry{}
	t.started = now
	t.settled = now.Add(settleTime)
}

// FreshReport returns the upstream's report if it is fresh.
func (t *Table) FreshReport(upstream string) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[upstream]
	return e.Report, ok && t.clock.Since(e.heard) < freshFor
}

// Member is an upstream whose load is to be summed.
type Member struct {
	Name     string
	Capacity int
}

// Totals sums what is known of the members. A fresh report counts as it is. An aged one counts at most as the mean of
// the fresh ones, so that it can only lower the mean. An upstream that was never reported counts as idle at first. Those
// that are down, and those that nobody has spoken for in a long time, do not count.
func (t *Table) Totals(members []Member) Totals {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	var fresh Totals
	for _, m := range members {
		if e, ok := t.entries[m.Name]; ok && now.Sub(e.heard) < freshFor && !e.Down {
			fresh = fresh.Add(Totals{Load: float64(e.Load), Waiting: float64(e.Waiting), Capacity: m.Capacity})
		}
	}
	total := fresh
	for _, m := range members {
		total = total.Add(t.aged(m, fresh, now))
	}
	return total
}

// aged returns what a member without a fresh report counts. The caller holds mu.
func (t *Table) aged(m Member, fresh Totals, now time.Time) Totals {
	e, known := t.entries[m.Name]
	switch {
	case !known && now.Sub(t.started) < unknownGrace:
		return Totals{Capacity: m.Capacity}
	case !known, e.Down, now.Sub(e.heard) < freshFor, now.Sub(e.heard) >= forgetAfter:
		return Totals{}
	case fresh.Capacity == 0:
		return Totals{Capacity: m.Capacity}
	}
	mean := fresh.Load / float64(fresh.Capacity) * float64(m.Capacity)
	return Totals{Load: min(float64(e.Load), mean), Capacity: m.Capacity}
}
