package catalog

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/published"
)

// BenchmarkHeartbeats applies one heartbeat of every upstream, as one store call returns them.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{13, 64, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			s := NewStore(decodeTest, clockwork.NewRealClock(), zerolog.Nop())
			items := make([]published.Item, n)
			for i := range items {
				items[i] = published.Item{Key: fmt.Sprintf("up/u%04d", i), Revision: 1}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(items)
			}
		})
	}
}
