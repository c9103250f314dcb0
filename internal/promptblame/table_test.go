package promptblame

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// The segments of the tests: deadly crashes upstreams, sound and rare are in the same prompts. The lowest bits of a segment hold
// a stage.
const (
	deadly = 1 << 2
	sound  = 2 << 2
	rare   = 3 << 2
)

// fixture is a table with a fake clock.
type fixture struct {
	*Table
	clock  *clockwork.FakeClock
	blamed int
	// attempts counts the attempts, each of which has an upstream of its own.
	attempts uint64
}

// newFixture returns a table of a host that has answered many other prompts.
func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.Table = NewTable(1, f.clock, zerolog.Nop())
	f.OnBlame(func() { f.blamed++ })
	for range 200 {
		f.RecordPassed([]uint64{1000}, Beginning, Answered)
	}
	f.clock.Advance(time.Second)
	return f
}

// attempt returns an attempt that crashes now.
func (f *fixture) attempt(request uint64, segments ...uint64) Attempt {
	f.attempts++
	return Attempt{Segments: segments, Request: request, Upstream: f.attempts, CrashedAt: f.clock.Now()}
}

// RecordCrash records an attempt whose answer had not begun.
func (f *fixture) RecordCrash(a Attempt) { f.Table.RecordCrash(a, Beginning) }

// Check returns how long prompts with the segments are refused.
func (f *fixture) Check(segments []uint64) time.Duration { return f.Table.Check(segments, Beginning) }

// crash records an attempt, and then lets time pass.
func (f *fixture) crash(request uint64, segments ...uint64) {
	f.RecordCrash(f.attempt(request, segments...))
	f.clock.Advance(300 * time.Millisecond)
}

// crashRun records a run that is long enough for a blame.
func (f *fixture) crashRun(segments ...uint64) {
	for i := range uint64(minRunLength) {
		f.crash(10+i, segments...)
	}
}

// Guards against blame without evidence, and against evidence without blame.
func TestBlameNeedsEvidence(t *testing.T) {
	tests := []struct {
		name   string
		record func(f *fixture)
		blamed bool
	}{
		{"run of different requests", func(f *fixture) { f.crashRun(deadly) }, true},
		{"run of two requests", func(f *fixture) {
			for i := range uint64(minRunLength) {
				f.crash(i%2, deadly)
			}
		}, true},
		{"upstreams that crash 30 ms apart, with a segment that was never answered", func(f *fixture) {
			for i := range uint64(minRunLength) {
				f.RecordCrash(f.attempt(i, deadly))
				f.clock.Advance(30 * time.Millisecond)
			}
		}, true},
		{"upstreams that crash 30 ms apart, beside three requests", func(f *fixture) {
			for i := range uint64(2 * (minDenseRequests - 1)) {
				f.RecordCrash(f.attempt(i/2, deadly))
				f.clock.Advance(30 * time.Millisecond)
			}
		}, false},
		{"upstreams that crash 30 ms apart, with a segment that was answered lately", func(f *fixture) {
			f.RecordPassed([]uint64{deadly}, Beginning, Answered)
			f.clock.Advance(time.Second)
			for i := range uint64(minRunLength) {
				f.RecordCrash(f.attempt(i, deadly))
				f.clock.Advance(30 * time.Millisecond)
			}
		}, false},
		{"a crash too few", func(f *fixture) {
			for i := range uint64(minRunLength - 1) {
				f.crash(i, deadly)
			}
		}, false},
		{"one request", func(f *fixture) {
			for range 3 * minRunLength {
				f.crash(1, deadly)
			}
		}, false},
		{"upstreams that crash together", func(f *fixture) {
			for i := range uint64(3 * minRunLength) {
				f.RecordCrash(f.attempt(i, deadly))
			}
		}, false},
		{"answer within the run", func(f *fixture) {
			f.crash(1, deadly)
			f.crash(2, deadly)
			f.RecordPassed([]uint64{deadly}, Beginning, Answered)
			f.crash(3, deadly)
			f.crash(4, deadly)
		}, false},
		{"crashes too old", func(f *fixture) {
			f.crash(1, deadly)
			f.crash(2, deadly)
			f.clock.Advance(attemptLifetime)
			f.crash(3, deadly)
			f.crash(4, deadly)
		}, false},
		{"crash that is received again", func(f *fixture) {
			a := f.attempt(1, deadly)
			for range 2 * minRunLength {
				f.Merge(Records{Attempts: []Attempt{a}})
				f.clock.Advance(150 * time.Millisecond)
			}
		}, false},
		{"half of the other attempts crash", func(f *fixture) {
			for i := range uint64(200) {
				f.RecordCrash(f.attempt(100+i, (1000+i)<<2))
			}
			f.crashRun(deadly)
		}, false},
		{"segment that this host has seen answered, by attempts of others", func(f *fixture) {
			f.RecordPassed([]uint64{deadly}, Beginning, Answered)
			for i := range uint64(3 * minRunLength) {
				f.clock.Advance(300 * time.Millisecond)
				f.Merge(Records{Attempts: []Attempt{f.attempt(i, deadly)}})
			}
		}, false},
		{"segment that this host has seen answered, by its own attempts", func(f *fixture) {
			f.RecordPassed([]uint64{deadly}, Beginning, Answered)
			f.clock.Advance(time.Second)
			f.crashRun(deadly)
		}, true},
		{"attempts of others", func(f *fixture) {
			for i := range uint64(minRunLength) {
				f.clock.Advance(300 * time.Millisecond)
				f.Merge(Records{Attempts: []Attempt{f.attempt(i, deadly)}})
			}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			tt.record(f)
			is.Equal(f.Check([]uint64{sound, deadly}) > 0, tt.blamed)
			is.Equal(f.Check([]uint64{sound}), time.Duration(0))
			is.Equal(f.blamed > 0, tt.blamed)
		})
	}
}

// Guards against sound segments that are refused because they are in the prompts of deadly requests, or were running
// beside them.
func TestOnlyDeadlySegmentIsBlamed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crashRun(sound, deadly)
	is.True(f.Check([]uint64{sound, deadly}) > 0)
	is.Equal(f.Check([]uint64{sound}), time.Duration(0)) // either of the two may be the cause
	is.Equal(f.Check([]uint64{deadly}), time.Duration(0))
	f.RecordPassed([]uint64{sound}, Beginning, Answered)
	is.True(f.Check([]uint64{deadly}) > 0)
	is.Equal(f.Check([]uint64{sound}), time.Duration(0))

	// Crashes that the blame explains do not count against what ran beside them.
	for i := range uint64(3 * minRunLength) {
		a := f.attempt(100+i, deadly)
		beside := f.attempt(200+i, rare)
		beside.Upstream = a.Upstream
		f.Merge(Records{Attempts: []Attempt{a, beside}})
		f.clock.Advance(300 * time.Millisecond)
	}
	is.Equal(f.Check([]uint64{rare}), time.Duration(0))
}

// Guards against a sound segment that is blamed alone, because it was in the prompts of most deadly requests and once ran
// beside another crash.
func TestSegmentThatIsMostlyBesideDeadlyOneIsNotBlamedAlone(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range uint64(minRunLength - 1) {
		f.crash(i, sound, deadly)
	}
	f.crash(100, sound)
	is.Equal(f.Check([]uint64{sound}), time.Duration(0))
	is.True(f.Check([]uint64{sound, deadly}) > 0)
	// The deadly one is found as soon as it crashes upstreams beside other segments.
	for i := range uint64(minRunLength) {
		f.crash(200+i, (300+i)<<2, deadly)
	}
	is.True(f.Check([]uint64{deadly}) > 0)
	is.Equal(f.Check([]uint64{sound}), time.Duration(0))
}

func TestBlameEndsAndIsRenewedByOneCrash(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crashRun(deadly)
	f.clock.Advance(blameDuration)
	is.Equal(f.Check([]uint64{deadly}), time.Duration(0))
	for want := 2 * blameDuration; want <= 2*maxBlameDuration; want *= 2 {
		f.crash(99, deadly)
		left := f.Check([]uint64{deadly})
		is.True(left > min(want, maxBlameDuration)-time.Second && left <= min(want, maxBlameDuration))
		f.clock.Advance(min(want, maxBlameDuration))
		is.Equal(f.Check([]uint64{deadly}), time.Duration(0))
	}
	f.clock.Advance(2 * maxBlameDuration)
	f.crash(99, deadly)
	is.Equal(f.Check([]uint64{deadly}), time.Duration(0)) // the probation has ended as well
}

func TestAnswerEndsBlame(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crashRun(deadly)
	f.RecordPassed([]uint64{deadly}, Beginning, Answered)
	is.Equal(f.Check([]uint64{deadly}), time.Duration(0))
	is.Equal(len(f.State().Blames), 0)
}

// Guards against a blame that outlasts an answer of which this host hears later.
func TestAnswerDuringRunEndsBlame(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crash(1, deadly)
	between := f.clock.Now()
	f.crash(2, deadly)
	f.crashRun(deadly)
	is.True(f.Check([]uint64{deadly}) > 0)
	f.Merge(Records{Clearances: []Clearance{{Segment: deadly, At: between}}})
	is.Equal(f.Check([]uint64{deadly}), time.Duration(0))
}

// Guards against a run that counts as evidence against itself.
func TestManyAttemptsOfRunDoNotRaiseItsChance(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.RecordPassed([]uint64{deadly}, Beginning, Answered)
	f.clock.Advance(time.Second)
	for i := range uint64(minRunLength) {
		a := f.attempt(0, deadly)
		for j := range uint64(50) {
			a.Request = 100*i + j
			f.RecordCrash(a)
		}
		f.clock.Advance(300 * time.Millisecond)
	}
	is.True(f.Check([]uint64{deadly}) > 0)
}

func TestBlameOfAnotherHostEndsInTime(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	now := f.clock.Now()
	f.Merge(Records{Blames: []Blame{{Segments: []uint64{deadly}, Since: now, Until: now.Add(24 * time.Hour), Duration: time.Minute}}})
	is.Equal(f.Check([]uint64{deadly}), maxBlameDuration)
}

func TestClearancesAreMergedByTime(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crash(1, deadly)
	f.RecordPassed([]uint64{sound}, Beginning, Answered)
	is.Equal(f.State().Clearances, 0) // nothing is held against the segment

	early := Clearance{Segment: rare, At: f.clock.Now()}
	f.clock.Advance(time.Second)
	between := f.attempt(2, rare)
	f.clock.Advance(time.Second)
	late := Clearance{Segment: rare, At: f.clock.Now()}
	f.Merge(Records{Clearances: []Clearance{early}})
	f.Merge(Records{Attempts: []Attempt{between}})
	is.Equal(len(f.attemptsOf(rare)), 1)
	f.Merge(Records{Clearances: []Clearance{early}})
	is.Equal(len(f.attemptsOf(rare)), 1) // it crashed later
	f.Merge(Records{Clearances: []Clearance{late}})
	is.Equal(len(f.attemptsOf(rare)), 0)
	f.Merge(Records{Clearances: []Clearance{early}})
	f.Merge(Records{Attempts: []Attempt{between}})
	is.Equal(len(f.attemptsOf(rare)), 0)
}

func TestOperatorLiftsBlameOnAllHosts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	other := NewTable(1, f.clock, zerolog.Nop())
	f.crashRun(deadly)
	other.Merge(f.Records())
	f.Lift(deadly)
	other.Merge(f.Records())
	is.Equal(f.Check([]uint64{deadly}), time.Duration(0))
	is.Equal(other.Check([]uint64{deadly}, Beginning), time.Duration(0))
}

// Guards against a blame or a clearance that stays with one host.
func TestHostsExchangeBlamesAndClearances(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	other := NewTable(1, f.clock, zerolog.Nop())
	f.crashRun(sound, deadly)
	other.Merge(f.Records())
	is.True(other.Check([]uint64{sound, deadly}, Beginning) > 0)
	f.RecordPassed([]uint64{sound}, Beginning, Answered)
	other.Merge(f.Records())
	is.True(other.Check([]uint64{deadly}, Beginning) > 0)
	f.RecordPassed([]uint64{deadly}, Beginning, Answered)
	other.Merge(f.Records())
	is.Equal(other.Check([]uint64{deadly}, Beginning), time.Duration(0))
}

func TestBlameOfAnotherHostIsDisputedByAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crashRun(rare)
	other := &fixture{clock: f.clock, Table: NewTable(1, f.clock, zerolog.Nop())}
	f.clock.Advance(-2 * time.Second)
	other.RecordPassed([]uint64{rare}, Beginning, Answered) // before the first crash
	f.clock.Advance(2 * time.Second)
	other.Merge(f.Records())
	is.Equal(other.Check([]uint64{rare}), time.Duration(0))
	// With crashes of its own, the host joins in.
	for i := range uint64(minOwnCrashes) {
		a := f.attempt(50+i, rare)
		other.RecordCrash(a)
		f.clock.Advance(200 * time.Millisecond)
	}
	other.Merge(f.Records())
	is.True(other.Check([]uint64{rare}) > 0)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range uint64(2 * maxClearances) {
		f.RecordCrash(f.attempt(i, (5000+i)<<2))
		f.RecordPassed([]uint64{(5000 + i) << 2}, Beginning, Answered)
	}
	for i := range uint64(2 * maxAttempts) {
		f.RecordCrash(f.attempt(i, (20000+i)<<2))
	}
	for i := range uint64(3 * answersPerGeneration) {
		f.RecordPassed([]uint64{(50000 + i) << 2}, Beginning, Answered)
	}
	var many []uint64
	for i := range uint64(10 * maxSegments) {
		many = append(many, (100000+i)<<2)
	}
	f.RecordCrash(f.attempt(1, many...))
	for i := range uint64(2 * maxBlames) {
		now := f.clock.Now()
		f.Merge(Records{Blames: []Blame{{Segments: []uint64{(200000 + i) << 2}, Since: now, Until: now.Add(time.Minute), Duration: time.Minute}}})
	}
	state := f.State()
	is.Equal(state.Attempts, maxAttempts)
	is.Equal(state.Clearances, maxClearances)
	is.Equal(len(state.Blames), maxBlames)
	is.True(len(f.answers.current)+len(f.answers.previous) <= 2*answersPerGeneration)
	for _, a := range f.attemptsOf(many[0]) {
		is.Equal(len(a.Segments), maxSegments)
	}
	r := f.Records()
	is.Equal([]int{len(r.Attempts), len(r.Clearances), len(r.Blames)}, []int{maxRecordAttempts, maxRecordClearances, maxRecordBlames})
}

// attemptsOf returns the attempts with the segment.
func (f *fixture) attemptsOf(segment uint64) []Attempt {
	var list []Attempt
	for _, a := range f.Table.attempts {
		if containsAll(a.Segments, []uint64{segment}) {
			list = append(list, a)
		}
	}
	return list
}

// The longest runs must travel even when many other requests ran on upstreams that crashed.
func TestRecordsHoldTheLongestRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crash(1, deadly)
	f.crash(2, deadly)
	for i := range uint64(3 * maxRecordAttempts) {
		f.crash(10+i, (500+i)<<2)
	}
	r := f.Records()
	for i := range 2 * stageCount { // both attempts, at each stage
		is.Equal(len(r.Attempts[i].Segments), 1)
		is.Equal(r.Attempts[i].Segments[0]&^stageMask, uint64(deadly))
	}
}

// Guards against records that arrive out of order and count as newer than they are, and against lists without bound.
func TestRecordsAreInsertedByTime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var list []Clearance
	for i, second := range []int{5, 2, 9, 5, 1, 7} {
		list = insertByTime(list, Clearance{Segment: uint64(i), At: start.Add(time.Duration(second) * time.Second)}, 4)
	}
	var segments []uint64
	for _, c := range list {
		segments = append(segments, c.Segment)
	}
	is.Equal(segments, []uint64{0, 3, 5, 2}) // of two at the same time, the one that arrived first
}

// Guards against a message that leaves out attempts of the longest runs, or tells them in an order of chance.
func TestRecordsHoldMostSuspectAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		for i := range uint64(rapid.IntRange(0, 3*maxRecordAttempts).Draw(t, "attempts")) {
			segments := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 9), 1, 4, rapid.ID).Draw(t, "segments")
			at := f.clock.Now().Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Second)
			f.Table.attempts = insertByTime(f.Table.attempts, Attempt{Segments: segments, Request: i, CrashedAt: at}, maxAttempts)
		}
		f.insertBlame(Blame{Segments: []uint64{1, 2}, Until: f.clock.Now().Add(time.Hour), Duration: time.Minute})
		want := slices.DeleteFunc(slices.Clone(f.Table.attempts), func(a Attempt) bool { return f.blameOf(a) >= 0 })
		counts := map[uint64]int{}
		for _, a := range want {
			for _, s := range a.Segments {
				counts[s]++
			}
		}
		most := func(a Attempt) int {
			n := 0
			for _, s := range a.Segments {
				n = max(n, counts[s])
			}
			return n
		}
		slices.SortStableFunc(want, func(a, b Attempt) int {
			return cmp.Or(cmp.Compare(most(b), most(a)), b.CrashedAt.Compare(a.CrashedAt))
		})
		got := f.Records().Attempts
		want = want[:min(len(want), maxRecordAttempts)]
		if !slices.EqualFunc(got, want, func(a, b Attempt) bool { return a.Request == b.Request }) {
			t.Fatalf("records have %v, should have %v", got, want)
		}
	})
}

// Guards against a deadly segment that is not blamed because each host has seen few answers (BUDGET). Pattern: ten hosts with
// three answers each, of which one hears of four crashes.
func TestAnswersOfOtherHostsFoundBlame(t *testing.T) {
	for _, tt := range []struct {
		name    string
		crashed int
		reports bool
		blamed  bool
	}{{"answers of other hosts", 0, true, true}, {"no reports", 0, false, false}, {"crashes of other prompts at other hosts", 2, true, false}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fixture{clock: clockwork.NewFakeClock()}
			f.Table = NewTable(1, f.clock, zerolog.Nop())
			f.clock.Advance(time.Second)
			others := make([]*fixture, 9)
			for i := range others {
				others[i] = &fixture{clock: f.clock, Table: NewTable(uint64(i+2), f.clock, zerolog.Nop())}
			}
			for _, host := range append(others, f) {
				for range 3 {
					host.RecordPassed([]uint64{1000}, Beginning, Answered)
				}
			}
			f.clock.Advance(2 * time.Second)
			for i, host := range others {
				for range tt.crashed {
					host.RecordCrash(host.attempt(uint64(100+i), 1000, rare))
				}
				host.Merge(Records{Attempts: []Attempt{host.attempt(50, 2000)}}) // reports are sent while there are attempts
				if r := host.Records(); tt.reports {
					f.Merge(Records{Reports: r.Reports})
				}
			}
			f.crashRun(deadly)
			is.Equal(f.Check([]uint64{deadly}) > 0, tt.blamed)
		})
	}
}

// Reports of other hosts are bounded, replaced by later ones and expire; a host does not take its own from others.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.crash(1, deadly)
	report := func(host uint64, answered int) *Report {
		r := &Report{Host: host, At: f.clock.Now()}
		r.Answered[0] = answered
		return r
	}
	for host := range uint64(maxReports + 10) {
		f.Merge(Records{Reports: []*Report{report(host, 1)}})
	}
	is.Equal(len(f.reports), maxReports)
	is.Equal(len(f.Records().Reports), maxRecordReports)
	is.True(!slices.ContainsFunc(f.reports, func(r *Report) bool { return r.Host == 1 }))
	f.clock.Advance(time.Second)
	older := report(maxReports, 3)
	f.clock.Advance(time.Second)
	f.Merge(Records{Reports: []*Report{report(maxReports, 2), older}})
	is.Equal(len(f.reports), maxReports)
	is.Equal(f.reports[maxReports-1].Answered[0], 2)
	f.clock.Advance(reportLifetime)
	is.Equal(len(f.Records().Reports), 1) // its own
	is.Equal(len(f.reports), 0)
}
