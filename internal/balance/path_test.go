package balance

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// in returns the upstreams of the data centre.
func in(snap *catalog.Snapshot, dataCentre string) (list []*catalog.Upstream) {
	for _, u := range snap.Upstreams["s"] {
		if u.DataCentre == dataCentre {
			list = append(list, u)
		}
	}
	return list
}

// tiers returns the tier of each data centre's first upstream that did not fail itself.
func tiers(table *Table, snap *catalog.Snapshot, failed ...*catalog.Upstream) map[string]int {
	tiers := map[string]int{}
	for _, choice := range table.Order(snap, "s", engineCriteria) {
		direct := false
		for _, u := range failed {
			direct = direct || u.ID == choice.ID
		}
		if !direct {
			tiers[choice.DataCentre] = choice.Tier
		}
	}
	return tiers
}

func TestPathIsDownAfterTwoSilentUpstreams(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(12, "a", "b", "c")
	b := in(snap, "b")
	is.True(!table.RecordBrokenResponse(b[0], ErrResponseTimeout))
	is.True(!table.RecordBrokenResponse(b[0], ErrResponseTimeout)) // the same one again
	is.Equal(tiers(table, snap, b[0]), map[string]int{"a": tierHealthy, "b": tierHealthy, "c": tierHealthy})
	is.True(table.RecordBrokenResponse(b[1], ErrResponseTimeout))
	is.True(!table.RecordBrokenResponse(b[2], ErrResponseTimeout)) // it is down already
	is.Equal(tiers(table, snap, b[:3]...), map[string]int{"a": tierHealthy, "b": tierSuspect, "c": tierHealthy})
	table.RecordResponseStart(b[3])
	is.Equal(tiers(table, snap, b[:3]...)["b"], tierHealthy)
	is.True(!table.RecordConnectFailure(b[0], errors.New("refused")))
	is.True(!table.RecordConnectFailure(b[1], errors.New("refused"))) // whoever refuses is reachable
	is.True(!table.RecordConnectFailure(b[0], ErrResponseTimeout))
	is.True(table.RecordConnectFailure(b[1], ErrResponseTimeout))
	clock.Advance(pathDownTime)
	is.Equal(tiers(table, snap, b[:3]...)["b"], tierHealthy) // it is tried again
}

// Guards against a data centre that counts as unreachable since two of its upstreams stand still, while another one sends
// the data of streams that began before.
func TestPathThatDeliversDataIsUp(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	snap := snapshotOf(12, "a", "b", "c")
	b := in(snap, "b")
	is.True(!table.RecordBrokenResponse(b[0], ErrResponseTimeout))
	table.RecordData(b[2])
	is.True(!table.RecordBrokenResponse(b[1], ErrResponseTimeout))
	is.Equal(tiers(table, snap, b[:2]...)["b"], tierHealthy)
	is.True(table.RecordBrokenResponse(b[3], ErrResponseTimeout)) // the second one since the data
	table.RecordData(b[2])
	is.Equal(tiers(table, snap, b[0], b[1], b[3])["b"], tierHealthy)
}

func TestIsolatedDataCentreKeepsToItself(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(16, "a", "b", "c", "d")
	clock.Advance(time.Minute)
	var failed []*catalog.Upstream
	for _, dc := range []string{"b", "c"} {
		for _, u := range in(snap, dc)[:2] {
			table.RecordBrokenResponse(u, ErrResponseTimeout)
			failed = append(failed, u)
		}
	}
	is.Equal(tiers(table, snap, failed...), map[string]int{"a": tierHealthy, "b": tierSuspect, "c": tierSuspect, "d": tierSuspect})
	table.RecordResponseStart(in(snap, "d")[0])
	is.Equal(tiers(table, snap, failed...)["d"], tierHealthy)
}

// An attempt at an upstream that stays silent costs a request more than one at an upstream that refuses connections.
func TestSilentUpstreamIsSuspectLonger(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	snap := snapshotOf(2, "a")
	refusing, silent := snap.Upstreams["s"][0], snap.Upstreams["s"][1]
	table.RecordConnectFailure(refusing, errors.New("refused"))
	table.RecordConnectFailure(silent, ErrResponseTimeout)
	suspects := func() (n int) {
		for _, state := range table.State() {
			if state.Suspect {
				n++
			}
		}
		return n
	}
	is.Equal(suspects(), 2)
	clock.Advance(minSuspectTime)
	is.Equal(suspects(), 1)
	clock.Advance((timeoutFactor - 1) * minSuspectTime)
	is.Equal(suspects(), 0)
}
