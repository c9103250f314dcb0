package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/allowance"
)

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{9, 60, 230, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			table := NewTable("a", clockwork.NewRealClock(), zerolog.Nop())
			snap := snapshotOf(n, "a", "b", "c", "d")
			for i, u := range snap.Upstreams["s"] {
				table.RecordLoad(u.Key(), i%7)
			}
			b.ReportAllocs()
			var affinity uint64
			for b.Loop() {
				affinity++
				table.Order(snap, "s", Criteria{Engine: true, AffinityHash: affinity})
			}
		})
	}
}

// BenchmarkSelect selects among upstreams that all name a request limit.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{9, 230} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			table, clock := newTable()
			snap := snapshotOf(n, "a", "b", "c", "d")
			limits := clockwork.NewFakeClock()
			s := NewSelector(table, allowance.NewUpstreamLimiter(oneHost{}, limits), allowance.ColdLimits{}, clock)
			for _, u := range snap.Upstreams["s"] {
				table.RecordRequestLimit(u, perSecond(1e7))
			}
			b.ReportAllocs()
			for b.Loop() {
				if s.Select(snap, "s", engineCriteria) == nil {
					b.Fatal("no upstream can be selected")
				}
				limits.Advance(time.Second)
			}
		})
	}
}

// BenchmarkSelectBrittle selects among upstreams that are brittle and have room.
func BenchmarkSelectBrittle(b *testing.B) {
	for _, n := range []int{9, 230, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			table, clock := newTable()
			snap := snapshotOf(n, "a", "b", "c", "d")
			s := newSelector(table, clock)
			table.Order(snap, "s", engineCriteria)
			table.RecordBrittle(snap.Upstreams["s"][0], rejections(4))
			b.ReportAllocs()
			for b.Loop() {
				c := s.Select(snap, "s", engineCriteria)
				if c == nil {
					b.Fatal("no upstream can be selected")
				}
				s.Finish(c)
			}
		})
	}
}
