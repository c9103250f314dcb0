package report

import (
	"sort"
	"time"
)

// totalName is the team name of the row over all teams.
const totalName = "all"

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
