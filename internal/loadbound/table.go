package loadbound

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Lifetimes of a report, counted from its receipt, and grace periods after a start or a pause of the process.
const (
	// freshTime is how long a report is used unchanged.
	freshTime = 2 * time.Second
	// reportExpiry is the age at which a report is no longer used: no reachable host reports on the upstream.
	reportExpiry = 10 * time.Second
	// unknownGrace is how long an upstream without any report counts as idle.
	unknownGrace = 5 * time.Second
	// queuedReportTime is how long reports are ignored after this process was paused, since they may have been queued
	// during the pause.
	queuedReportTime = time.Second
)

// Report is an owner's report on an upstream.
type Report struct {
	Upstream string
	// Incarnation identifies the run of the owner's process. Sequence increases with each of its digests.
	Incarnation uint64
	Sequence    uint64
	// Load is the number of requests in flight. Waiting is the number of queued requests.
	Load    int
	Waiting int
	Cold    bool
	// Down is true if the owner sends no requests to the upstream because it fails.
	Down bool
}

type entry struct {
	Report
	receivedAt time.Time
}

// Table holds the latest report on each upstream. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock

	mu          sync.RWMutex
	entries     map[string]entry
	started     time.Time
	ignoreUntil time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, entries: map[string]entry{}, started: clock.Now()}
}

// Merge stores a report unless it is older than the stored one. While two owners report on one upstream the lower load
// is kept, because it gives the lower mean.
func (t *Table) Merge(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.ignoreUntil) {
		return
	}
	old, known := t.entries[r.Upstream]
	if known && old.Incarnation == r.Incarnation && r.Sequence <= old.Sequence {
		return
	}
	if known && old.Incarnation != r.Incarnation && now.Sub(old.receivedAt) < freshTime && old.Load < r.Load {
		return
	}
	t.entries[r.Upstream] = entry{Report: r, receivedAt: now}
}

// Reset deletes every report after the process was paused, and ignores those that were queued during the pause.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.entries = map[string]entry{}
	t.started = now
	t.ignoreUntil = now.Add(queuedReportTime)
}

// FreshReport returns the report on the upstream if it is fresh.
func (t *Table) FreshReport(upstream string) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[upstream]
	return e.Report, ok && t.clock.Since(e.receivedAt) < freshTime
}

// Member is an upstream whose load is included in a sum.
type Member struct {
	Name     string
	Capacity int
}

// Totals sums the load of the members. A fresh report is used unchanged. A stale one counts at most as the mean of the
// fresh ones, so that it can only lower the mean. An upstream without any report counts as idle for unknownGrace after
// the start. Upstreams that are down and those whose report has expired are not counted.
func (t *Table) Totals(members []Member) Totals {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	var fresh Totals
	for _, m := range members {
		if e, ok := t.entries[m.Name]; ok && now.Sub(e.receivedAt) < freshTime && !e.Down {
			fresh = fresh.Add(Totals{Load: float64(e.Load), Waiting: float64(e.Waiting), Capacity: m.Capacity})
		}
	}
	total := fresh
	for _, m := range members {
		total = total.Add(t.staleTotals(m, fresh, now))
	}
	return total
}

// staleTotals returns the contribution of a member without a fresh report. The caller holds mu.
func (t *Table) staleTotals(m Member, fresh Totals, now time.Time) Totals {
	e, known := t.entries[m.Name]
	switch {
	case !known && now.Sub(t.started) < unknownGrace:
		return Totals{Capacity: m.Capacity}
	case !known, e.Down, now.Sub(e.receivedAt) < freshTime, now.Sub(e.receivedAt) >= reportExpiry:
		return Totals{}
	case fresh.Capacity == 0:
		return Totals{Capacity: m.Capacity}
	}
	mean := fresh.Load / float64(fresh.Capacity) * float64(m.Capacity)
	return Totals{Load: min(float64(e.Load), mean), Capacity: m.Capacity}
}
