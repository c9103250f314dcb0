package promptblame

import (
	"cmp"
	"slices"
	"time"
)

// maxRecordAttempts, maxRecordClearances and maxRecordBlames bound the records in one message.
const (
	maxRecordAttempts   = 24
	maxRecordClearances = 32
	maxRecordBlames     = 16
)

// Records is what hosts tell each other.
type Records struct {
	Attempts   []Attempt
	Clearances []Clearance
	Blames     []Blame
}

// Records returns the attempts of the longest runs, the latest clearances and the latest blames.
func (t *Table) Records() Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return Records{
		Attempts: t.mostSuspect(), Clearances: last(t.clearances, maxRecordClearances), Blames: last(t.blames, maxRecordBlames),
	}
}

// mostSuspect returns the attempts that no blame explains and whose segments are in most of these, the latest ones first.
// The caller holds mu.
func (t *Table) mostSuspect() []Attempt {
	list := slices.DeleteFunc(slices.Clone(t.attempts), func(a Attempt) bool { return t.blameOf(a) >= 0 })
	counts := map[uint64]int{}
	for i := range list {
		for _, segment := range list[i].Segments {
			counts[segment]++
		}
	}
	most := func(a Attempt) int {
		n := 0
		for _, segment := range a.Segments {
			n = max(n, counts[segment])
		}
		return n
	}
	slices.SortStableFunc(list, func(a, b Attempt) int {
		return cmp.Or(cmp.Compare(most(b), most(a)), b.CrashedAt.Compare(a.CrashedAt))
	})
	return list[:min(len(list), maxRecordAttempts)]
}

func last[T any](list []T, n int) []T { return slices.Clone(list[max(0, len(list)-n):]) }

// Merge merges the records of another host.
func (t *Table) Merge(r Records) {
	t.mu.Lock()
	t.expire()
	blamed := false
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
