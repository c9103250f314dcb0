// Package admission measures the cost of request admission with a document of the expected size.
package admission

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/chain"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/filters/identify"
	"github.com/orioleusher/orioleusher/internal/filters/limit"
	"github.com/orioleusher/orioleusher/internal/quota"
)

// Fleet size that the users expect within two years.
const (
	teamCount = 33_000
	keyCount  = 100_000
	hostCount = 7
)

func apiKey(n int) string { return fmt.Sprintf("key-%08d-of-the-benchmark", n) }

func benchmarkDocument(tb testing.TB) *document.Snapshot {
	tb.Helper()
	doc := &document.Document{Schema: document.SchemaVersion, Fleet: "bench", Version: 1}
	dc := document.DataCentre{Name: "dc", State: document.StateIn}
	for n := range hostCount {
		address := func(port int) string { return fmt.Sprintf("127.0.0.%d:%d", n+1, port) }
		dc.Hosts = append(dc.Hosts, document.Host{
			Name: fmt.Sprintf("host-%d", n), CallerAddress: address(8080), PeerAddress: address(7080), AdminAddress: address(9080),
		})
	}
	doc.DataCentres = []document.DataCentre{dc}
	doc.Teams = make([]document.Team, teamCount)
	for n := range doc.Teams {
		doc.Teams[n] = document.Team{Name: fmt.Sprintf("team-%05d", n), RatePerSecond: 1e9, Burst: 1e9}
	}
	for n := range keyCount {
		team := &doc.Teams[n%teamCount]
		team.Keys = append(team.Keys, document.Key{ID: fmt.Sprintf("k%d", n/teamCount), SHA256: document.HashKey(apiKey(n))})
	}
	snap, err := document.NewSnapshot(doc)
	if err != nil {
		tb.Fatal(err)
	}
	return snap
}

type fixedDocument struct{ snap *document.Snapshot }

func (f fixedDocument) Current() *document.Snapshot { return f.snap }

// settledLimiter returns the limiter of one host after it has obtained its rate shares from the other hosts.
func settledLimiter(tb testing.TB, snap *document.Snapshot, clock *clockwork.FakeClock) *quota.Limiter {
	tb.Helper()
	limiters := make([]*quota.Limiter, hostCount)
	for n := range limiters {
		limiters[n] = quota.NewLimiter(fmt.Sprintf("host-%d", n), uint64(n+1), clock)
		limiters[n].Apply(snap)
	}
	clock.Advance(time.Second)
	for _, q := range limiters[0].PendingStatusQueries() {
		for n, l := range limiters {
			if q.Host.Name == fmt.Sprintf("host-%d", n) {
				limiters[0].HandleStatusReply(q, l.Status("host-0", 1))
			}
		}
	}
	clock.Advance(time.Minute)
	return limiters[0]
}

type noLiveHosts struct{}

func (noLiveHosts) Live(string) bool { return false }

// admissionPath returns the admission filters of one host.
func admissionPath(limiter *quota.Limiter, snap *document.Snapshot, clock clockwork.Clock) exchange.Next {
	borrower := quota.NewBorrower(limiter, nil, noLiveHosts{}, clock, tally.NoopScope)
	return chain.Compose(
		identify.New(clock, fixedDocument{snap}, tally.NoopScope),
		limit.New(borrower, tally.NoopScope),
	)
}

func BenchmarkAdmission(b *testing.B) {
	snap := benchmarkDocument(b)
	clock := clockwork.NewFakeClock()
	run := admissionPath(settledLimiter(b, snap, clock), snap, clock)
	const callers = 1 << 12
	values := make([][]string, callers)
	for n := range values {
		values[n] = []string{"Bearer " + apiKey(n*17)}
	}
	x := &exchange.Exchange{Snapshot: snap, Header: http.Header{}, Path: "/v1/chat", Attempts: exchange.NewAttemptBudget(1)}
	ctx := context.Background()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		x.Header["Authorization"] = values[n%callers]
		x.Team = nil
		if err := run(ctx, x); err != nil {
			b.Fatal(err)
		}
	}
}

func TestAdmissionDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	snap := benchmarkDocument(t)
	clock := clockwork.NewFakeClock()
	run := admissionPath(settledLimiter(t, snap, clock), snap, clock)
	value := []string{"Bearer " + apiKey(1)}
	x := &exchange.Exchange{Snapshot: snap, Header: http.Header{}, Path: "/v1/chat", Attempts: exchange.NewAttemptBudget(1)}
	allocs := testing.AllocsPerRun(1000, func() {
		x.Header["Authorization"] = value
		is.NoErr(run(context.Background(), x))
	})
	is.Equal(allocs, 0.0)
}

// maxAdmissionBytes is the limit for the memory of the indexes and rate buckets.
const maxAdmissionBytes = 24 << 20

func TestAdmissionMemoryIsBounded(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a document of 100,000 keys twice")
	}
	start := heapBytes()
	doc := benchmarkDocument(t).Document
	parsed := heapBytes()
	snap, err := document.NewSnapshot(doc)
	if err != nil {
		t.Fatal(err)
	}
	raw := int64(len(snap.Raw))
	indexed := heapBytes()
	limiter := settledLimiter(t, snap, clockwork.NewFakeClock())
	for n := range snap.Teams {
		limiter.Admit(snap, &snap.Teams[n])
	}
	buckets := heapBytes()
	const mb = 1 << 20
	t.Logf("document %.1f MB, its JSON text %.1f MB, indexes %.1f MB, buckets %.1f MB",
		float64(parsed-start)/mb, float64(raw)/mb, float64(indexed-parsed-raw)/mb, float64(buckets-indexed)/mb)
	if held := buckets - parsed - raw; held > maxAdmissionBytes {
		t.Errorf("admission uses %d bytes of memory, limit is %d", held, maxAdmissionBytes)
	}
	runtime.KeepAlive(limiter)
	runtime.KeepAlive(snap)
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
