package report

import (
	"math"
	"slices"
	"sort"
	"time"
)

// totalName is the team name of the row over all teams.
const totalName = "all"

// minMeanLoad is the lowest mean in-flight count of a pool whose skew is counted; below it one request more or less
// decides the ratio.
const minMeanLoad = 1.0

// Summarise fills in every measure of the result from what the run observed.
func Summarise(in *Input, r *Result) {
	cached := oracleCached(in.Finished)
	r.Teams, r.Total = teamResults(in)
	r.Reuse = reuse(in, cached)
	r.Load = skew(in.Loads, in.Warmup)
	r.Control = control(in.ControlBytesPerSecond)
	if len(in.Moves) > 0 {
		r.Move = spanResult(in, in.Moves)
	}
	r.Fairness = fairness(in)
	r.Series = series(in, cached)
}

// tally gathers one TeamResult.
type tally struct {
	TeamResult
	firstByte latencies
	whole     latencies
}

func newTally(team string) *tally {
	return &tally{TeamResult: TeamResult{Team: team, Codes: map[string]int{}}, firstByte: newLatencies(), whole: newLatencies()}
}

func (t *tally) add(f *Finished) {
	t.Requests++
	if f.Attempts > 1 {
		t.Retried++
	}
	if f.Code != "" {
		t.Codes[f.Code]++
	}
	switch f.Ending {
	case OK:
		t.OK++
		t.firstByte.add(f.FirstByte - f.Due)
		t.whole.add(f.End - f.Due)
	case RateRefused:
		t.RateRefused++
	case Refused:
		t.Refused++
	case Cut:
		t.Cut++
	case Wrong:
		t.Wrong++
	default:
		t.Failed++
	}
}

func (t *tally) charge(n *rateCount) {
	if n == nil {
		return
	}
	t.Charged += n.charged
	t.WrongfulRefusals += n.wrongful
}

func (t *tally) result() TeamResult {
	t.Success = successShare(t.OK, t.Requests, t.RateRefused, t.WrongfulRefusals)
	t.FirstByte = t.firstByte.percentiles()
	t.Whole = t.whole.percentiles()
	return t.TeamResult
}

// successShare is the share of right answers among the requests that the rate allows.
func successShare(ok, requests, rateRefused, wrongful int) float64 {
	return share(float64(ok), float64(requests-max(0, rateRefused-wrongful)))
}

// share returns a/b, and 1 where there was nothing to do.
func share(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

// tallies gathers the requests that were due when keep accepts, by team, and over all of them.
func tallies(in *Input, keep func(time.Duration) bool) (map[string]*tally, *tally) {
	counts := rateCounts(in.Charges, in.Rates, keep)
	total := newTally(totalName)
	teams := map[string]*tally{}
	for i := range in.Finished {
		f := &in.Finished[i]
		if !keep(f.Due) {
			continue
		}
		t := teams[f.Team]
		if t == nil {
			t = newTally(f.Team)
			t.charge(counts[f.Team])
			total.charge(counts[f.Team])
			teams[f.Team] = t
		}
		t.add(f)
		total.add(f)
	}
	return teams, total
}

func teamResults(in *Input) ([]TeamResult, TeamResult) {
	teams, total := tallies(in, func(due time.Duration) bool { return due >= in.Warmup })
	var results []TeamResult
	for _, t := range teams {
		results = append(results, t.result())
	}
	sort.Slice(results, func(i, j int) bool {
		if results[i].Requests != results[j].Requests {
			return results[i].Requests > results[j].Requests
		}
		return results[i].Team < results[j].Team
	})
	return results, total.result()
}

func reuse(in *Input, cached []int) Reuse {
	var u Reuse
	for i := range in.Finished {
		f := &in.Finished[i]
		if f.Due < in.Warmup {
			continue
		}
		u.PromptTokens += f.PromptTokens
		u.CachedTokens += f.CachedTokens
		u.OracleTokens += cached[i]
	}
	if u.PromptTokens > 0 {
		u.Share = float64(u.CachedTokens) / float64(u.PromptTokens)
		u.OracleShare = float64(u.OracleTokens) / float64(u.PromptTokens)
	}
	if u.OracleTokens > 0 {
		u.OfOracle = float64(u.CachedTokens) / float64(u.OracleTokens)
	}
	return u
}

// peak returns the highest count and the mean.
func (s *LoadSample) peak() (highest, mean float64) {
	if len(s.InFlight) == 0 {
		return 0, 0
	}
	sum := 0
	for _, n := range s.InFlight {
		sum += n
	}
	return float64(slices.Max(s.InFlight)), float64(sum) / float64(len(s.InFlight))
}

func skew(samples []LoadSample, warmup time.Duration) LoadSkew {
	k := LoadSkew{MinMean: minMeanLoad}
	var ratios []float64
	over := 0
	for i := range samples {
		highest, mean := samples[i].peak()
		if samples[i].At < warmup || mean < minMeanLoad {
			continue
		}
		ratios = append(ratios, highest/mean)
		if highest > math.Ceil(samples[i].Factor*mean) {
			over++
		}
	}
	if k.Samples = len(ratios); k.Samples == 0 {
		return k
	}
	sort.Float64s(ratios)
	k.P50 = quantile(ratios, 0.50)
	k.P99 = quantile(ratios, 0.99)
	k.Max = ratios[len(ratios)-1]
	k.OverBound = float64(over) / float64(len(ratios))
	return k
}

// quantile returns the nearest-rank quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}

func control(bytesPerSecond map[string]float64) Control {
	c := Control{Known: len(bytesPerSecond) > 0}
	for _, b := range bytesPerSecond {
		c.MeanBytesPerSecond += b / float64(len(bytesPerSecond))
		c.MaxBytesPerSecond = max(c.MaxBytesPerSecond, b)
	}
	return c
}

func within(spans []Window, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(w Window) bool { return at >= w.From && at < w.To })
}

func spanResult(in *Input, spans []Window) *SpanResult {
	_, total := tallies(in, func(due time.Duration) bool { return within(spans, due) })
	t := total.result()
	allowed := t.Requests - t.RateRefused
	return &SpanResult{Requests: allowed, Lost: t.Lost(), Success: share(float64(t.OK), float64(allowed)), FirstByte: t.FirstByte}
}

func fairness(in *Input) Fairness {
	keep := func(due time.Duration) bool { return due >= in.Warmup }
	if len(in.Surges) > 0 {
		keep = func(due time.Duration) bool { return within(in.Surges, due) }
	}
	teams, _ := tallies(in, keep)
	var f Fairness
	var success, slowness []float64
	for _, name := range sortedNames(teams) {
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
	f.SuccessRatio = share(f.WorstSuccess, f.MedianSuccess)
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

func series(in *Input, cached []int) []Second {
	seconds := make([]Second, int(math.Ceil(in.Duration.Seconds())))
	hists := make([]latencies, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		hists[i] = newLatencies()
	}
	for i := range in.Finished {
		f := &in.Finished[i]
		at := min(int(f.Due.Seconds()), len(seconds)-1)
		seconds[at].add(f, cached[i])
		if f.Ending == OK {
			hists[at].add(f.FirstByte - f.Due)
		}
	}
	for i := range seconds {
		seconds[i].FirstByteP50 = hists[i].ms(50)
		seconds[i].FirstByteP99 = hists[i].ms(99)
	}
	addLoads(seconds, in.Loads)
	return seconds
}

func (s *Second) add(f *Finished, cached int) {
	s.Requests++
	s.PromptTokens += f.PromptTokens
	s.CachedTokens += f.CachedTokens
	s.OracleTokens += cached
	switch f.Ending {
	case OK:
		s.OK++
	case RateRefused:
		s.RateRefused++
	default:
		s.Lost++
	}
}

func addLoads(seconds []Second, loads []LoadSample) {
	counts := make([]int, len(seconds))
	skewed := make([]int, len(seconds))
	for i := range loads {
		at := int(loads[i].At.Seconds())
		if at >= len(seconds) {
			continue
		}
		highest, mean := loads[i].peak()
		counts[at]++
		seconds[at].MeanInFlight += mean
		if mean >= minMeanLoad {
			skewed[at]++
			seconds[at].HighestOverMean += highest / mean
		}
	}
	for i := range seconds {
		seconds[i].MeanInFlight /= float64(max(1, counts[i]))
		seconds[i].HighestOverMean /= float64(max(1, skewed[i]))
	}
}
