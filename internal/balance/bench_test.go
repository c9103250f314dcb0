package balance

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
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
