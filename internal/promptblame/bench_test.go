package promptblame

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRecords returns the records for a message from a table with n attempts.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{0, 24, maxAttempts} {
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			f := newFixture()
			for i := range uint64(n) {
				f.attempts++
				f.Table.attempts = append(f.Table.attempts, Attempt{
					Segments: []uint64{i % 7, 100 + i%50, 1000 + i}, Request: i, Upstream: f.attempts, CrashedAt: f.clock.Now().Add(time.Duration(i) * time.Millisecond),
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				f.Records()
			}
		})
	}
}
