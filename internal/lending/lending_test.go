package lending

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// testHosts are a fleet of which this host is the first. The others lend a request if lends is set, and take a time to answer.
type testHosts struct {
	clock  *clockwork.FakeClock
	hosts  int
	lends  bool
	takes  time.Duration
	table  *balance.Table
	asked  int
	last   Question
	answer func(Question) (uint32, bool)
}

func (h *testHosts) ShareCount() int               { return h.hosts }
func (h *testHosts) Rank(uint64) (rank, hosts int) { return 0, h.hosts }

func (h *testHosts) Ranked(uint64) []string {
	names := make([]string, h.hosts)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	return names
}

func (h *testHosts) AskLoan(_ context.Context, _ string, q Question) (uint32, bool, error) {
	h.asked++
	h.last = q
	h.clock.Advance(h.takes)
	return balance.IncarnationID(testUpstream.Key()), h.lends, nil
}

func (h *testHosts) OnAskLoan(answer func(Question) (uint32, bool)) { h.answer = answer }

var (
	testVersion  = "1"
	testUpstream = &catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Version: testVersion}
	testCriteria = balance.Criteria{Version: &testVersion, TakenUp: true}
)

// fixedSnapshot implements Snapshots.
type fixedSnapshot struct{ snap *catalog.Snapshot }

func (s fixedSnapshot) Current() *catalog.Snapshot { return s.snap }

// newDesk returns a desk of one of so many hosts, whose upstreams name a limit, and has used up its share of them.
func newDesk(hosts int, others ...*catalog.Upstream) (*Desk, *testHosts) {
	upstreams := append([]*catalog.Upstream{testUpstream}, others...)
	snap := &catalog.Snapshot{Config: &catalog.Config{}, DisabledDataCentres: map[string]bool{}, Upstreams: map[string][]*catalog.Upstream{"s": upstreams}}
	clock, perSecond := clockwork.NewFakeClock(), 1.0
	peers := &testHosts{clock: clock, hosts: hosts, table: balance.NewTable("dc", clock, zerolog.Nop())}
	peers.table.Order(snap, "s", testCriteria)
	for _, u := range upstreams {
		peers.table.RecordRequestLimit(u, &perSecond)
	}
	selector := balance.NewSelector(peers.table, allowance.NewUpstreamLimiter(peers, clock), allowance.ColdLimits{}, clock)
	for selector.Select(snap, "s", testCriteria) != nil {
	}
	return New(Options{
		Store: fixedSnapshot{snap}, Selector: selector, Peers: peers, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(), Scope: tally.NoopScope,
	}), peers
}

func (d *Desk) borrow() *balance.Choice {
	return d.Borrow(context.Background(), d.Store.Current(), "s", testCriteria, "id")
}

// Guards against a request that is sent within the share of a host that counts it as sent long before.
func TestLateLoanIsNotUsed(t *testing.T) {
	for _, tt := range []struct {
		takes time.Duration
		used  bool
	}{{validity - time.Millisecond, true}, {validity, false}} {
		is := is.New(t)
		desk, peers := newDesk(2)
		peers.lends, peers.takes = true, tt.takes
		asked := peers.clock.Now()
		choice := desk.borrow()
		is.Equal(choice != nil, tt.used)
		if tt.used {
			is.True(choice.Borrowed)
			is.Equal(choice.SendBefore, asked.Add(validity))
		}
	}
}

// Guards against hosts that are flooded with questions while many requests wait at all others.
func TestQuestionsInVainAreBounded(t *testing.T) {
	for _, tt := range []struct {
		hosts int
		most  int // questions of a host in a second
	}{{2, 50}, {850, 2}} {
		is := is.New(t)
		desk, peers := newDesk(tt.hosts)
		for end := peers.clock.Now().Add(time.Second); peers.clock.Now().Before(end); peers.clock.Advance(time.Millisecond) {
			for range 10 {
				is.True(desk.borrow() == nil)
			}
		}
		is.True(peers.asked <= tt.most)
		is.True(peers.asked > 0)
	}
}

// Guards against a share that is used twice within a window, as the process that lent it was killed and started again.
func TestNothingIsLentAfterStart(t *testing.T) {
	is := is.New(t)
	_, peers := newDesk(2)
	peers.clock.Advance(allowance.LongestWindow - time.Millisecond)
	wanted := []uint32{balance.IncarnationID(testUpstream.Key())}
	_, ok := peers.answer(Question{Service: "s", Version: testVersion, Upstreams: wanted})
	is.True(!ok)
	peers.clock.Advance(time.Millisecond)
	id, ok := peers.answer(Question{Service: "s", Version: testVersion, Upstreams: wanted})
	is.True(ok)
	is.Equal(id, wanted[0])
	for _, q := range []Question{{Service: "other", Version: testVersion, Upstreams: wanted}, {Service: "s", Version: "2", Upstreams: wanted}, {Service: "s", Version: testVersion}} {
		_, ok = peers.answer(q)
		is.True(!ok)
	}
}

// Guards against a loan of an upstream that the borrower cannot use, since it asked for a pause.
func TestOnlyUsableUpstreamsAreAskedFor(t *testing.T) {
	is := is.New(t)
	paused := &catalog.Upstream{ID: "paused", Service: "s", Address: "10.0.0.2:1", Version: testVersion}
	desk, peers := newDesk(2, paused)
	peers.table.MarkPaused(paused, time.Minute)
	desk.borrow()
	is.Equal(peers.last.Upstreams, []uint32{balance.IncarnationID(testUpstream.Key())})
}
