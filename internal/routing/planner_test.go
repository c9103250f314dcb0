package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// snapshot returns a document with a pool of engines that are distributed over two data centres.
func snapshot(t testing.TB, engines int, edit func(*document.Document)) *document.Snapshot {
	t.Helper()
	doc := &document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: 1}
	for n := range 2 {
		doc.DataCentres = append(doc.DataCentres, document.DataCentre{Name: fmt.Sprintf("dc-%d", n), State: document.StateIn})
	}
	pool := document.Pool{Name: "pool", Kind: document.KindEngine, LoadFactor: 1.25}
	for n := range engines {
		pool.Upstreams = append(pool.Upstreams, document.Upstream{
			Name: fmt.Sprintf("engine-%d", n), DataCentre: fmt.Sprintf("dc-%d", n%2),
			Address: fmt.Sprintf("127.0.%d.%d:1", n/250, n%250+1), State: document.StateIn, Capacity: 16,
		})
	}
	doc.Pools = []document.Pool{pool}
	edit(doc)
	raw, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func unchanged(*document.Document) {}

func ordered(snap *document.Snapshot, dataCentre, chat string) []string {
	return NewPlanner(settings.PolicyBounded, dataCentre).Candidates(snap, snap.Pool("pool"), chat, nil)
}

func TestCandidatesAreSameOnEveryHost(t *testing.T) {
	is := is.New(t)
	snap := snapshot(t, 20, unchanged)
	is.Equal(ordered(snap, "dc-0", "chat"), ordered(snap, "dc-1", "chat"))
}

func TestNearUpstreamsAreFirstIfPoolRequestsIt(t *testing.T) {
	is := is.New(t)
	snap := snapshot(t, 6, func(d *document.Document) { d.Pools[0].NearFirst = true })
	for i, name := range ordered(snap, "dc-1", "chat") {
		up, _ := snap.Upstream(name)
		is.Equal(up.DataCentre == "dc-1", i < 3)
	}
}

func TestOnlyChatsOfLostEngineMoveAndReturn(t *testing.T) {
	is := is.New(t)
	whole := snapshot(t, 10, unchanged)
	reduced := snapshot(t, 10, func(d *document.Document) { d.Pools[0].Upstreams[3].State = document.StateOut })
	moved := 0
	for n := range 1000 {
		chat := fmt.Sprint(n)
		before := ordered(whole, "", chat)
		during := ordered(reduced, "", chat)
		is.True(!slices.Contains(during, "engine-3"))
		if before[0] == "engine-3" {
			moved++
			is.Equal(during[0], before[1]) // The chat moves to its second candidate.
		} else {
			is.Equal(during[0], before[0])
		}
		is.Equal(ordered(whole, "", chat), before)
	}
	is.True(moved > 50 && moved < 200)
}

func TestRankingIsRendezvousOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 40, rapid.ID).Draw(t, "members")
		key := rapid.Uint64().Draw(t, "key")
		limit := rapid.IntRange(0, 16).Draw(t, "limit")
		ranking := loadbalancer.NewRanking(members)
		got := ranking.AppendTop(nil, key, limit)
		want := slices.Clone(members)
		loadbalancer.SortByScore(key, want)
		want = want[:min(limit, len(want))]
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestRoundRobinAndRandomPolicies(t *testing.T) {
	is := is.New(t)
	snap := snapshot(t, 4, unchanged)
	planner := NewPlanner(settings.PolicyRoundRobin, "")
	firsts := map[string]int{}
	for range 40 {
		firsts[planner.Candidates(snap, snap.Pool("pool"), "chat", nil)[0]]++
	}
	is.Equal(firsts, map[string]int{"engine-0": 10, "engine-1": 10, "engine-2": 10, "engine-3": 10})
	random := NewPlanner(settings.PolicyRandom, "")
	firsts = map[string]int{}
	for range 400 {
		firsts[random.Candidates(snap, snap.Pool("pool"), "chat", nil)[0]]++
	}
	is.Equal(len(firsts), 4)
}

func BenchmarkCandidates(b *testing.B) {
	for _, size := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			snap := snapshot(b, size, unchanged)
			planner := NewPlanner(settings.PolicyBounded, "dc-0")
			buf := make([]string, 0, MaxCandidates)
			b.ReportAllocs()
			for b.Loop() {
				buf = planner.Candidates(snap, snap.Pool("pool"), "chat-17", buf[:0])
			}
		})
	}
}
