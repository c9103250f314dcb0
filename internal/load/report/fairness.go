package report

import (
	"slices"
	"sort"
	"time"
)

func inAnyWindow(windows []Window, at time.Duration) bool {
	return slices.ContainsFunc(windows, func(w Window) bool { return at >= w.From && at < w.To })
}

func windowResult(in *Input, windows []Window) *WindowResult {
	_, total := tallies(in, func(due time.Duration) bool { return inAnyWindow(windows, due) })
	t := total.result()
	allowed := t.Requests - t.RateRefused
	return &WindowResult{Requests: allowed, Lost: t.Lost(), Success: ratio(float64(t.OK), float64(allowed)), FirstByte: t.FirstByte}
}

func fairness(in *Input) Fairness {
	include := func(due time.Duration) bool { return due >= in.Warmup }
	if len(in.Surges) > 0 {
		include = func(due time.Duration) bool { return inAnyWindow(in.Surges, due) }
	}
	teams, _ := tallies(in, include)
	var f Fairness
	var success, slowness []float64
	for _, name := range sortedNames(teams) {
		if slices.Contains(in.SurgingTeams, name) {
			continue
		}
		t := teams[name].result()
		success = append(success, t.Success)
		slowness = append(slowness, t.FirstByte.P95)
		if f.WorstTeam == "" || t.Success < f.WorstSuccess {
			f.WorstTeam, f.WorstSuccess = name, t.Success
		}
		if f.SlowestTeam == "" || t.FirstByte.P95 > f.SlowestP95 {
			f.SlowestTeam, f.SlowestP95 = name, t.FirstByte.P95
		}
	}
	if len(success) == 0 {
		return f
	}
	sort.Float64s(success)
	sort.Float64s(slowness)
	f.MedianSuccess = quantile(success, 0.5)
	f.MedianP95 = quantile(slowness, 0.5)
	f.SuccessRatio = ratio(f.WorstSuccess, f.MedianSuccess)
	return f
}

func sortedNames(teams map[string]*tally) []string {
	names := make([]string, 0, len(teams))
	for name := range teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
