package promptblame

import (
	"cmp"
	"slices"
	"time"
)

// maxRecordAttempts, maxRecordClearances and maxRecordBlames bound the records in one message.
const (
	maxRecordAttempts   = 64
	maxRecordClearances = 96
	maxRecordBlames     = 16
)

// Records is what hosts tell each other.
type Records struct {
	Attempts   []Attempt
	Clearances []Clearance
	Blames     []Blame
	Reports    []*Report
}

// Records returns the attempts of the longest runs, and the latest clearances, blames and reports.
func (t *Table) Records() Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return Records{
		Attempts: t.mostSuspect(), Clearances: last(t.clearances, maxRecordClearances), Blames: last(t.blames, maxRecordBlames),
		Reports: t.recentReports(),
	}
}

// suspect is an attempt with the number of attempts that its most frequent segment has.
type suspect struct {
	attempt *Attempt
	count   int
}

// compare orders suspects by descending count and then by descending time.
func (s suspect) compare(other suspect) int {
	return cmp.Or(cmp.Compare(other.count, s.count), other.attempt.CrashedAt.Compare(s.attempt.CrashedAt))
}

// mostSuspect returns the attempts that no blame explains and whose segments are in most of these, the latest ones first.
// The caller holds mu.
func (t *Table) mostSuspect() []Attempt {
	unexplained := make([]*Attempt, 0, len(t.attempts))
	counts := map[uint64]int{}
	for i := range t.attempts {
		a := &t.attempts[i]
		if t.blameOf(*a) >= 0 {
			continue
		}
		unexplained = append(unexplained, a)
		for _, segment := range a.Segments {
			counts[segment]++
		}
	}
	first := make([]suspect, 0, maxRecordAttempts)
	for _, a := range slices.Backward(unexplained) { // so that of equal ones the earlier one comes first
		s := suspect{attempt: a}
		for _, segment := range a.Segments {
			s.count = max(s.count, counts[segment])
		}
		if at, _ := slices.BinarySearchFunc(first, s, suspect.compare); at < maxRecordAttempts {
			first = slices.Insert(first[:min(len(first), maxRecordAttempts-1)], at, s)
		}
	}
	list := make([]Attempt, len(first))
	for i, s := range first {
		list[i] = *s.attempt
	}
	return list
}

func last[T any](list []T, n int) []T { return slices.Clone(list[max(0, len(list)-n):]) }

// Merge merges the records of another host.
func (t *Table) Merge(r Records) {
	t.mu.Lock()
	t.expire()
	blamed := false
	for _, report := range r.Reports {
		t.mergeReport(report)
	}
	for _, c := range r.Clearances {
		if t.clock.Since(c.At) < attemptLifetime {
			t.clear(c)
		}
	}
	for _, b := range r.Blames {
		blamed = t.mergeBlame(b) || blamed
	}
	for _, a := range r.Attempts {
		a.own = false
		blamed = t.add(a) || blamed
	}
	t.mu.Unlock()
	if blamed {
		t.onBlame()
	}
}

// mergeBlame merges a blame of another host and reports whether it is new or renewed. The caller holds mu.
func (t *Table) mergeBlame(b Blame) bool {
	now := t.clock.Now()
	b.Segments = t.uncleared(b.Segments[:min(len(b.Segments), maxSegments)], b.Since)
	if latest := now.Add(maxBlameDuration); b.Until.After(latest) {
		b.Until = latest
	}
	if len(b.Segments) == 0 || t.disputes(b) || now.Sub(b.Until) >= probation(b) {
		return false
	}
	i := slices.IndexFunc(t.blames, func(known Blame) bool { return containsAll(b.Segments, known.Segments) })
	if i >= 0 && !b.Until.After(t.blames[i].Until.Add(blameDuration/2)) {
		return false
	}
	t.log.Warn().Str("event", "prompt-blame-received").Str("segments", formatList(b.Segments)).Dur("run_age_ms", now.Sub(b.Since)).
		Dur("left_ms", b.Until.Sub(now)).Bool("renewed", i >= 0).Send()
	if i >= 0 {
		t.blames[i].Since, t.blames[i].Until, t.blames[i].Duration = b.Since, b.Until, b.Duration
		return true
	}
	t.insertBlame(b)
	return true
}

// disputes reports whether this host's own attempts do not support the blame: all its segments were answered lately, and
// hardly any crashed. The caller holds mu.
func (t *Table) disputes(b Blame) bool {
	for _, segment := range b.Segments {
		if !t.answeredLately(segment) || t.findRun(segment).attempts >= minOwnCrashes {
			return false
		}
	}
	return true
}

// BlameState is the entry of a blame in the state dump.
type BlameState struct {
	Segments []string      `json:"segments"`
	LeftNs   time.Duration `json:"left_ns"`
}

// State is the table's part of the state dump.
type State struct {
	Attempts   int          `json:"attempts"`
	Clearances int          `json:"clearances"`
	Blames     []BlameState `json:"blames"`
}

// State returns the blames, with how long they last, and the size of the table. A blame on probation has no time left.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	s := State{Attempts: len(t.attempts), Clearances: len(t.clearances), Blames: []BlameState{}}
	for _, b := range t.blames {
		s.Blames = append(s.Blames, BlameState{Segments: formatAll(b.Segments), LeftNs: max(0, b.Until.Sub(t.clock.Now()))})
	}
	return s
}
