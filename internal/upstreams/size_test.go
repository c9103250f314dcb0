package upstreams

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// maxLoadBytes bounds what the loads add to a digest.
const maxLoadBytes = 400

func TestADigestDoesNotGrowWithTheUpstreams(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 1, 200, settings.PolicyBounded)
	s.run(time.Second, func() {})
	heard := map[string]bool{}
	for range 200 / maxEntries {
		var d gossippb.Digest
		s.hosts[0].set.Fill(&d)
		is.Equal(len(d.Loads), maxEntries)
		is.True(proto.Size(&d) <= maxLoadBytes)
		for _, l := range d.Loads {
			heard[l.Upstream] = true
		}
	}
	is.Equal(len(heard), 200) // each upstream has its turn
}

// BenchmarkAdmit measures a place taken and given back on an owner of one upstream in a pool of the size.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			set := benchmarkSet(b, size)
			r := Request{Upstream: "engine-0", Team: "a", Deadline: set.Clock.Now().Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				place, err := set.Acquire(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				place.Release()
			}
		})
	}
}

// BenchmarkTick measures one round of the control loop on a host that owns one of a hundred upstreams.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			set := benchmarkSet(b, size)
			b.ReportAllocs()
			for b.Loop() {
				set.Tick(context.Background())
			}
		})
	}
}

func benchmarkSet(b *testing.B, size int) *Set {
	b.Helper()
	s := &simulation{t: &testing.T{}, doc: simDocument(max(1, size/100), 1)}
	pool := &s.doc.Pools[0]
	for n := 1; n < size; n++ {
		pool.Upstreams = append(pool.Upstreams, document.Upstream{
			Name: fmt.Sprintf("engine-%d", n), DataCentre: "dc-0", Address: fmt.Sprintf("127.1.%d.%d:1", n/250, n%250+1),
			State: document.StateIn, Capacity: 16,
		})
	}
	return s.benchmarkHost(b)
}

// answering is a Reporter whose upstreams are warm and idle.
type answering struct{}

// Read implements Reporter.
func (answering) Read(context.Context, string) (LoadReport, error) { return LoadReport{BootID: 1}, nil }

// benchmarkHost returns the set of the host that owns engine-0.
func (s *simulation) benchmarkHost(b *testing.B) *Set {
	b.Helper()
	s.publish(func(*document.Document) {})
	h := &host{sim: s, live: map[string]bool{}}
	for _, seat := range s.snap.Seats() {
		h.live[seat.Name] = true
	}
	up, _ := s.snap.Upstream("engine-0")
	owner, _ := ownership.Owner(s.snap, h, up.Upstream)
	h.name = owner.Name
	h.set = NewSet(Options{
		Self: h.name, Policy: settings.PolicyBounded, Liveness: h, Configuration: h, LoadReader: answering{},
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	h.set.Tick(context.Background())
	return h.set
}
