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
	asked  int
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

func (h *testHosts) AskLoan(context.Context, string, Question) (uint32, bool, error) {
	h.asked++
	h.clock.Advance(h.takes)
	return balance.IncarnationID(testUpstream.Key()), h.lends, nil
}

func (h *testHosts) OnAskLoan(answer func(Question) (uint32, bool)) { h.answer = answer }

var (
	testVersion  = "1"
	testUpstream = &catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Version: testVersion}
	testSnapshot = &catalog.Snapshot{
		Config: &catalog.Config{}, DisabledDataCentres: map[string]bool{}, Upstreams: map[string][]*catalog.Upstream{"s": {testUpstream}},
	}
	testCriteria = balance.Criteria{Version: &testVersion, TakenUp: true}
)

// fixedSnapshot implements Snapshots.
type fixedSnapshot struct{}

func (fixedSnapshot) Current() *catalog.Snapshot { return testSnapshot }

// newDesk returns a desk of one of so many hosts, whose upstream names a limit, and has used up its share.
func newDesk(hosts int, perSecond float64) (*Desk, *testHosts) {
	clock := clockwork.NewFakeClock()
	peers := &testHosts{clock: clock, hosts: hosts}
	table := balance.NewTable("dc", clock, zerolog.Nop())
	table.Order(testSnapshot, "s", testCriteria)
	table.RecordRequestLimit(testUpstream, &perSecond)
	selector := balance.NewSelector(table, allowance.NewUpstreamLimiter(peers, clock), allowance.ColdLimits{}, clock)
	for selector.Select(testSnapshot, "s", testCriteria) != nil {
	}
	return New(Options{
		Store: fixedSnapshot{}, Selector: selector, Peers: peers, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(), Scope: tally.NoopScope,
	}), peers
}

func (d *Desk) borrow() *balance.Choice {
	return d.Borrow(context.Background(), testSnapshot, "s", testCriteria, "id")
}

// Guards against a request that is sent within the share of a host that counts it as sent long before.
func TestLateLoanIsNotUsed(t *testing.T) {
	for _, tt := range []struct {
		takes time.Duration
		used  bool
	}{{validity - time.Millisecond, true}, {validity, false}} {
		is := is.New(t)
		desk, peers := newDesk(2, 1)
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
		desk, peers := newDesk(tt.hosts, 1)
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
	_, peers := newDesk(2, 1)
	peers.clock.Advance(allowance.LongestWindow - time.Millisecond)
	_, ok := peers.answer(Question{Service: "s", Version: testVersion})
	is.True(!ok)
	peers.clock.Advance(time.Millisecond)
	id, ok := peers.answer(Question{Service: "s", Version: testVersion})
	is.True(ok)
	is.Equal(id, balance.IncarnationID(testUpstream.Key()))
	for _, q := range []Question{{Service: "other", Version: testVersion}, {Service: "s", Version: "2"}, {Service: "s", Version: testVersion, Excluded: []uint32{id}}} {
		_, ok = peers.answer(q)
		is.True(!ok)
	}
}
