package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/proofs/rights/window"
)

// documentWithHosts returns a document with the teams and with the hosts in one data centre.
func documentWithHosts(t testing.TB, version uint64, teams []document.Team, hosts ...string) *document.Snapshot {
	t.Helper()
	doc := &document.Document{Schema: document.SchemaVersion, Fleet: "test", Version: version, Teams: teams}
	doc.Parent.Version = version - 1
	dc := document.DataCentre{Name: "dc", State: document.StateIn}
	for i, name := range hosts {
		dc.Hosts = append(dc.Hosts, numberedHost(name, i+1))
	}
	doc.DataCentres = []document.DataCentre{dc}
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

// numberedHost returns a host whose addresses are derived from n.
func numberedHost(name string, n int) document.Host {
	address := func(port int) string { return fmt.Sprintf("127.0.0.%d:%d", n, port) }
	return document.Host{Name: name, CallerAddress: address(8080), PeerAddress: address(7080), AdminAddress: address(9080)}
}

// oneTeam is a team with a rate of 30 requests per second and a burst of 60.
var oneTeam = []document.Team{{Name: "team", RatePerSecond: 30, Burst: 60}}

// cluster is a set of limiters with one fake clock.
type cluster struct {
	clock        *clockwork.FakeClock
	limiters     map[string]*Limiter
	incarnations uint64
}

func newCluster() *cluster {
	return &cluster{clock: clockwork.NewFakeClock(), limiters: map[string]*Limiter{}}
}

func (c *cluster) start(name string, snap *document.Snapshot) *Limiter {
	c.incarnations++
	c.limiters[name] = NewLimiter(name, c.incarnations, c.clock)
	c.limiters[name].Apply(snap)
	return c.limiters[name]
}

// poll lets one host send its status requests to the named hosts, or to all running ones.
func (c *cluster) poll(name string, hosts ...string) {
	sender := c.limiters[name]
	for _, q := range sender.PendingStatusQueries() {
		peer := c.limiters[q.Host.Name]
		selected := len(hosts) == 0
		for _, s := range hosts {
			selected = selected || s == q.Host.Name
		}
		if peer != nil && selected {
			sender.HandleStatusReply(q, peer.Status(name, sender.incarnation))
		}
	}
}

func (c *cluster) settle(names ...string) {
	c.clock.Advance(time.Second)
	for range 2 {
		for _, name := range names {
			c.poll(name)
		}
	}
	c.clock.Advance(time.Minute)
}

// spend admits requests until the limiter refuses and returns the number of admitted ones.
func spend(l *Limiter, snap *document.Snapshot) int {
	n := 0
	for l.Admit(snap, snap.Team("team")).Admitted {
		n++
	}
	return n
}

func TestShareIsHeldOnceEveryHostAcknowledged(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		c.start(name, v1)
	}
	is.Equal(spend(c.limiters["a"], v1), 0)
	c.clock.Advance(time.Second)
	c.poll("a", "b")
	is.Equal(spend(c.limiters["a"], v1), 0)
	c.poll("a", "c")
	is.Equal(spend(c.limiters["a"], v1), 0) // A newly gained share starts empty.
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["a"], v1), 20)
}

func TestRestartedHostStartsFromSettledPeerWhileAnotherHostIsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		c.start(name, v1)
	}
	c.settle("a", "b", "c")
	c.limiters["c"] = nil
	c.start("a", v1)
	c.clock.Advance(time.Minute)
	c.poll("a")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["a"], v1), 20)
}

func TestHostThatOnlyLostSharesIsNotSettledBeforeEveryHostAcknowledged(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a", "b")
	v2 := documentWithHosts(t, 2, oneTeam, "a", "b", "c")
	c.start("a", v1)
	c.start("b", v1)
	c.settle("a", "b")
	c.limiters["a"].Apply(v2)
	c.start("c", v2)
	c.clock.Advance(time.Second)
	c.poll("c")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["c"], v2), 0) // b still spends under version 1.
}

func TestAcknowledgementOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a", "p", "x")
	v2 := documentWithHosts(t, 2, oneTeam, "a", "p", "x", "b")
	for _, name := range []string{"a", "p", "x"} {
		c.start(name, v1)
	}
	c.settle("a", "p", "x")
	c.limiters["a"].Apply(v2)
	c.limiters["x"].Apply(v2)
	c.start("b", v2)
	c.clock.Advance(time.Second)
	c.poll("b", "a", "x")
	// A new process of x reads version 1 again and starts from p, which still spends under version 1.
	c.start("x", v1)
	c.poll("x", "p")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["x"], v1), 20)
	c.limiters["p"].Apply(v2)
	c.clock.Advance(time.Second)
	c.poll("b", "p")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["b"], v2), 0)
	c.limiters["x"].Apply(v2)
	c.clock.Advance(time.Second)
	c.poll("b")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["b"], v2), 15)
}

func TestLateReplyFromEarlierSplitIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v2 := documentWithHosts(t, 2, oneTeam, "a", "b")
	v3 := documentWithHosts(t, 3, []document.Team{{Name: "team", RatePerSecond: 30, Burst: 1}}, "a", "b")
	v4 := documentWithHosts(t, 4, oneTeam, "a", "b")
	a := c.start("a", v2)
	c.start("b", v2)
	c.clock.Advance(time.Second)
	query := a.PendingStatusQueries()[0]
	reply := c.limiters["b"].Status("a", a.incarnation)
	a.Apply(v3)
	a.Apply(v4)
	a.HandleStatusReply(query, reply)
	c.clock.Advance(time.Minute)
	is.Equal(spend(a, v4), 0)
	c.poll("a")
	c.clock.Advance(time.Minute)
	is.Equal(spend(a, v4), 30)
}

func TestReplyInFlightFromEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v2 := documentWithHosts(t, 2, oneTeam, "p", "x")
	v3 := documentWithHosts(t, 3, oneTeam, "p", "x", "b")
	c.start("p", v2)
	c.start("x", v2)
	c.settle("p", "x")
	c.limiters["x"].Apply(v3)
	b := c.start("b", v3)
	c.clock.Advance(time.Second)
	queries := b.PendingStatusQueries()
	late := c.limiters["x"].Status("b", b.incarnation)
	c.start("x", v2)
	c.poll("x", "p")
	c.limiters["p"].Apply(v3)
	c.clock.Advance(time.Second)
	c.poll("b", "p")
	b.HandleStatusReply(queries[1], late)
	c.clock.Advance(time.Minute)
	is.Equal(queries[1].Host.Name, "x")
	is.Equal(spend(b, v3), 0)
}

func TestHostThatLosesShareAcknowledgesOnceLentTokensExpired(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v2 := documentWithHosts(t, 2, oneTeam, "a", "b")
	v3 := documentWithHosts(t, 3, oneTeam, "a", "b", "c")
	a := c.start("a", v2)
	c.start("b", v2)
	c.settle("a", "b")
	b := c.limiters["b"]
	is.Equal(spend(b, v2), 30)
	c.clock.Advance(time.Minute)
	a.Apply(v3)
	is.True(!a.Status("c", 9).Drained)
	c.clock.Advance(2*GrantValidity + time.Millisecond)
	is.True(a.Status("c", 9).Drained)
	is.Equal(spend(a, v3), 20) // The full bucket of 30 shrinks to the smaller share immediately.
	b.Apply(v3)
	is.Equal(spend(b, v3), 20)
	c.start("c", v3)
	c.poll("c")
	is.True(c.limiters["c"].State().Starting) // Tokens lent by b may still be spent.
	c.clock.Advance(time.Second)
	c.poll("c")
	is.True(!c.limiters["c"].State().Starting)
	is.Equal(spend(c.limiters["c"], v3), 0) // A share that was never used starts empty, too.
}

func TestBucketStaysEmptyWhileEarlierProcessMayHaveLentTokens(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a")
	a := c.start("a", v1)
	c.clock.Advance(2 * GrantValidity)
	is.Equal(spend(a, v1), 0)
	c.clock.Advance(100 * time.Millisecond)
	is.Equal(spend(a, v1), 3)
}

func TestSmallTeamIsSplitOverFewHosts(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, tc := range []struct {
		burst float64
		want  int
	}{{1, 1}, {7, 1}, {8, 2}, {15, 2}, {16, 4}, {27, 4}, {28, 7}, {1000, 7}} {
		snap := documentWithHosts(t, 1, []document.Team{{Name: "team", RatePerSecond: 5, Burst: tc.burst}}, hosts...)
		active, holders, sum := activeHosts(snap), 0, 0.0
		for _, host := range hosts {
			f := fraction(host, snap.Team("team"), active)
			is.Equal(f > 0, slices.ContainsFunc(teamHosts(snap.Team("team"), active), func(s document.EntryHost) bool {
				return s.Name == host
			}))
			sum += f
			if f > 0 {
				holders++
			}
		}
		is.Equal(holders, tc.want)
		is.True(sum < 1+1e-9)
	}
}

func TestRetryAfterIsTimeUntilNextToken(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		c.start(name, v1)
	}
	c.settle("a", "b", "c")
	a := c.limiters["a"]
	is.Equal(spend(a, v1), 20)
	d := a.Admit(v1, v1.Team("team"))
	is.True(!d.Admitted)
	c.clock.Advance(d.RetryAfter - time.Millisecond)
	is.True(!a.Admit(v1, v1.Team("team")).Admitted)
	c.clock.Advance(2 * time.Millisecond)
	is.True(a.Admit(v1, v1.Team("team")).Admitted)
}

func TestTokensLentBeforeWindowCountInIt(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	teams := []document.Team{{Name: "team", RatePerSecond: 300, Burst: 20}}
	v1 := documentWithHosts(t, 1, teams, "a")
	a := c.start("a", v1)
	c.clock.Advance(time.Minute)
	grant := NewGrant(c.clock.Now())
	lent := a.Lend("team", 100)
	is.Equal(lent.Granted, uint32(20))
	c.clock.Advance(GrantValidity)
	is.True(grant.Redeem(c.clock.Now()))
	is.True(!grant.Redeem(c.clock.Now())) // A repeated reply is rejected.
	var admitted []time.Time
	for range int(lent.Granted) + spend(a, v1) {
		admitted = append(admitted, c.clock.Now())
	}
	is.NoErr(window.Check(admitted, 300, 20))
	late := NewGrant(c.clock.Now())
	c.clock.Advance(GrantValidity + time.Millisecond)
	is.True(!late.Redeem(c.clock.Now()))
}

func TestFleetStartsUnderFirstDocumentWithHostMissing(t *testing.T) {
	is := is.New(t)
	c := newCluster()
	v1 := documentWithHosts(t, 1, oneTeam, "a", "b", "c")
	c.start("a", v1)
	c.start("b", v1)
	c.clock.Advance(bootstrapWait - time.Millisecond)
	c.poll("a")
	c.clock.Advance(time.Millisecond)
	is.Equal(spend(c.limiters["a"], v1), 0)
	c.poll("a")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["a"], v1), 20)
}

func TestMissingHostUnderLaterDocumentOrConflictKeepsSharesEmpty(t *testing.T) {
	is := is.New(t)
	v1 := documentWithHosts(t, 1, oneTeam, "a", "b", "c")
	v2 := documentWithHosts(t, 2, oneTeam, "a", "b")
	c := newCluster()
	c.start("a", v2)
	c.clock.Advance(time.Minute)
	c.poll("a")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["a"], v2), 0)
	c.start("b", v1)
	c.poll("b", "a")
	c.clock.Advance(time.Minute)
	c.poll("b", "a")
	c.clock.Advance(time.Minute)
	is.Equal(spend(c.limiters["b"], v1), 0)
}

// BenchmarkChangeOfSeats measures one change of hosts with the number of teams and routers of the target
// deployment. Every second team is a small one.
func BenchmarkChangeOfSeats(b *testing.B) {
	const teamCount, fleetSize = 33_000, 850
	teams := make([]document.Team, teamCount)
	for n := range teams {
		teams[n] = document.Team{Name: fmt.Sprintf("team-%d", n), RatePerSecond: 10, Burst: float64(20 + n%2*10_000)}
	}
	snapshot := func(version uint64, hosts int) *document.Snapshot {
		doc := &document.Document{Schema: document.SchemaVersion, Fleet: "bench", Version: version, Teams: teams}
		dc := document.DataCentre{Name: "dc", State: document.StateIn}
		for n := range hosts {
			dc.Hosts = append(dc.Hosts, document.Host{Name: fmt.Sprintf("host-%d", n)})
		}
		doc.DataCentres = []document.DataCentre{dc}
		snap, err := document.NewSnapshot(doc)
		if err != nil {
			b.Fatal(err)
		}
		return snap
	}
	from, to := snapshot(1, fleetSize), snapshot(2, fleetSize-1)
	for b.Loop() {
		b.StopTimer()
		l := NewLimiter("host-0", 1, clockwork.NewFakeClock())
		l.Apply(from)
		b.StartTimer()
		l.Apply(to)
	}
}
