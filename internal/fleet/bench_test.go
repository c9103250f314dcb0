package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// BenchmarkDigest builds the message to a host of the same and of another data centre, in a fleet of 300 hosts in front of
// 600 upstreams that report their loads.
func BenchmarkDigest(b *testing.B) {
	clock := clockwork.NewFakeClock()
	f := newLargeFleet(1, clock)[0]
	table := balance.NewTable("dc-0", clock, zerolog.Nop())
	for i := range 600 {
		table.RecordLoad(catalog.UpstreamKey{ID: fmt.Sprintf("u%d", i)}, 3)
	}
	f.Loads = table
	for i := range uint32(300) {
		f.members[fmt.Sprintf("10.1.0.%d:9", i)] = &member{dataCentreHash: f.dataCentreHash + i%5, lastSeen: clock.Now().Add(-time.Duration(i) * time.Millisecond)}
	}
	for _, to := range []struct {
		name string
		hash uint32
	}{{"same", f.dataCentreHash}, {"other", f.dataCentreHash + 1}} {
		b.Run("data-centre="+to.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.digest(to.hash, unknownMembers)
			}
		})
	}
}
