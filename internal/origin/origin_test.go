package origin

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// record returns the record of a stream of service s that can be continued for the given time.
func record(clock clockwork.Clock, stream StreamID, version string, left time.Duration) Record {
	return Record{Stream: stream, Origin: Origin{Service: "s", Version: version}, Expires: clock.Now().Add(left)}
}

// Guards against origins that outlive their streams, so that an ID that is used again is bound to an old version.
func TestRecordsExpire(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Add(record(clock, 1, "1", time.Second))
	table.AddOwn(record(clock, 2, "1", 3*time.Second))
	clock.Advance(time.Second - 1)
	_, ok := table.Find(1)
	is.True(ok)
	clock.Advance(1)
	_, ok = table.Find(1)
	is.True(!ok)
	table.Add(record(clock, 3, "1", time.Hour)) // drops what has expired
	is.Equal(table.Len(), 2)
	clock.Advance(3 * time.Second)
	is.Equal(len(table.TakeUnshared(10)), 0) // an expired stream is not shared
	clock.Advance(maxLifetime - 3*time.Second)
	_, ok = table.Find(3)
	is.True(!ok) // whatever another host claims
}

// Guards against a table that grows without bound, and against one that drops the newest records.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	const overflow = 3
	for i := range maxRecords + overflow {
		table.AddOwn(record(clock, StreamID(i), "1", time.Minute))
	}
	is.Equal(table.Len(), maxRecords)
	for i := range StreamID(overflow) {
		_, ok := table.Find(i)
		is.True(!ok)
	}
	for _, i := range []StreamID{overflow, maxRecords + overflow - 1} {
		_, ok := table.Find(i)
		is.True(ok)
	}
	is.Equal(len(table.TakeUnshared(2*maxRecords)), maxRecords) // dropped records are not shared
}

// Guards against bookkeeping that drifts apart from the records, over any sequence of operations.
func TestTableKeepsOneEntryPerRecord(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	random := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		r := record(clock, StreamID(random.IntN(300)), "1", time.Duration(random.IntN(5000))*time.Millisecond)
		if random.IntN(2) == 0 {
			table.Add(r)
		} else {
			table.AddOwn(r)
		}
		clock.Advance(time.Duration(random.IntN(50)) * time.Millisecond)
		is.Equal(len(table.order), len(table.records))
		for stream := range table.unshared {
			_, ok := table.records[stream]
			is.True(ok)
		}
	}
}

// Guards against a record that is dropped early because another host tells of the stream late, or for a shorter time.
func TestKnownRecordIsRefreshed(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second time.Duration
	}{
		{"longer", time.Second, 5 * time.Second},
		{"shorter", 5 * time.Second, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			table := NewTable(clock)
			table.Add(record(clock, 1, "1", tt.first))
			table.Add(record(clock, 1, "1", tt.second))
			is.Equal(table.Len(), 1)
			clock.Advance(5*time.Second - 1)
			_, ok := table.Find(1)
			is.True(ok)
			clock.Advance(1)
			_, ok = table.Find(1)
			is.True(!ok)
		})
	}
}

// Guards against streams that are never told to other hosts, told over and over, or told all at once.
func TestEachOwnStreamIsTakenOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	const own, limit = 25, 10
	for i := range StreamID(own) {
		table.AddOwn(record(clock, i, "1", time.Minute))
	}
	table.Add(record(clock, 100, "1", time.Minute)) // of another host
	taken := map[StreamID]bool{}
	for _, want := range []int{limit, limit, own - 2*limit, 0} {
		list := table.TakeUnshared(limit)
		is.Equal(len(list), want)
		for _, r := range list {
			is.True(!taken[r.Stream])
			taken[r.Stream] = true
		}
	}
	is.True(!taken[100])
	_, ok := table.Find(0)
	is.True(ok) // a shared record stays
}
