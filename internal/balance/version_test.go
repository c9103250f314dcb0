package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// snapshotOfVersions returns a snapshot with one upstream of each software version.
func snapshotOfVersions(versions ...string) *catalog.Snapshot {
	snap := snapshotOf(len(versions), "a")
	for i, u := range snap.Upstreams["s"] {
		u.Version = versions[i]
	}
	return snap
}

// Guards against streams that go on at another software version than the one that began them.
func TestOnlyUpstreamsOfTheVersionAreOrdered(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOfVersions("1", "2", "1", "2")
	for _, version := range []string{"1", "2", "3"} {
		criteria := engineCriteria
		criteria.Version = &version
		n := 0
		for _, choice := range table.Order(snap, "s", criteria) {
			is.Equal(choice.Version, version)
			n++
		}
		is.Equal(n, map[string]int{"1": 2, "2": 2, "3": 0}[version])
	}
}

// Guards against a stream that cannot go on because new requests take what the limits of its version's upstreams allow.
func TestLimitedUpstreamsAreLeftToRequestsThatWaitForTheirVersion(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOfVersions("1", "2")
	s := newSelector(table, clock)
	table.Order(snap, "s", engineCriteria)
	table.RecordRequestLimit(snap.Upstreams["s"][0], perSecond(0.25))
	version := "1"
	bound := engineCriteria
	bound.Version = &version
	is.True(s.Select(snap, "s", bound) != nil) // the one request in four seconds
	is.True(s.Select(snap, "s", bound) == nil)
	end := table.WaitForVersion(snap, "s", version)
	clock.Advance(4 * time.Second)
	for range 10 {
		is.Equal(s.Select(snap, "s", engineCriteria).Version, "2")
	}
	is.True(s.Select(snap, "s", bound) != nil)
	end()
	clock.Advance(4 * time.Second)
	table.RecordRequestLimit(snap.Upstreams["s"][0], perSecond(0.25))
	table.RecordLoad(snap.Upstreams["s"][1].Key(), 40)
	is.Equal(s.Select(snap, "s", Criteria{}).Version, "1") // the one with the lower load
}

// Guards against a stream that is refused when its caller takes it up, while its upstream tolerates more than the limit that it
// names, and against other requests that use that.
func TestTakenUpStreamMayUseWhatUpstreamTolerates(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOfVersions("1")
	s := newSelector(table, clock)
	table.Order(snap, "s", engineCriteria)
	table.RecordRequestLimit(snap.Upstreams["s"][0], perSecond(0.25))
	version := "1"
	bound := engineCriteria
	bound.Version = &version
	takenUp := bound
	takenUp.TakenUp = true
	is.True(s.Select(snap, "s", engineCriteria) != nil) // the one request in four seconds
	is.True(s.Select(snap, "s", bound) == nil)
	is.True(s.SelectUntried(snap, "s", takenUp) == nil)
	for range 3 { // with the one above, three quarters of the six that are tolerated
		is.True(s.Select(snap, "s", takenUp) != nil)
	}
	is.True(s.Select(snap, "s", takenUp) == nil)
	clock.Advance(4 * time.Second)
	is.True(s.Select(snap, "s", takenUp) != nil)
	is.True(s.Select(snap, "s", engineCriteria) == nil) // what is taken up counts for others as well
}

// Guards against a request that uses up its attempts at the one upstream of its version that fails at once, while others of
// that version accept work again soon.
func TestFailedUpstreamIsNotTriedAgainAtOnceForItsVersion(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOfVersions("1", "1")
	failed := snap.Upstreams["s"][0]
	table.MarkPaused(snap.Upstreams["s"][1], time.Second)
	table.RecordConnectFailure(failed, errors.New("refused"))
	version := "1"
	criteria := engineCriteria
	criteria.Version, criteria.Tried = &version, []catalog.UpstreamKey{failed.Key()}
	is.Equal(len(table.Order(snap, "s", criteria)), 0)
	clock.Advance(minSuspectTime)
	is.Equal(len(table.Order(snap, "s", criteria)), 1)
}
