package quarantine

import (
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
