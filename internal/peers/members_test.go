package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

const (
	alive   = gossippb.MemberStatus_MEMBER_STATUS_ALIVE
	suspect = gossippb.MemberStatus_MEMBER_STATUS_SUSPECT
	dead    = gossippb.MemberStatus_MEMBER_STATUS_DEAD
)

const suspectAfter = 3 * time.Second

func entry(host string, incarnation, generation uint64, status gossippb.MemberStatus) *gossippb.Member {
	return &gossippb.Member{Host: host, Incarnation: incarnation, Generation: generation, Status: status}
}

func TestSuspectHostIsLiveUntilTimeout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := NewMembers("a", 1, suspectAfter, clock)
	is.True(!m.Live("b"))
	m.Merge([]*gossippb.Member{entry("b", 7, 10, alive)})
	is.True(m.Live("b"))
	m.MarkSuspect("b")
	clock.Advance(suspectAfter - time.Millisecond)
	is.True(m.Live("b"))
	clock.Advance(time.Millisecond)
	is.True(!m.Live("b"))
	m.ExpireSuspects()
	m.Merge([]*gossippb.Member{entry("b", 7, 11, alive)})
	is.True(m.Live("b"))
}

func TestOldDigestDoesNotRestoreEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	m := NewMembers("a", 1, suspectAfter, clockwork.NewFakeClock())
	m.Merge([]*gossippb.Member{entry("b", 7, 10, alive)})
	m.Merge([]*gossippb.Member{entry("b", 8, 5000, alive)})
	is.Equal(m.Incarnation("b"), uint64(8))
	for _, status := range []gossippb.MemberStatus{alive, suspect, dead} {
		m.Merge([]*gossippb.Member{entry("b", 7, 11, status)})
		is.Equal(m.Incarnation("b"), uint64(8))
		is.True(m.Live("b"))
	}
}

func TestProcessRefutesEntriesAboutItself(t *testing.T) {
	clock := clockwork.NewFakeClock()
	start := uint64(clock.Now().UnixMilli())
	cases := []struct {
		name    string
		entry   *gossippb.Member
		refuted bool
	}{
		{"an older entry", entry("a", 9, start-1, dead), false},
		{"its own entry", entry("a", 1, start, alive), false},
		{"suspect", entry("a", 1, start, suspect), true},
		{"dead", entry("a", 1, start+3, dead), true},
		{"an earlier process whose clock was ahead", entry("a", 9, start+100000, alive), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMembers("a", 1, suspectAfter, clock)
			m.Merge([]*gossippb.Member{c.entry})
			self := m.Digest("")[0]
			is.Equal(self.Incarnation, uint64(1))
			is.Equal(self.Status, alive)
			is.Equal(self.Generation > start, c.refuted)
			if c.refuted {
				is.True(self.Generation > c.entry.Generation)
			}
		})
	}
}

func TestDirectFailureIsLocalAndTemporary(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := NewMembers("a", 1, suspectAfter, clock)
	m.Merge([]*gossippb.Member{entry("b", 7, 10, alive)})
	m.RecordFailure("b")
	is.True(!m.Live("b"))
	is.Equal(m.Digest("b")[1].Status, alive)
	clock.Advance(suspectAfter)
	is.True(m.Live("b"))
	m.RecordFailure("b")
	clock.Advance(suspectAfter)
	is.True(!m.Live("b"))
	m.RecordSuccess("b")
	is.True(m.Live("b"))
}

func TestLeavingHostIsLiveOnlyWithoutLivePeers(t *testing.T) {
	is := is.New(t)
	m := NewMembers("a", 1, suspectAfter, clockwork.NewFakeClock())
	m.Merge([]*gossippb.Member{entry("b", 7, 10, alive)})
	m.MarkLeaving()
	is.True(!m.Live("a"))
	is.True(m.Digest("")[0].Leaving)
	m.RecordFailure("b")
	is.True(m.Live("a"))
}

func TestDigestSizeIsBounded(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{7, 64, 850} {
		m := NewMembers("host-name-000", 1, suspectAfter, clockwork.NewFakeClock())
		for n := range hosts {
			m.Merge([]*gossippb.Member{entry(fmt.Sprintf("host-name-%03d", n), ^uint64(0), 1<<41, alive)})
		}
		size := proto.Size(&gossippb.Digest{Members: m.Digest("host-name-001")})
		t.Logf("%d hosts: %d bytes", hosts, size)
		is.True(size <= 1024)
	}
}

func TestMergeTableForwardsOnlyChanges(t *testing.T) {
	is := is.New(t)
	m := NewMembers("a", 1, suspectAfter, clockwork.NewFakeClock())
	m.Merge([]*gossippb.Member{entry("b", 7, 10, alive)})
	m.MergeTable([]*gossippb.Member{entry("b", 7, 11, suspect), entry("c", 7, 10, alive)})
	is.True(m.Live("c"))
	is.Equal(m.leastSent(""), []string{"b"})
}

func TestAllEntriesSpreadDespiteBoundedDigests(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a, b := NewMembers("a", 1, suspectAfter, clock), NewMembers("b", 2, suspectAfter, clock)
	for n := range 200 {
		a.Merge([]*gossippb.Member{entry(fmt.Sprintf("h%d", n), 1, 1, alive)})
	}
	for range 1000 {
		b.Merge(a.Digest("b"))
	}
	for n := range 200 {
		is.True(b.Live(fmt.Sprintf("h%d", n)))
	}
}

// TestMergeConvergesInAnyOrder merges the same entries in any order and with repeats.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *gossippb.Member {
			return entry("b", rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "generation"),
				gossippb.MemberStatus(rapid.Int32Range(0, 2).Draw(t, "status")))
		}), 1, 12).Draw(t, "entries")
		shuffled := append(rapid.Permutation(entries).Draw(t, "order"), rapid.SampledFrom(entries).Draw(t, "repeat"))
		clock := clockwork.NewFakeClock()
		one, two := NewMembers("a", 1, suspectAfter, clock), NewMembers("a", 1, suspectAfter, clock)
		one.Merge(entries)
		two.Merge(shuffled)
		if x, y := one.Digest("b")[1], two.Digest("b")[1]; !proto.Equal(x, y) {
			t.Fatalf("entries differ: %v and %v", x, y)
		}
	})
}

func TestPartnersFormConnectedGraphOfBoundedDegree(t *testing.T) {
	is := is.New(t)
	const hosts = 850
	all := make([]peer, hosts)
	for n := range all {
		all[n] = peer{name: fmt.Sprintf("host-%d", n)}
	}
	next := map[string][]peer{}
	incoming := map[string]int{}
	for n, p := range all {
		others := append(append([]peer(nil), all[:n]...), all[n+1:]...)
		next[p.name] = partners(p.name, others)
		is.True(len(next[p.name]) <= ringCount)
		for _, q := range next[p.name] {
			incoming[q.name]++
		}
	}
	seen := map[string]bool{"host-0": true}
	frontier, steps := []string{"host-0"}, 0
	for len(frontier) > 0 {
		var further []string
		for _, name := range frontier {
			for _, q := range next[name] {
				if !seen[q.name] {
					seen[q.name] = true
					further = append(further, q.name)
				}
			}
		}
		frontier = further
		steps++
	}
	is.Equal(len(seen), hosts)
	is.True(steps <= 8)
	for _, p := range all {
		is.True(incoming[p.name] >= 1 && incoming[p.name] <= ringCount)
	}
}
