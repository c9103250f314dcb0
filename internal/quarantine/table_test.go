package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

const fingerprint = 7

// crash is one step of a table test: a crash of the upstream after a wait.
type crash struct {
	after    time.Duration
	upstream string
}

func TestVerdictByCrashes(t *testing.T) {
	tests := []struct {
		name    string
		crashes []crash
		wait    time.Duration
		want    Verdict
	}{
		{"none", nil, 0, Clear},
		{"one crash", []crash{{0, "a"}}, 0, Suspect},
		{"one crash observed twice", []crash{{0, "a"}, {time.Second, "a"}}, 0, Suspect},
		{"two crashes of one upstream", []crash{{0, "a"}, {time.Minute, "a"}}, 0, Quarantined},
		{"crashes of two upstreams at once", []crash{{0, "a"}, {0, "b"}}, 0, Quarantined},
		{"one crash too old", []crash{{0, "a"}, {time.Minute, "b"}}, DefaultLimits.Lifetime - time.Minute, Suspect},
		{"both crashes too old", []crash{{0, "a"}, {time.Minute, "b"}}, DefaultLimits.Lifetime, Clear},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			table := NewTable(DefaultLimits, clock, nil)
			for _, c := range tt.crashes {
				clock.Advance(c.after)
				table.RecordCrash(fingerprint, c.upstream)
			}
			clock.Advance(tt.wait)
			got, _ := table.Check(fingerprint)
			is.Equal(got, tt.want)
			other, _ := table.Check(fingerprint + 1)
			is.Equal(other, Clear)
		})
	}
}

func TestHeldUntilOldestCrashExpires(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(DefaultLimits, clock, nil)
	table.RecordCrash(fingerprint, "a")
	clock.Advance(time.Minute)
	table.RecordCrash(fingerprint, "b")
	_, wait := table.Check(fingerprint)
	is.Equal(wait, DefaultLimits.Lifetime-time.Minute)
}

func TestRepeatedGossipCountsCrashOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	notified := 0
	from := NewTable(DefaultLimits, clock, nil)
	to := NewTable(DefaultLimits, clock, func() { notified++ })
	from.RecordCrash(fingerprint, "a")
	for range 5 {
		clock.Advance(time.Second)
		var d gossippb.Digest
		from.AppendState(&d)
		to.MergeState(&d)
	}
	verdict, _ := to.Check(fingerprint)
	is.Equal(verdict, Suspect)
	is.Equal(notified, 1)
}

func TestLiftedCrashesAreNotRestoredByGossip(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	other := NewTable(DefaultLimits, clock, nil)
	table := NewTable(DefaultLimits, clock, nil)
	other.RecordCrash(fingerprint, "a")
	other.RecordCrash(fingerprint, "b")
	var d gossippb.Digest
	other.AppendState(&d)
	table.MergeState(&d)
	clock.Advance(time.Second)
	table.Lift(fingerprint)
	table.MergeState(&d)
	verdict, _ := table.Check(fingerprint)
	is.Equal(verdict, Clear)
	clock.Advance(time.Second)
	table.RecordCrash(fingerprint, "c")
	verdict, _ = table.Check(fingerprint)
	is.Equal(verdict, Suspect)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(DefaultLimits, clock, nil)
	for i := range uint64(maxCrashes + 10) {
		clock.Advance(time.Millisecond)
		table.RecordCrash(i, "a")
	}
	is.Equal(len(table.State()), maxCrashes)
	oldest, _ := table.Check(0)
	is.Equal(oldest, Clear)
	newest, _ := table.Check(maxCrashes + 9)
	is.Equal(newest, Suspect)
	var d gossippb.Digest
	table.AppendState(&d)
	is.Equal(len(d.Strikes), maxDigestCrashes)
}

func TestExpiredCrashOfPeerIsIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultLimits, clockwork.NewFakeClock(), func() { t.Error("an expired crash was passed on") })
	table.MergeState(&gossippb.Digest{Strikes: []*gossippb.Strike{
		{Fingerprint: fingerprint, Upstream: 1, AgeMs: uint32(DefaultLimits.Lifetime.Milliseconds())},
		{Fingerprint: fingerprint, Upstream: 2, AgeMs: uint32(2 * DefaultLimits.Lifetime.Milliseconds())},
	}})
	got, _ := table.Check(fingerprint)
	is.Equal(got, Clear)
	is.Equal(len(table.State()), 0)
}

// spread returns different fingerprints that are spread like hashes.
func spread(i uint64) uint64 { return (i + 1) * 0x9e3779b97f4a7c15 }

// crashBeside records a crash of the upstream beside requests that run nowhere else.
func crashBeside(table *Table, first uint64, requests int, upstream string) {
	for i := range uint64(requests) {
		table.RecordCrash(spread(first+i), upstream)
	}
}

// Guards against digests that are filled by the sound requests of one crash, so that no host hears of a request that was
// running on several upstreams that crashed. Pattern: each host sees one of its crashes, and 300 sound requests beside it.
func TestRecordsOfRequestWithSeveralCrashesAreSentFirst(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var tables []*Table
	for i, upstream := range []string{"a", "b", "c"} {
		table := NewTable(Limits{CrashThreshold: 3, Lifetime: time.Minute}, clock, nil)
		table.RecordCrash(fingerprint, upstream)
		crashBeside(table, uint64(1000*i), 300, upstream)
		tables = append(tables, table)
		clock.Advance(500 * time.Millisecond)
	}
	suspected := 0
	for _, table := range tables {
		table.OnSuspect(func() { suspected++ })
	}
	for range 2 { // one round for the sets and one for the records
		for _, from := range tables {
			r := from.Records()
			is.True(len(r.Crashes) <= maxDigestCrashes)
			for _, to := range tables {
				to.Merge(r)
			}
		}
	}
	for _, table := range tables {
		verdict, _ := table.Check(fingerprint)
		is.Equal(verdict, Quarantined)
	}
	is.True(suspected >= len(tables))
}

// Guards against records that are never sent, because as many others of equal weight always go first. Pattern: ten requests
// ran on each of three upstreams that crashed.
func TestRecordsThatDoNotFitIntoOneDigestFollow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(Limits{CrashThreshold: 3, Lifetime: time.Minute}, clock, nil)
	for _, upstream := range []string{"a", "b", "c"} {
		crashBeside(table, 0, 10, upstream)
		clock.Advance(5 * time.Second)
	}
	other := NewTable(Limits{CrashThreshold: 3, Lifetime: time.Minute}, clock, nil)
	for range 2 { // digests, each with 16 of the 30 records
		other.Merge(table.Records())
	}
	for i := range uint64(10) {
		verdict, _ := other.Check(spread(i))
		is.Equal(verdict, Quarantined)
	}
}

// Guards against announcements that grow with the load: a host told others at once of each part of what it heard.
func TestNewsOfOtherHostsIsToldAtOnceOnlySoOften(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := NewTable(DefaultLimits, clock, nil), NewTable(DefaultLimits, clock, nil)
	told := 0
	to.OnSuspect(func() { told++ })
	hear := func(request uint64, upstreams ...string) {
		for _, upstream := range upstreams {
			from.RecordCrash(spread(request), upstream)
		}
		to.Merge(from.Records())
	}
	hear(1, "a", "b")
	is.Equal(told, 1)
	hear(2, "a", "b") // a moment later
	is.Equal(told, 1)
	clock.Advance(minRelayInterval)
	hear(2, "c") // it is quarantined here already
	is.Equal(told, 1)
	hear(3, "a", "b")
	is.Equal(told, 2)
	to.RecordCrash(spread(4), "a") // what the host sees itself
	to.RecordCrash(spread(4), "b")
	is.Equal(told, 3)
}

// A set has no false negatives, few false positives, a fixed size, and survives its encoding.
func TestCrashSet(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultLimits, clockwork.NewFakeClock(), nil)
	crashBeside(table, 0, 64, "a")
	sets := table.Records().Sets
	is.Equal(len(sets), 1)
	encoded := sets[0].EncodeRequests()
	is.Equal(len(encoded), setBits/8)
	decoded := NewCrashSet(sets[0].Upstream, sets[0].At, encoded)
	is.Equal(decoded, sets[0])
	wrong := 0
	for i := range uint64(100_064) {
		contains := decoded.requests.contains(spread(i))
		is.True(contains || i >= 64)
		if contains && i >= 64 {
			wrong++
		}
	}
	is.True(wrong <= 50) // one in 2,000
	is.Equal(NewCrashSet(1, time.Time{}, append(encoded, 1, 2, 3)).requests, decoded.requests)
	short := NewCrashSet(1, time.Time{}, encoded[:20])
	is.True(!short.requests.contains(spread(0)))
}

// Sets of crashes are bounded, expire, and of one crash there is one.
func TestCrashSetsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(DefaultLimits, clock, nil)
	for i := range 2 * maxSets {
		crashBeside(table, uint64(100*i), 3, fmt.Sprint(i))
		clock.Advance(time.Millisecond)
	}
	is.Equal(len(table.sets), maxSets)
	r := table.Records()
	is.Equal(len(r.Sets), maxDigestSets)
	is.Equal(r.Sets[maxDigestSets-1].At, clock.Now().Add(-time.Millisecond))
	table.Merge(r)
	is.Equal(len(table.sets), maxSets)
	clock.Advance(DefaultLimits.Lifetime)
	is.Equal(len(table.Records().Sets), 0)
}

// The cost of a digest with as many records as a large fleet has.
func BenchmarkRecords(b *testing.B) {
	table := NewTable(DefaultLimits, clockwork.NewFakeClock(), nil)
	for i := range 40 {
		crashBeside(table, uint64(250*i), 250, fmt.Sprint(i))
	}
	for b.Loop() {
		table.Records()
	}
}
