package balance

import (
	"encoding/json"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a state dump that shares memory with statistics which change after the table's lock is released.
func TestStateIsEncodedWhileLimitsChange(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	table.RecordRequestLimit(u, perSecond(1))
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := range 1000 {
			table.RecordRequestLimit(u, perSecond(float64(i)))
		}
	})
	for range 1000 {
		_, err := json.Marshal(table.State())
		is.NoErr(err)
	}
	writer.Wait()
}

// Guards against an entry of the state dump that follows what the upstream says later.
func TestStateKeepsLimitOfItsMoment(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	u := snapshotOf(1, "a").Upstreams["s"][0]
	table.RecordRequestLimit(u, perSecond(4))
	state := table.State()
	table.RecordRequestLimit(u, perSecond(9))
	is.Equal(*state[0].RequestLimit, 4.0)
}
