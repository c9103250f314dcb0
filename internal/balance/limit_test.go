package balance

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// oneHost is the view of a fleet of one host.
type oneHost struct{}

func (oneHost) ShareCount() int               { return 1 }
func (oneHost) Rank(uint64) (rank, hosts int) { return 0, 1 }
func (oneHost) Ranked(uint64) []string        { return []string{""} }

func perSecond(n float64) *float64 { return &n }

// selectable returns how many requests may be sent to upstreams of the service now.
func selectable(s *Selector, snap *catalog.Snapshot) int {
	n := 0
	for s.Select(snap, "s", engineCriteria) != nil && n < 100 {
		n++
	}
	return n
}

func newSelector(t *Table, clock clockwork.Clock) *Selector {
	return NewSelector(t, allowance.NewUpstreamLimiter(oneHost{}, clock), allowance.ColdLimits{Overage: 1.5, Slack: 5}, clock)
}

// Guards against an upstream that receives more requests than the limit that it names, and against one that stays limited
// after it names none any more.
func TestNamedLimitIsKeptWhileItIsNamed(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a")
	u := snap.Upstreams["s"][0]
	s := newSelector(table, clock)
	table.Order(snap, "s", engineCriteria)
	table.RecordRequestLimit(u, perSecond(2.5))
	is.Equal(selectable(s, snap), 10)
	clock.Advance(3900 * time.Millisecond)
	is.Equal(selectable(s, snap), 0)
	clock.Advance(100 * time.Millisecond)
	is.Equal(selectable(s, snap), 10)
	table.RecordRequestLimit(u, nil)
	is.Equal(selectable(s, snap), 100)
}

func TestLimitOfZeroAllowsTheRequestThatTellsItsEnd(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a")
	s := newSelector(table, clock)
	table.RecordRequestLimit(snap.Upstreams["s"][0], perSecond(0))
	is.Equal(selectable(s, snap), 1)
}

// Guards against a send that is given up for an upstream that is at its limit.
func TestUpstreamAtItsLimitIsNotLeft(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a")
	s := newSelector(table, clock)
	table.RecordRequestLimit(snap.Upstreams["s"][0], perSecond(2.5))
	s.Release(s.SelectUntried(snap, "s", engineCriteria))
	is.True(s.SelectUntried(snap, "s", engineCriteria) != nil)
	is.Equal(selectable(s, snap), 9) // what was released has not used up any of the limit
	is.True(s.SelectUntried(snap, "s", engineCriteria) == nil)
}

// Guards against requests that are refused because all places in the order are taken by upstreams at their limits.
func TestUpstreamsAtTheirLimitsDoNotHideOthers(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(3*maxChoices, "a")
	s := newSelector(table, clock)
	busy := snap.Upstreams["s"][0]
	for _, u := range snap.Upstreams["s"][1:] {
		table.RecordRequestLimit(u, perSecond(0))
		table.RecordLoad(u.Key(), 1)
	}
	table.RecordLoad(busy.Key(), 30) // beyond the load bound, so that all others are preferred
	is.Equal(selectable(s, snap), 100)
}

// Guards against places in the order that are taken by upstreams to which the request is not sent again.
func TestOrderLeavesOutUpstreamsThatRejected(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(3, "a")
	criteria := engineCriteria
	for i, u := range snap.Upstreams["s"] {
		criteria.Tried = append(criteria.Tried, u.Key())
		criteria.Rejected = append(criteria.Rejected, u.Key())
		is.Equal(len(table.Order(snap, "s", criteria)), 2-i)
	}
	is.True(newSelector(table, clock).Select(snap, "s", criteria) == nil)
}

func TestColdAndNamedLimitHoldTogether(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(1, "a")
	snap.Config = &catalog.Config{Services: map[string]catalog.Service{"s": {ColdRequestsPerSecond: 2}}}
	u := snap.Upstreams["s"][0]
	u.ColdUntil = clock.Now().Add(time.Minute)
	s := newSelector(table, clock)
	is.Equal(selectable(s, snap), 6) // three quarters of 2 x 1.5 + 5
	table.RecordRequestLimit(u, perSecond(2))
	clock.Advance(1100 * time.Millisecond)
	is.Equal(selectable(s, snap), 2) // two of eight requests in four seconds are left
}

// Guards against a send that is given up for an upstream that must not receive the request.
func TestUntriedUpstreamMayReceiveRequest(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(table *Table, snap *catalog.Snapshot, other *catalog.Upstream)
		want   bool
	}{
		{"one is left", func(*Table, *catalog.Snapshot, *catalog.Upstream) {}, true},
		{"it leaves", func(_ *Table, _ *catalog.Snapshot, other *catalog.Upstream) { other.Leaving = true }, false},
		{"its data centre is disabled", func(_ *Table, snap *catalog.Snapshot, other *catalog.Upstream) {
			snap.DisabledDataCentres = map[string]bool{other.DataCentre: true}
		}, false},
		{"it asked for a pause", func(table *Table, _ *catalog.Snapshot, other *catalog.Upstream) {
			table.MarkPaused(other, time.Minute)
		}, false},
		{"it is suspected", func(table *Table, _ *catalog.Snapshot, other *catalog.Upstream) {
			table.RecordBrokenResponse(other, ErrResponseTimeout)
		}, true},
		{"it is silent as well", func(table *Table, _ *catalog.Snapshot, other *catalog.Upstream) {
			table.MergeSilenceReports([]SilenceReport{{IncarnationID: IncarnationID(other.Key()), Silence: time.Second}})
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			snap := snapshotOf(2, "a")
			tried, other := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
			table.Order(snap, "s", engineCriteria)
			tt.change(table, snap, other)
			criteria := engineCriteria
			criteria.Tried = []catalog.UpstreamKey{tried.Key()}
			choice := newSelector(table, clock).SelectUntried(snap, "s", criteria)
			is.Equal(choice != nil, tt.want)
			is.True(choice == nil || choice.ID == other.ID)
		})
	}
}

func TestLimitReportsBetweenHosts(t *testing.T) {
	snap := snapshotOf(2, "a")
	u := snap.Upstreams["s"][0]
	id := IncarnationID(u.Key())
	restarted := u.Key()
	restarted.StartedAtMs = 5
	tests := []struct {
		name string
		// own is what the upstream said to this host a second ago; nil if it said nothing.
		own    *LimitReport
		report LimitReport
		want   float64
		named  bool
	}{
		{"first", nil, LimitReport{IncarnationID: id, Named: true, PerSecond: 4}, 4, true},
		{"newer", &LimitReport{Named: true, PerSecond: 9}, LimitReport{IncarnationID: id, Named: true, PerSecond: 4, Age: 900 * time.Millisecond}, 4, true},
		{"older", &LimitReport{Named: true, PerSecond: 9}, LimitReport{IncarnationID: id, Named: true, PerSecond: 4, Age: 1100 * time.Millisecond}, 9, true},
		{"older than the end", &LimitReport{}, LimitReport{IncarnationID: id, Named: true, PerSecond: 4, Age: 1100 * time.Millisecond}, 0, false},
		{"end", &LimitReport{Named: true, PerSecond: 9}, LimitReport{IncarnationID: id}, 0, false},
		{"expired", nil, LimitReport{IncarnationID: id, Named: true, PerSecond: 4, Age: limitExpiry}, 0, false},
		{"another incarnation", nil, LimitReport{IncarnationID: IncarnationID(restarted), Named: true, PerSecond: 4}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := newTable()
			table.Order(snap, "s", engineCriteria)
			if tt.own != nil {
				var limit *float64
				if tt.own.Named {
					limit = &tt.own.PerSecond
				}
				table.RecordRequestLimit(u, limit)
				clock.Advance(time.Second)
			}
			table.MergeLimitReports([]LimitReport{tt.report})
			got, named := table.RequestLimit(u.Key())
			is.Equal(named, tt.named)
			if named {
				is.Equal(got, tt.want)
			}
		})
	}
}

// Hosts are told of changed limits at once, and in each gossip message as long as the limit may be in force anywhere.
func TestLimitsAreTold(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(2, "a")
	u := snap.Upstreams["s"][0]
	table.RecordRequestLimit(snap.Upstreams["s"][1], nil) // names no limit and never did
	table.RecordRequestLimit(u, perSecond(4))
	is.Equal(table.TakeChangedLimits(), []LimitReport{{IncarnationID: IncarnationID(u.Key()), PerSecond: 4, Named: true}})
	table.RecordRequestLimit(u, perSecond(4))
	is.Equal(len(table.TakeChangedLimits()), 0)
	clock.Advance(time.Second)
	table.RecordRequestLimit(u, nil)
	is.Equal(table.TakeChangedLimits(), []LimitReport{{IncarnationID: IncarnationID(u.Key())}})
	is.Equal(len(table.LimitReports()), 1) // the end is told as well
	clock.Advance(limitExpiry)
	is.Equal(len(table.LimitReports()), 0)
}

func TestStateShowsWhatUpstreamsSay(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(2, "a")
	table.Order(snap, "s", engineCriteria)
	table.RecordRequestLimit(snap.Upstreams["s"][0], perSecond(4.5))
	table.MarkLeaving(snap.Upstreams["s"][0])
	clock.Advance(time.Second)
	for _, s := range table.State() {
		limited := s.ID == "e00"
		is.Equal(s.RequestLimit != nil, limited)
		is.Equal(s.Leaving, limited)
		if limited {
			is.Equal(*s.RequestLimit, 4.5)
			is.Equal(s.RequestLimitAge, time.Second)
		}
	}
	clock.Advance(limitExpiry)
	for _, s := range table.State() {
		is.True(s.RequestLimit == nil)
	}
}

// Guards against a host that lends what it needs itself, or more than its share, and against loans of upstreams that no limit
// protects.
func TestHostLendsWhatItDoesNotNeed(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOfVersions("1", "1")
	s := newSelector(table, clock)
	table.Order(snap, "s", engineCriteria)
	version := "1"
	takenUp := engineCriteria
	takenUp.Version, takenUp.TakenUp = &version, true
	ids := []uint32{IncarnationID(snap.Upstreams["s"][0].Key()), IncarnationID(snap.Upstreams["s"][1].Key())}
	lend := func() (uint32, bool) { return s.Lend(snap, "s", takenUp, ids, time.Second) }
	_, ok := lend()
	is.True(!ok) // no limit is known
	limited := snap.Upstreams["s"][0]
	table.RecordRequestLimit(limited, perSecond(0.25))
	id := IncarnationID(limited.Key())
	_, ok = s.Lend(snap, "s", takenUp, ids[1:], time.Second)
	is.True(!ok) // not wanted
	end := table.WaitForVersion(snap, "s", version)
	_, ok = lend()
	is.True(!ok)
	end()
	for range 4 { // three quarters of the six that are tolerated in four seconds
		lent, ok := lend()
		is.True(ok)
		is.Equal(lent, id)
	}
	_, ok = lend()
	is.True(!ok)
	exhausted := s.Exhausted(snap, "s", takenUp)
	is.Equal(len(exhausted), 1)
	is.Equal(exhausted[0].target.ID, limited.ID)
	table.RecordConnectFailure(limited, errors.New("refused"))
	is.Equal(len(s.Exhausted(snap, "s", takenUp)), 0) // a loan would be lost
	clock.Advance(minSuspectTime)
	choice := s.Borrowed(snap, "s", takenUp, id, clock.Now().Add(time.Second))
	is.Equal(choice.ID, limited.ID)
	s.Release(choice) // counts at the host that lent it
	_, ok = lend()
	is.True(!ok)
	other := "2"
	takenUp.Version = &other
	is.True(s.Borrowed(snap, "s", takenUp, id, clock.Now()) == nil)
}
