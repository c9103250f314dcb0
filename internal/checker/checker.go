// Package checker reads the records of one run and reports every promise that they contradict. It judges from what
// callers, routers and stand-ins wrote down and imports none of the code under test.
package checker

import (
	"fmt"
	"sort"

	"github.com/orioleusher/orioleusher/internal/record"
)

// Promise names one check.
type Promise string

// The promises that the records can contradict.
const (
	RateBound    Promise = "rate-bound"
	AtMostOnce   Promise = "at-most-once"
	TrueNotRun   Promise = "true-not-run"
	TrueRun      Promise = "true-run"
	WholeAnswer  Promise = "whole-answer"
	LoadBound    Promise = "load-bound"
	NoNewWork    Promise = "no-new-work"
	VersionsRise Promise = "versions-rise"
)

// Violation is one contradiction between a promise and the records.
type Violation struct {
	Promise Promise
	Detail  string
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Promise, v.Detail) }

// Report is the outcome of one check.
type Report struct {
	Promise Promise
	// Examined is the number of records that the check judged; a check that examined none shows nothing.
	Examined   int
	Violations []Violation
}

func (r *Report) violate(format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Promise: r.Promise, Detail: fmt.Sprintf(format, args...)})
}

// run is the records sorted by kind.
type run struct {
	calls    []*record.Call
	runs     []*record.Run
	loads    []*record.Load
	versions []*record.Version
	closures []*record.Closure
	limits   []*record.Limit
}

func sorted(lines []record.Line) *run {
	r := &run{}
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
		case record.KindClosure:
			r.closures = append(r.closures, l.Closure)
		case record.KindLimit:
			r.limits = append(r.limits, l.Limit)
		}
	}
	sort.SliceStable(r.loads, func(i, j int) bool { return r.loads[i].At.Before(r.loads[j].At) })
	sort.SliceStable(r.versions, func(i, j int) bool { return r.versions[i].At.Before(r.versions[j].At) })
	return r
}

// Check runs every check over the records.
func Check(lines []record.Line) []Report {
	r := sorted(lines)
	return []Report{
		checkRate(r), checkOnce(r), checkNotRun(r), checkRun(r), checkWhole(r), checkLoad(r), checkClosures(r),
		checkVersions(r),
	}
}
