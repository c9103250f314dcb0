// Package checker checks the records of a run against the guarantees of the fleet (its promises) and reports each
// violation. It uses only what callers, routers and stand-ins recorded, and imports none of the code under test.
package checker

import (
	"fmt"
	"sort"

	"github.com/orioleusher/orioleusher/internal/record"
)

// Promise is the name of a guarantee and of the check for it.
type Promise string

// The promises that are checked against the records.
const (
	// RateBound: the fleet admits no more requests of a team than its rate and burst allow.
	RateBound Promise = "rate-bound"
	// AtMostOnce: a request with an idempotency key runs at most once.
	AtMostOnce Promise = "at-most-once"
	// AccurateNotRun: a request whose response states not-run was not run.
	AccurateNotRun Promise = "true-not-run"
	// AccurateRun: a non-repeatable request whose response states run was run.
	AccurateRun Promise = "true-run"
	// CorrectResponse: a complete response is the response to its own request.
	CorrectResponse Promise = "whole-answer"
	// LoadBound: new requests do not raise the load of an upstream above the load factor times the mean.
	LoadBound Promise = "load-bound"
	// NoNewWork: a drained upstream accepts no new request after the grace period.
	NoNewWork Promise = "no-new-work"
	// MonotonicVersions: the version of the document in force never decreases on a ready router.
	MonotonicVersions Promise = "versions-rise"
)

// Violation is a violation of a promise, found in the records.
type Violation struct {
	Promise Promise
	Detail  string
}

// String returns the violation as one line of text.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Promise, v.Detail) }

// Report is the result of one check.
type Report struct {
	Promise Promise
	// Examined is the number of records that the check examined. A check that examined no record shows nothing.
	Examined   int
	Violations []Violation
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Promise: r.Promise, Detail: fmt.Sprintf(format, args...)})
}

// records holds the records of a run, grouped by kind.
type records struct {
	calls    []*record.Call
	runs     []*record.Run
	loads    []*record.Load
	versions []*record.Version
	drains   []*record.Drain
	limits   []*record.Limit
}

func groupByKind(lines []record.Line) *records {
	r := &records{}
	for i := range lines {
		l := &lines[i]
		switch l.Kind {
		case record.KindCall:
			r.calls = append(r.calls, l.Call)
		case record.KindRun:
			r.runs = append(r.runs, l.Run)
		case record.KindLoad:
			r.loads = append(r.loads, l.Load)
		case record.KindVersion:
			r.versions = append(r.versions, l.Version)
		case record.KindDrain:
			r.drains = append(r.drains, l.Drain)
		case record.KindLimit:
			r.limits = append(r.limits, l.Limit)
		}
	}
	sort.SliceStable(r.loads, func(i, j int) bool { return r.loads[i].At.Before(r.loads[j].At) })
	sort.SliceStable(r.versions, func(i, j int) bool { return r.versions[i].At.Before(r.versions[j].At) })
	return r
}

// Check runs all checks on the records.
func Check(lines []record.Line) []Report {
	r := groupByKind(lines)
	return []Report{
		checkRate(r), checkAtMostOnce(r), checkNotRun(r), checkRun(r), checkResponses(r), checkLoad(r), checkDrains(r),
		checkVersions(r),
	}
}
