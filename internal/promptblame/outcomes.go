package promptblame

import (
	"slices"
	"time"
)

const (
	// outcomeSeconds is how long outcomes are kept: as long as the attempts of a run.
	outcomeSeconds = int64(attemptLifetime / time.Second)
	// minOutcomeTime is the least time over which outcomes are counted.
	minOutcomeTime = 10 * time.Second
	// maxCrashes bounds the crashes that are kept. The oldest are dropped first.
	maxCrashes = 256
)

// crash is a crash of an upstream.
type crash struct {
	upstream uint64
	at       time.Time
}

// is reports whether both are the same crash.
func (c crash) is(other crash) bool {
	return c.upstream == other.upstream && c.at.Sub(other.at).Abs() < duplicateWindow
}

// outcomes counts how the attempts of this host ended: they were answered, or the upstream crashed.
type outcomes struct {
	answered [outcomeSeconds]answeredCount
	// crashes is ordered by time, oldest first.
	crashes []crashCount
}

// answeredCount is the number of attempts that were answered in a second.
type answeredCount struct {
	second int64
	n      int
}

// crashCount is the number of attempts that ended with a crash.
type crashCount struct {
	crash
	n int
}

func (o *outcomes) addAnswered(now time.Time) {
	second := now.Unix()
	b := &o.answered[second%outcomeSeconds]
	if b.second != second {
		*b = answeredCount{second: second}
	}
	b.n++
}

func (o *outcomes) addCrashed(c crash) {
	if i := slices.IndexFunc(o.crashes, func(known crashCount) bool { return known.is(c) }); i >= 0 {
		o.crashes[i].n++
		return
	}
	o.crashes = append(o.crashes, crashCount{c, 1})
	o.crashes = o.crashes[max(0, len(o.crashes)-maxCrashes):]
}

// within returns the outcomes of the last time. Seconds that it contains in part are left out.
func (o *outcomes) within(now time.Time, length time.Duration) (answered, crashed int) {
	since := now.Add(-length)
	for _, b := range o.answered {
		if b.second > since.Unix() {
			answered += b.n
		}
	}
	for _, c := range o.crashes {
		if c.at.After(since) {
			crashed += c.n
		}
	}
	return answered, crashed
}

// counted is how the attempts of this host ended since a run began, or in the last minOutcomeTime if that is longer, without
// those of the run.
type counted struct {
	answered, crashed int
	// answeredSince is how many were answered since the run began.
	answeredSince int
	// explained is set if at least half of the crashes since the run began ended attempts of the run.
	explained bool
}

// count counts the outcomes beside the run.
//
// If this host has not seen the run's segment answered lately, its crashes before the first event are left out altogether:
// either the segment caused them, or it is so rare that it was beside few of them. At later stages an answer is beside more
// crashes, so that only the attempts of the run are left out.
func (o *outcomes) count(now time.Time, r run, stage Stage) counted {
	since := now.Add(-minOutcomeTime)
	if r.since.Before(since) {
		since = r.since
	}
	var n counted
	for _, b := range o.answered {
		if b.second >= since.Unix() {
			n.answered += b.n
		}
		if b.second > r.since.Unix() {
			n.answeredSince += b.n
		}
	}
	leavesOutCrashes := stage == Beginning && !r.answeredLately
	sinceRun, ofRun := 0, 0
	for _, c := range o.crashes {
		isOfRun := slices.ContainsFunc(r.crashes, c.is)
		if !c.at.Before(r.since) {
			sinceRun++
			if isOfRun {
				ofRun++
			}
		}
		if !c.at.Before(since) && (!leavesOutCrashes || !isOfRun) {
			n.crashed += c.n
		}
	}
	if !leavesOutCrashes {
		n.crashed = max(0, n.crashed-r.own)
	}
	n.explained = ofRun > 0 && 2*ofRun >= sinceRun
	return n
}
