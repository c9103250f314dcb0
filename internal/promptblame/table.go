// Package promptblame finds prompt segments that crash upstreams.
//
// An upstream may crash whenever it begins to answer a prompt that has a certain segment, whatever else the request
// holds. The requests differ, so that no single one is sent again, and each crash also ends the requests that ran beside
// it. A segment is blamed once a run of attempts with it crashed their upstreams, one after another, none of them was
// answered, and chance does not explain that. Requests with the blamed segments are then refused by all hosts, for a
// limited time.
//
// An answer clears the segments of its prompt once it is complete or has gone on for so long that a crash is no longer one of
// its beginning. Hosts exchange attempts, clearances and blames in gossip digests.
package promptblame

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	// attemptLifetime is how long an attempt counts, and how long a clearance is kept.
	attemptLifetime = time.Minute
	// duplicateWindow is the time within which two crashes of one upstream are the same crash.
	duplicateWindow = 2 * time.Second
	// maxAttempts, maxClearances and maxBlames bound the table. The oldest entries are dropped first.
	maxAttempts   = 1024
	maxClearances = 1024
	maxBlames     = 64
	// maxSegments bounds the segments of an attempt. Further segments are not examined.
	maxSegments = 16
)

// Attempt is a send of a request whose upstream crashed before it had answered.
type Attempt struct {
	// Segments are the hashes of the prompt segments that may have caused the crash, at one stage.
	Segments []uint64
	// Request is the fingerprint of the request's content.
	Request uint64
	// Upstream is the hash of the upstream's ID.
	Upstream  uint64
	CrashedAt time.Time
	// own is set if this host sent the request.
	own bool
}

func (a Attempt) time() time.Time { return a.CrashedAt }

// stage returns the stage at which the attempt counts against its segments.
func (a Attempt) stage() Stage {
	if len(a.Segments) == 0 {
		return Answered
	}
	return stageOf(a.Segments[0])
}

// crash returns the crash that ended the attempt.
func (a Attempt) crash() crash { return crash{a.Upstream, a.CrashedAt} }

// Blame refuses the requests whose prompts have all of its segments.
type Blame struct {
	// Segments are the segments that at least half of the attempts of the run have, in ascending order.
	Segments []uint64
	// Since is when the first attempt of the run crashed. A later answer to a prompt with a segment clears the segment.
	Since time.Time
	// Until is when the blame ends.
	Until time.Time
	// Duration is how long the blame lasts in all.
	Duration time.Duration
}

// Clearance says that an upstream answered a prompt with the segment.
type Clearance struct {
	Segment uint64
	At      time.Time
}

func (c Clearance) time() time.Time { return c.At }

// insertByTime inserts the record into a list that is ordered by time, oldest first. If the list is then longer than the
// limit, the oldest record is dropped.
func insertByTime[T interface{ time() time.Time }](list []T, record T, limit int) []T {
	i := len(list)
	for i > 0 && list[i-1].time().After(record.time()) {
		i--
	}
	list = slices.Insert(list, i, record)
	if len(list) > limit {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// Table holds what this host has observed or received. It is safe for concurrent use.
type Table struct {
	// host identifies this run of the host's process.
	host  uint64
	clock clockwork.Clock
	log   zerolog.Logger
	// onBlame is called after each blame that is new to this host.
	onBlame func()

	mu sync.Mutex
	// attempts is ordered by the time of the crash, oldest first.
	attempts []Attempt
	// unjudged are the attempts that do not count yet, in the same order.
	unjudged []Attempt
	// clearances is ordered by time, oldest first, with one entry for each segment.
	clearances []Clearance
	// clearedAt holds the times of clearances by segment.
	clearedAt map[uint64]time.Time
	blames    []Blame
	answers   answerLog
	outcomes  [stageCount]outcomes
	// reports holds the latest report of each other host, oldest first.
	reports []*Report
}

// NewTable returns an empty table of the host, whose identity differs with each run of its process.
func NewTable(host uint64, clock clockwork.Clock, log zerolog.Logger) *Table {
	return &Table{host: host, clock: clock, log: log, onBlame: func() {}, clearedAt: map[uint64]time.Time{}}
}

// OnBlame sets the function that is called after each blame that is new to this host. It is called before the table is
// used.
func (t *Table) OnBlame(f func()) { t.onBlame = f }

// Check returns how long requests with these segments are still refused, or 0 if they are not. An answer to the request itself
// may have passed some stages before.
func (t *Table) Check(segments []uint64, passed Stage) time.Duration {
	t.mu.Lock()
	blamed := t.judgeDue()
	left := t.blameLeft(segments, passed)
	t.mu.Unlock()
	if blamed {
		t.onBlame()
	}
	return left
}

// blameLeft returns the longest time left of the blames of these segments. The caller holds mu.
func (t *Table) blameLeft(segments []uint64, passed Stage) time.Duration {
	if len(t.blames) == 0 {
		return 0
	}
	now := t.clock.Now()
	var left time.Duration
	for stage := passed; stage < Answered; stage++ {
		at := stage.ofAll(segments)
		for _, b := range t.blames {
			if containsAll(at, b.Segments) {
				left = max(left, b.Until.Sub(now))
			}
		}
	}
	return left
}

// RecordPassed records that the answer to a prompt with these segments has come from one stage to another without a crash,
// which clears the segments at the stages in between.
func (t *Table) RecordPassed(segments []uint64, from, to Stage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for stage := from; stage < to; stage++ {
		t.outcomes[stage].addAnswered(now)
		for _, segment := range stage.ofAll(segments) {
			t.answers.record(segment, now)
			if t.isSuspect(segment) {
				t.clear(Clearance{Segment: segment, At: now})
			}
		}
	}
}

// Lift clears the segment on behalf of an operator, at all stages and on all hosts.
func (t *Table) Lift(segment uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for stage := Beginning; stage < Answered; stage++ {
		t.clear(Clearance{Segment: stage.of(segment), At: t.clock.Now()})
	}
}

// isSuspect reports whether the table holds an attempt or a blame with the segment. The caller holds mu.
func (t *Table) isSuspect(segment uint64) bool {
	for i := range t.attempts {
		if slices.Contains(t.attempts[i].Segments, segment) {
			return true
		}
	}
	return slices.ContainsFunc(t.blames, func(b Blame) bool { return slices.Contains(b.Segments, segment) })
}

// RecordCrash records an attempt of this host, whose answer had passed the stages before the given one.
func (t *Table) RecordCrash(a Attempt, stage Stage) {
	t.mu.Lock()
	t.expire()
	blamed, isExplained := false, slices.ContainsFunc(t.explainedCrashes(), a.crash().is)
	for ; stage < Answered; stage++ {
		at := a
		at.Segments, at.own = stage.ofAll(a.Segments), true
		if t.blameOf(at) < 0 && !isExplained {
			t.outcomes[stage].addCrashed(at.crash())
		}
		blamed = t.add(at) || blamed
	}
	t.mu.Unlock()
	if blamed {
		t.onBlame()
	}
}

// add inserts the attempt and reports whether it leads to a new blame. The caller holds mu.
func (t *Table) add(a Attempt) bool {
	t.tellAnswers(a)
	a.Segments = t.uncleared(a.Segments[:min(len(a.Segments), maxSegments)], a.CrashedAt)
	if t.clock.Since(a.CrashedAt) >= attemptLifetime || t.isKnown(a) || !t.attribute(&a, t.explainedCrashes()) {
		return false
	}
	t.attempts = insertByTime(t.attempts, a, maxAttempts)
	t.unjudged = insertByTime(t.unjudged, a, maxAttempts)
	return t.judgeDue()
}

// tellAnswers clears the segments of an attempt that this host has seen answered since, so that others hear of it. An answer
// clears only segments that were suspect when it came. The caller holds mu.
func (t *Table) tellAnswers(a Attempt) {
	for _, segment := range a.Segments[:min(len(a.Segments), maxSegments)] {
		if at := t.answers.last(segment); !at.Before(a.CrashedAt) {
			t.clear(Clearance{Segment: segment, At: at})
		}
	}
}

// uncleared returns the segments that no answer has cleared since then. The caller holds mu.
func (t *Table) uncleared(segments []uint64, since time.Time) []uint64 {
	return slices.DeleteFunc(slices.Clone(segments), func(segment uint64) bool {
		at, ok := t.clearedAt[segment]
		return ok && !at.Before(since) || !t.answers.last(segment).Before(since)
	})
}

// isKnown reports whether the table holds the same attempt already. The caller holds mu.
func (t *Table) isKnown(a Attempt) bool {
	return slices.ContainsFunc(t.attempts, func(known Attempt) bool {
		return known.Request == a.Request && known.stage() == a.stage() && known.crash().is(a.crash())
	})
}

// attribute removes the segments that are not suspect because a blame explains the crash. It reports whether any
// segments are left. The caller holds mu.
func (t *Table) attribute(a *Attempt, explained []crash) bool {
	if i := t.blameOf(*a); i >= 0 {
		a.Segments = slices.Clone(t.blames[i].Segments)
		return true
	}
	return len(a.Segments) > 0 && !slices.ContainsFunc(explained, a.crash().is)
}

// blameOf returns the index of a blame whose segments the attempt has, or -1. The caller holds mu.
func (t *Table) blameOf(a Attempt) int {
	return slices.IndexFunc(t.blames, func(b Blame) bool { return containsAll(a.Segments, b.Segments) })
}

// explainedCrashes returns the crashes that ended attempts with blamed segments. The caller holds mu.
func (t *Table) explainedCrashes() []crash {
	var list []crash
	if len(t.blames) == 0 {
		return list
	}
	for _, a := range t.attempts {
		if t.blameOf(a) >= 0 {
			list = append(list, a.crash())
		}
	}
	return list
}

// clear removes the segment from all older attempts and blames. The caller holds mu.
func (t *Table) clear(c Clearance) {
	if at, ok := t.clearedAt[c.Segment]; ok {
		if !at.Before(c.At) {
			return
		}
		t.clearances = slices.DeleteFunc(t.clearances, func(known Clearance) bool { return known.Segment == c.Segment })
	}
	if len(t.clearances) == maxClearances {
		delete(t.clearedAt, t.clearances[0].Segment)
		t.clearances = slices.Delete(t.clearances, 0, 1)
	}
	t.clearances, t.clearedAt[c.Segment] = insertByTime(t.clearances, c, maxClearances), c.At
	emptied := false
	for i := range t.attempts {
		if a := &t.attempts[i]; !a.CrashedAt.After(c.At) && slices.Contains(a.Segments, c.Segment) {
			a.Segments = without(a.Segments, c.Segment)
			emptied = emptied || len(a.Segments) == 0
		}
	}
	if emptied {
		t.attempts = slices.DeleteFunc(t.attempts, func(a Attempt) bool { return len(a.Segments) == 0 })
	}
	t.clearBlames(c)
}

// clearBlames removes the segment from the blames that are founded on older attempts. The caller holds mu.
func (t *Table) clearBlames(c Clearance) {
	for i := range t.blames {
		b := &t.blames[i]
		if !slices.Contains(b.Segments, c.Segment) || c.At.Before(b.Since) {
			continue
		}
		b.Segments = without(b.Segments, c.Segment)
		t.log.Info().Str("event", "prompt-cleared").Str("segment", format(c.Segment)).Str("left", formatList(b.Segments)).
			Dur("age_ms", t.clock.Since(c.At)).Send()
	}
	t.blames = slices.DeleteFunc(t.blames, func(b Blame) bool { return len(b.Segments) == 0 })
}

// expire removes what is too old. The caller holds mu.
func (t *Table) expire() {
	now := t.clock.Now()
	t.attempts = slices.DeleteFunc(t.attempts, func(a Attempt) bool { return now.Sub(a.CrashedAt) >= attemptLifetime })
	t.clearances = slices.DeleteFunc(t.clearances, func(c Clearance) bool {
		expired := now.Sub(c.At) >= attemptLifetime
		if expired {
			delete(t.clearedAt, c.Segment)
		}
		return expired
	})
	t.blames = slices.DeleteFunc(t.blames, func(b Blame) bool { return now.Sub(b.Until) >= probation(b) })
	t.reports = slices.DeleteFunc(t.reports, func(r *Report) bool { return now.Sub(r.At) >= reportLifetime })
}

// containsAll reports whether the set holds all of the segments.
func containsAll(set, segments []uint64) bool {
	for _, segment := range segments {
		if !slices.Contains(set, segment) {
			return false
		}
	}
	return true
}

// without returns a copy of the segments that lacks one of them. Copies keep what was handed out to other goroutines
// unchanged.
func without(segments []uint64, segment uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(segments), func(s uint64) bool { return s == segment })
}
