package loadbound

import (
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLimitIsFactorTimesMean(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity int
		totals   Totals
		want     int
	}{
		{"an idle pool takes its first requests", 16, Totals{Load: 0, Capacity: 160}, 2},
		{"a mean of 8", 16, Totals{Load: 80, Capacity: 160}, 10},
		{"rounded down", 16, Totals{Load: 79, Capacity: 160}, 9},
		{"in proportion to the capacity", 32, Totals{Load: 80, Capacity: 160}, 20},
		{"queued requests are included", 16, Totals{Load: 80, Waiting: 39, Capacity: 160}, 12},
		{"never above the capacity", 16, Totals{Load: 1000, Capacity: 160}, 16},
		{"an unknown pool", 16, Totals{}, 16},
		{"one slot", 1, Totals{Load: 0, Capacity: 10}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Limit(1.25, c.capacity, c.totals), c.want)
		})
	}
}

func TestLimitsHoldPoolLoadWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 50).Draw(t, "upstreams")
		capacity := rapid.IntRange(1, 100).Draw(t, "capacity")
		load := rapid.IntRange(0, n*capacity-1).Draw(t, "load")
		limit := Limit(1.25, capacity, Totals{Load: float64(load), Capacity: n * capacity})
		if n*limit < load+1 {
			t.Fatalf("%d upstreams with limit %d cannot hold request %d", n, limit, load+1)
		}
		mean := float64(load) / float64(n)
		if float64(limit) > max(1.25*mean, math.Ceil(float64(load+1)/float64(n)), IdleThreshold(capacity)) {
			t.Fatalf("limit %d is above the bound for a mean of %g", limit, mean)
		}
	})
}

// pool lists the members of the table tests.
var pool = []Member{{"a", 16}, {"b", 16}, {"c", 16}}

func TestTotalsByReportAge(t *testing.T) {
	type received struct {
		name string
		load int
		age  time.Duration
		down bool
	}
	for _, c := range []struct {
		name     string
		received []received
		want     Totals
	}{
		{"fresh reports count", []received{{"a", 4, 0, false}, {"b", 6, time.Second, false}, {"c", 2, 0, false}}, Totals{Load: 12, Capacity: 48}},
		{"a high stale report counts as the mean", []received{{"a", 4, 0, false}, {"b", 6, 0, false}, {"c", 16, 3 * time.Second, false}}, Totals{Load: 15, Capacity: 48}},
		{"a low stale report counts unchanged", []received{{"a", 4, 0, false}, {"b", 6, 0, false}, {"c", 1, 3 * time.Second, false}}, Totals{Load: 11, Capacity: 48}},
		{"an expired report does not count", []received{{"a", 4, 0, false}, {"b", 6, 0, false}, {"c", 1, 11 * time.Second, false}}, Totals{Load: 10, Capacity: 32}},
		{"an upstream that is down does not count", []received{{"a", 4, 0, false}, {"b", 6, 0, false}, {"c", 0, 0, true}}, Totals{Load: 10, Capacity: 32}},
		{"stale reports alone count as idle", []received{{"a", 9, 3 * time.Second, false}}, Totals{Load: 0, Capacity: 16}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			table := NewTable(clock)
			clock.Advance(unknownGrace)
			begin := clock.Now()
			const oldest = 12 * time.Second
			for age := oldest; age >= 0; age -= time.Second {
				for _, h := range c.received {
					if h.age == age {
						table.Merge(Report{Upstream: h.name, Incarnation: 1, Sequence: 1, Load: h.load, Down: h.down})
					}
				}
				if age > 0 {
					clock.Advance(time.Second)
				}
			}
			is.Equal(clock.Since(begin), oldest)
			is.Equal(table.Totals(pool), c.want)
		})
	}
}

func TestTotalsCountUnreportedUpstreamAsIdle(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Merge(Report{Upstream: "a", Incarnation: 1, Sequence: 1, Load: 6})
	is.Equal(table.Totals(pool), Totals{Load: 6, Capacity: 48})
}

func TestMergeIgnoresLateAndRepeatedReports(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	load := func() int {
		r, _ := table.FreshReport("a")
		return r.Load
	}
	table.Merge(Report{Upstream: "a", Incarnation: 1, Sequence: 7, Load: 3})
	table.Merge(Report{Upstream: "a", Incarnation: 1, Sequence: 6, Load: 12})
	is.Equal(load(), 3) // An older report of the same owner is ignored.
	table.Merge(Report{Upstream: "a", Incarnation: 2, Sequence: 1, Load: 12})
	is.Equal(load(), 3) // A higher load from a second owner is ignored.
	table.Merge(Report{Upstream: "a", Incarnation: 2, Sequence: 2, Load: 1})
	is.Equal(load(), 1) // A lower load from a second owner is kept.
	table.Reset()
	table.Merge(Report{Upstream: "a", Incarnation: 1, Sequence: 8, Load: 9})
	is.Equal(load(), 0) // A report that was queued during the pause is ignored.
}
