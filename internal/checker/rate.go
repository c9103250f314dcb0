package checker

import (
	"math"
	"sort"
	"time"

	"github.com/orioleusher/orioleusher/internal/record"
)

// admission is a request that was admitted at an unknown time between From and To.
type admission struct {
	From time.Time
	To   time.Time
}

// checkRate checks that no time window of any length contains more admissions of a team than burst + rate × length. A
// caller knows only that the admission happened between sending the request and receiving the first byte, so a window
// counts only the admissions that certainly lie within it.
func checkRate(r *records) Report {
	report := Report{Promise: RateBound}
	byTeam := map[string][]admission{}
	for _, c := range r.calls {
		if !c.Admitted {
			continue
		}
		to := c.FirstByte
		if to.IsZero() {
			to = c.Done
		}
		byTeam[c.Team] = append(byTeam[c.Team], admission{From: c.Sent, To: to})
	}
	for _, limit := range r.limits {
		list := byTeam[limit.Team]
		report.Examined += len(list)
		if worst, excess := worstWindow(list, limit); excess > 0 {
			report.addViolation("team %s: %d admissions within %s from %s, bound %.1f", limit.Team, worst.count,
				worst.length, worst.start.Format(time.RFC3339Nano), limit.Burst+limit.RatePerSecond*worst.length.Seconds())
		}
	}
	return report
}

// window is a time window that starts with an admission, and the number of admissions within it.
type window struct {
	start  time.Time
	length time.Duration
	count  int
}

// roundingTolerance covers rounding errors of the sums. It is far below one request.
const roundingTolerance = 1e-6

// worstWindow returns the window that exceeds its bound by the most admissions, and that excess. It suffices to check
// windows that start at the From of one admission and end at the To of another: any other window contains no more
// admissions than the largest such window within it.
func worstWindow(list []admission, limit *record.Limit) (window, float64) {
	byEnd := append([]admission(nil), list...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].To.Before(byEnd[j].To) })
	var worst window
	highest := math.Inf(-1)
	for _, first := range list {
		count := 0
		for _, a := range byEnd {
			if a.From.Before(first.From) {
				continue
			}
			count++
			length := a.To.Sub(first.From)
			excess := float64(count) - limit.Burst - limit.RatePerSecond*length.Seconds()
			if excess > highest {
				highest = excess
				worst = window{start: first.From, length: length, count: count}
			}
		}
	}
	return worst, highest - roundingTolerance
}
