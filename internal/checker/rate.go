package checker

import (
	"math"
	"sort"
	"time"

	"github.com/orioleusher/orioleusher/internal/record"
)

// admission is one request that was admitted at some time between From and To.
type admission struct {
	From time.Time
	To   time.Time
}

// checkRate checks that no window of any length holds more admissions of a team than burst + rate × length. A caller
// knows only that an admission happened between its sending and the first byte of the answer, so that a window counts
// the admissions that lie in it for certain.
func checkRate(r *run) Report {
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
			report.violate("team %s: %d admissions within %s from %s, bound %.1f", limit.Team, worst.count,
				worst.length, worst.start.Format(time.RFC3339Nano), limit.Burst+limit.RatePerSecond*worst.length.Seconds())
		}
	}
	return report
}

// window is a span that starts at an admission, with the admissions that lie in it.
type window struct {
	start  time.Time
	length time.Duration
	count  int
}

// roundingSlack absorbs the rounding of the sums; it is far below one request.
const roundingSlack = 1e-6

// worstWindow returns the window with the most admissions above its bound. Only windows that start at some From and end
// at some To need a look, because any other holds no more admissions than one of these within it.
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
	return worst, highest - roundingSlack
}
