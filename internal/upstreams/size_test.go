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

// maxLoadBytes bounds the bytes that load reports add to a digest.
const maxLoadBytes = 400

func TestDigestSizeIsIndependentOfUpstreamCount(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 1, 200, settings.PolicyBounded)
	s.run(time.Second, func() {})
	reported := map[string]bool{}
	for range 200 / maxDigestLoads {
		var d gossippb.Digest
		s.hosts[0].set.AppendState(&d)
		is.Equal(len(d.Loads), maxDigestLoads)
		is.True(proto.Size(&d) <= maxLoadBytes)
		for _, l := range d.Loads {
			reported[l.Upstream] = true
		}
	}
	is.Equal(len(reported), 200) // every upstream is reported in turn
}

// BenchmarkAdmit measures acquiring and releasing a slot on an owner of one upstream in a pool of the given size.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			set := benchmarkSet(b, size)
			r := Request{Upstream: "engine-0", Team: "a", Deadline: set.Clock.Now().Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				slot, err := set.Acquire(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				slot.Release()
			}
		})
	}
}

// BenchmarkTick measures one tick of the control loop on a host that owns one of a hundred upstreams.
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

// idleUpstreams is a LoadReader whose upstreams are warm and idle.
type idleUpstreams struct{}

// Read implements LoadReader.
func (idleUpstreams) Read(context.Context, string) (LoadReport, error) {
	return LoadReport{BootID: 1}, nil
}

// benchmarkHost returns the set of the host that owns engine-0.
func (s *simulation) benchmarkHost(b *testing.B) *Set {
	b.Helper()
	s.publish(func(*document.Document) {})
	h := &host{sim: s, live: map[string]bool{}}
	for _, member := range s.snap.EntryHosts() {
		h.live[member.Name] = true
	}
	up, _ := s.snap.Upstream("engine-0")
	owner, _ := ownership.Owner(s.snap, h, up.Upstream)
	h.name = owner.Name
	h.set = NewSet(Options{
		Self: h.name, Policy: settings.PolicyBounded, Liveness: h, Configuration: h, LoadReader: idleUpstreams{},
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	h.set.Tick(context.Background())
	return h.set
}
