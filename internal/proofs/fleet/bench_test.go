package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/ownership"
	"github.com/orioleusher/orioleusher/internal/peers"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// teams returns the given number of teams without keys.
func teams(count int) []document.Team {
	all := make([]document.Team, count)
	for n := range all {
		all[n] = document.Team{Name: fmt.Sprintf("team-%d", n+1), RatePerSecond: 1000, Burst: 1000}
	}
	return all
}

func encodeDocument(b *testing.B, hosts, upstreams, teamCount int) []byte {
	b.Helper()
	doc := document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: 1, Teams: teams(teamCount)}
	for n := range doc.Teams {
		doc.Teams[n].Keys = []document.Key{{ID: "k", SHA256: document.HashKey(doc.Teams[n].Name)}}
	}
	const centres = 17
	for c := range centres {
		dc := document.DataCentre{Name: fmt.Sprintf("dc-%d", c), State: document.StateIn}
		for n := c; n < hosts; n += centres {
			ip := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
			dc.Hosts = append(dc.Hosts, document.Host{
				Name: fmt.Sprintf("entry-host-%d", n), CallerAddress: ip + ":8080", PeerAddress: ip + ":7080", AdminAddress: ip + ":9080",
			})
		}
		doc.DataCentres = append(doc.DataCentres, dc)
	}
	pool := document.Pool{Name: "pool", Kind: document.KindEngine, Model: "model", LoadFactor: 1.25}
	for n := range upstreams {
		pool.Upstreams = append(pool.Upstreams, document.Upstream{
			Name: fmt.Sprintf("engine-%d", n), DataCentre: fmt.Sprintf("dc-%d", n%centres),
			Address: fmt.Sprintf("10.2.%d.%d:8000", n/250, n%250+1), State: document.StateIn, Capacity: 16,
		})
	}
	doc.Pools = []document.Pool{pool}
	doc.Routes = []document.Route{{Name: "chat", Path: "/v1", Methods: []string{"POST"}, Pool: "pool", Repeatable: true}}
	raw, err := doc.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// BenchmarkDocument parses documents that differ in one dimension at a time, so that the cost of each can be compared.
func BenchmarkDocument(b *testing.B) {
	for _, size := range []struct{ hosts, upstreams, teams int }{
		{17, 17, 17}, {850, 17, 17}, {17, 1700, 17}, {17, 17, 1700}, {17, 17, 3400},
	} {
		b.Run(fmt.Sprintf("hosts=%d/upstreams=%d/teams=%d", size.hosts, size.upstreams, size.teams), func(b *testing.B) {
			raw := encodeDocument(b, size.hosts, size.upstreams, size.teams)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := document.Parse(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "document-bytes")
		})
	}
}

func newMembers(hosts int) *peers.Members {
	m := peers.NewMembers("entry-host-0", 1, 3*time.Second, clockwork.NewRealClock())
	for n := 1; n < hosts; n++ {
		m.Merge([]*gossippb.Member{{Host: fmt.Sprintf("entry-host-%d", n), Incarnation: ^uint64(0), Generation: 1 << 41}})
	}
	return m
}

// BenchmarkDigest builds and merges one gossip message.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{16, 64, 850} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			from, to := newMembers(hosts), newMembers(hosts)
			// Each change is sent only a few times. The benchmark measures the state after that.
			for range 10 * hosts {
				from.Digest("entry-host-1")
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				d := &gossippb.Digest{Members: from.Digest("entry-host-1")}
				size = proto.Size(d)
				to.Merge(d.Members)
			}
			b.ReportMetric(float64(size), "message-bytes")
		})
	}
}

// BenchmarkOwner determines the owner of one upstream.
func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{17, 850} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snap, err := document.Parse(encodeDocument(b, hosts, 17, 17))
			if err != nil {
				b.Fatal(err)
			}
			live := newMembers(hosts)
			up, _ := snap.Upstream("engine-3")
			b.ReportAllocs()
			for b.Loop() {
				ownership.Owner(snap, live, up.Upstream)
			}
		})
	}
}

// BenchmarkOrder sorts a pool's upstreams by their score for one chat.
func BenchmarkOrder(b *testing.B) {
	for _, upstreams := range []int{10, 230, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			names := make([]string, upstreams)
			for n := range names {
				names[n] = fmt.Sprintf("engine-%d", n)
			}
			work := make([]string, upstreams)
			for b.Loop() {
				copy(work, names)
				loadbalancer.SortByScore(loadbalancer.HashKey("chat"), work)
			}
		})
	}
}
