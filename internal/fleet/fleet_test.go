package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// fakeLoads records the reports that it receives.
type fakeLoads struct {
	own       []balance.LoadReport
	ownLimits []balance.LimitReport
	// ownBrittle are the services whose upstreams said that they are brittle.
	ownBrittle []balance.BrittleReport

	mu             sync.Mutex
	received       []balance.LoadReport
	receivedLimits []balance.LimitReport
	// receivedBrittle are those of other hosts.
	receivedBrittle []balance.BrittleReport
}

func (l *fakeLoads) LimitReports() []balance.LimitReport { return l.ownLimits }
func (l *fakeLoads) MergeLimitReports(reports []balance.LimitReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedLimits = append(l.receivedLimits, reports...)
}

func (l *fakeLoads) BrittleReports() []balance.BrittleReport { return l.ownBrittle }
func (l *fakeLoads) MergeBrittleReports(reports []balance.BrittleReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedBrittle = append(l.receivedBrittle, reports...)
}

func (l *fakeLoads) Reports() []balance.LoadReport { return l.own }
func (l *fakeLoads) MergeReports(reports []balance.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = append(l.received, reports...)
}

type testHost struct {
	*Fleet
	mirror  *published.Mirror
	loads   *fakeLoads
	crashes *quarantine.Table
	prompts *promptblame.Table
	store   *fakeStore
	server  *http.Server
}

// fakeStore answers calls for changes with its update and records the requested revisions.
type fakeStore struct {
	update         published.PeerBatch
	reading        bool
	failing        bool
	requestedAfter []published.Version
}

func (s *fakeStore) Disconnected() bool { return s.failing }

func (s *fakeStore) ServeChanges(_ context.Context, after published.Version, _ time.Duration) (published.PeerBatch, bool) {
	s.requestedAfter = append(s.requestedAfter, after)
	return s.update, s.reading
}

func (s *fakeStore) ServeSnapshot() (published.PeerBatch, bool) { return s.update, s.reading }

// startHost starts a host on a free port in data centre dc-1.
func startHost(t *testing.T, clock clockwork.Clock, seeds ...string) *testHost {
	t.Helper()
	return startHostIn(t, "dc-1", clock, seeds...)
}

func startHostIn(t *testing.T, dataCentre string, clock clockwork.Clock, seeds ...string) *testHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &testHost{
		mirror: published.NewMirror(published.MirrorOptions{
			Clock: clock, OnChange: func([]published.Item) {}, Lasting: func(key string) bool { return strings.HasPrefix(key, "op/") },
		}),
		loads: &fakeLoads{}, store: &fakeStore{reading: true},
		crashes: quarantine.NewTable(quarantine.Limits{CrashThreshold: 2, Lifetime: time.Minute}, clock, nil),
		prompts: promptblame.NewTable(1, clock, zerolog.Nop()),
	}
	h.Fleet = New(Options{
		Self: l.Addr().String(), Incarnation: 1, Seeds: seeds, MinHosts: 2, GossipInterval: time.Second,
		Mirror: h.mirror, Loads: h.loads, Crashes: h.crashes, Prompts: h.prompts,
		DataCentre: dataCentre, Store: h.store, Transport: &http.Transport{}, Clock: clock,
		Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	h.server = &http.Server{Handler: fleetpb.NewFleetServer(h.Fleet)}
	go func() { _ = h.server.Serve(l) }()
	t.Cleanup(func() { h.server.Close() })
	return h
}

func TestHostsDiscoverEachOtherFromOneSeed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	seed := startHost(t, clock)
	hosts := []*testHost{seed}
	for range 4 {
		hosts = append(hosts, startHost(t, clock, seed.Self))
	}
	for range 6 {
		for _, h := range hosts {
			h.GossipRound(context.Background())
		}
	}
	for _, h := range hosts {
		is.Equal(h.ShareCount(), 5)
	}
	ranks := map[int]bool{}
	for _, h := range hosts {
		rank, known := h.Rank(7)
		is.Equal(known, 5)
		ranks[rank] = true
	}
	is.Equal(len(ranks), 5) // all hosts agree on the order
}

func TestHostWithFailingStoreReceivesItemsByGossip(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	upToDate := startHost(t, clock)
	behind := startHost(t, clock, upToDate.Self)
	list := published.Batch{Items: []published.Item{{Key: "k", Value: []byte("v"), Revision: 3}}, Revision: 5}
	behind.mirror.Replace(list)
	upToDate.mirror.Replace(list)
	upToDate.mirror.Merge(5, published.Batch{Items: []published.Item{{Key: "k", Revision: 8, Removed: true}}, Revision: 9})
	behind.store.failing = true
	upToDate.loads.own = []balance.LoadReport{{IncarnationID: 7, Load: 2.5, Age: 300 * time.Millisecond}}
	upToDate.crashes.RecordCrash(11, "u1")
	upToDate.crashes.RecordCrash(11, "u2")
	behind.GossipRound(context.Background())
	is.Equal(behind.mirror.CompleteRevision(), uint64(9))
	is.True(behind.mirror.Since(published.Version{Revision: 5}).Items[0].Removed)
	is.Equal(behind.loads.received, upToDate.loads.own)
	verdict, _ := behind.crashes.Check(11)
	is.Equal(verdict, quarantine.Quarantined)
}

func TestReplyHoldsOnlyMissingItems(t *testing.T) {
	is := is.New(t)
	h := startHost(t, clockwork.NewFakeClock())
	var items []published.Item
	for i := range 10 {
		items = append(items, published.Item{Key: fmt.Sprint(i), Revision: uint64(i + 1)})
	}
	h.mirror.Replace(published.Batch{Items: items[:1], Revision: 1})
	h.mirror.Merge(1, published.Batch{Items: items[1:], Revision: 10})
	for _, tt := range []struct{ complete, want int }{{0, 10}, {7, 3}, {10, 0}, {12, 0}} {
		d, err := h.Exchange(context.Background(), &fleetpb.Digest{
			Mirror: &fleetpb.Mirror{Complete: uint64(tt.complete)}, WantsItems: true,
		})
		is.NoErr(err)
		is.Equal(len(d.GetMirror().GetItems()), tt.want)
	}
}

func TestLargeChangesAreSentOnlyToHostsWithFailingStore(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	upToDate := startHost(t, clock)
	behind := startHost(t, clock, upToDate.Self)
	behind.mirror.Replace(published.Batch{Revision: 5})
	const large = 64 << 10
	upToDate.mirror.Replace(published.Batch{Items: []published.Item{{Key: "k", Value: make([]byte, large), Revision: 8}}, Revision: 9})
	behind.GossipRound(context.Background())
	is.Equal(behind.mirror.CompleteRevision(), uint64(5))
	behind.store.failing = true
	behind.GossipRound(context.Background())
	is.Equal(behind.mirror.CompleteRevision(), uint64(9))
}

func TestUnresponsiveHostCountsInSplitUntilItExpires(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	stopped := startHost(t, clock)
	h := startHost(t, clock, stopped.Self)
	h.MinHosts = 1
	h.GossipRound(context.Background())
	stopped.server.Close()
	clock.Advance(memberExpiry / 2)
	h.GossipRound(context.Background())
	is.Equal(h.ShareCount(), 2)
	clock.Advance(memberExpiry + memberExpiryPerHost)
	h.merge(&fleetpb.Digest{})
	is.Equal(h.ShareCount(), 1)
}

// Guards against a host that stood still for a second, and is told no loads, limits and silent upstreams for long afterwards.
func TestHostThatCallsAgainIsReachable(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	other := startHost(t, clock)
	h := startHost(t, clock, other.Self)
	h.GossipRound(context.Background())
	is.Equal(h.LocalPeers(), []string{other.Self})
	h.recordUnreachable(other.Self, context.DeadlineExceeded)
	is.Equal(len(h.LocalPeers()), 0)
	other.GossipRound(context.Background())
	is.Equal(h.LocalPeers(), []string{other.Self})
}

// Request limits are told both ways and between data centres, unlike loads.
func TestRequestLimitsReachHostsOfOtherDataCentres(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	one := startHostIn(t, "dc-1", clock)
	other := startHostIn(t, "dc-2", clock, one.Self)
	limits := []balance.LimitReport{
		{IncarnationID: 7, Named: true, PerSecond: 3.8, Age: 300 * time.Millisecond}, {IncarnationID: 9, Age: 2 * time.Second},
	}
	one.loads.ownLimits, other.loads.ownLimits = limits[:1], limits[1:]
	other.GossipRound(context.Background())
	is.Equal(one.loads.receivedLimits, limits[1:])
	is.Equal(other.loads.receivedLimits, limits[:1])
}

// Hosts of all data centres must learn that the upstreams of a service are brittle.
func TestBrittleNoticesReachHostsOfOtherDataCentres(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	one := startHostIn(t, "dc-1", clock)
	other := startHostIn(t, "dc-2", clock, one.Self)
	notices := []balance.BrittleReport{{Service: "a", Rejections: 4, Age: 300 * time.Millisecond}, {Service: "b", Age: 2 * time.Second}}
	one.loads.ownBrittle, other.loads.ownBrittle = notices[:1], notices[1:]
	other.GossipRound(context.Background())
	is.Equal(one.loads.receivedBrittle, notices[1:])
	is.Equal(other.loads.receivedBrittle, notices[:1])
}
