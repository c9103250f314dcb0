package promptblame

import (
	"slices"
	"time"
)

const (
	// maxReports bounds the hosts whose outcomes are kept, and maxRecordReports those in one message.
	maxReports       = 1024
	maxRecordReports = 32
	// reportLifetime is how long the outcomes of another host count.
	reportLifetime = 15 * time.Second
)

// reportPeriods are the times before a report over which it counts outcomes.
var reportPeriods = [...]time.Duration{2 * time.Second, 5 * time.Second, minOutcomeTime, 30 * time.Second, attemptLifetime}

const periodCount = len(reportPeriods)

// ReportSize is the number of counts of a kind in a report.
const ReportSize = stageCount * periodCount

// Report is how the attempts of a host ended. Hosts exchange reports while there are attempts on record, as a host with little
// traffic has seen too few answers to tell a cause from chance.
type Report struct {
	// Host identifies one run of the host's process.
	Host uint64
	At   time.Time
	// Answered and Crashed hold, stage by stage, a count for each period before At.
	Answered, Crashed [ReportSize]int
}

// reportIndex returns where a report counts the outcomes at the stage in the period.
func reportIndex(stage Stage, period int) int { return int(stage)*periodCount + period }

// ownReport returns the outcomes of this host. The caller holds mu.
func (t *Table) ownReport(now time.Time) *Report {
	r := &Report{Host: t.host, At: now}
	for stage := range t.outcomes {
		for period, length := range reportPeriods {
			i := reportIndex(Stage(stage), period)
			r.Answered[i], r.Crashed[i] = t.outcomes[stage].within(now, length)
		}
	}
	return r
}

// recentReports returns this host's report and the latest ones of others. The caller holds mu.
func (t *Table) recentReports() []*Report {
	if len(t.attempts) == 0 {
		return nil
	}
	return append(last(t.reports, maxRecordReports-1), t.ownReport(t.clock.Now()))
}

// mergeReport keeps the latest report of each other host, in the order of their times. The caller holds mu.
func (t *Table) mergeReport(r *Report) {
	if r.Host == t.host || t.clock.Since(r.At) >= reportLifetime {
		return
	}
	if i := slices.IndexFunc(t.reports, func(known *Report) bool { return known.Host == r.Host }); i >= 0 {
		if !r.At.After(t.reports[i].At) {
			return
		}
		t.reports = slices.Delete(t.reports, i, i+1)
	}
	t.reports = insertByTime(t.reports, r, maxReports)
}

func (r *Report) time() time.Time { return r.At }

// countFleet counts the outcomes beside the run at all hosts whose reports this host has. Attempts that crashed lately may not
// be in a report yet, so that those on record count if they are more. The caller holds mu.
func (t *Table) countFleet(r run, stage Stage, segment uint64) counted {
	now := t.clock.Now()
	age := now.Sub(r.since)
	whole := periodCount - 1
	for whole > 0 && reportPeriods[whole-1] >= max(age, minOutcomeTime) {
		whole--
	}
	var n counted
	for _, report := range append(last(t.reports, maxReports), t.ownReport(now)) {
		n.answered += report.Answered[reportIndex(stage, whole)]
		n.crashed += report.Crashed[reportIndex(stage, whole)]
		n.answeredSince += report.answeredWithin(stage, age-now.Sub(report.At))
	}
	n.crashed = max(n.crashed-r.attempts, t.attemptsBeside(segment, now.Add(-reportPeriods[whole])))
	return n
}

// answeredWithin returns the answers of the longest period before the report that the time contains.
func (r *Report) answeredWithin(stage Stage, limit time.Duration) int {
	n := 0
	for period, length := range reportPeriods {
		if length <= limit {
			n = r.Answered[reportIndex(stage, period)]
		}
	}
	return n
}

// attemptsBeside returns the number of attempts at the segment's stage that crashed since then and lack the segment. The
// caller holds mu.
func (t *Table) attemptsBeside(segment uint64, since time.Time) int {
	n := 0
	for i := range t.attempts {
		a := &t.attempts[i]
		if !a.CrashedAt.Before(since) && a.stage() == stageOf(segment) && !slices.Contains(a.Segments, segment) {
			n++
		}
	}
	return n
}
