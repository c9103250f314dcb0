package report

import (
	"sort"
	"time"
)

// totalName is the team name of the row with the totals over all teams.
const totalName = "all"

// Summarise computes all measures of the result from the collected data.
func Summarise(in *Input, r *Result) {
	cached := oracleCachedTokens(in.Requests)
	r.Teams, r.Total = teamResults(in)
	r.Reuse = cacheReuse(in, cached)
	r.Load = loadSkew(in.Loads, in.Warmup)
	r.Control = controlTraffic(in.ControlBytesPerSecond)
	if len(in.DataCentreDrains) > 0 {
		r.DataCentreDrain = windowResult(in, in.DataCentreDrains)
	}
	r.Fairness = fairness(in)
	r.Series = buildSeries(in, cached)
}

// tally accumulates a TeamResult.
type tally struct {
	TeamResult
	firstByte    histogram
	fullResponse histogram
}

func newTally(team string) *tally {
	return &tally{TeamResult: TeamResult{Team: team, Codes: map[string]int{}}, firstByte: newHistogram(), fullResponse: newHistogram()}
}

func (t *tally) add(req *CompletedRequest) {
	t.Requests++
	if req.Attempts > 1 {
		t.Retried++
	}
	if req.Code != "" {
		t.Codes[req.Code]++
	}
	switch req.Status {
	case OK:
		t.OK++
		t.firstByte.add(req.FirstByte - req.Due)
		t.fullResponse.add(req.End - req.Due)
	case RateRefused:
		t.RateRefused++
	case Refused:
		t.Refused++
	case Truncated:
		t.Truncated++
	case Wrong:
		t.Wrong++
	default:
		t.Failed++
	}
}

func (t *tally) addRateCount(n *rateCount) {
	if n == nil {
		return
	}
	t.Charged += n.charged
	t.WrongfulRefusals += n.wrongful
}

func (t *tally) result() TeamResult {
	t.Success = successRatio(t.OK, t.Requests, t.RateRefused, t.WrongfulRefusals)
	t.FirstByte = t.firstByte.percentiles()
	t.FullResponse = t.fullResponse.percentiles()
	return t.TeamResult
}

// successRatio returns the share of correct responses among the requests within the rate limit.
func successRatio(ok, requests, rateRefused, wrongful int) float64 {
	return ratio(float64(ok), float64(requests-max(0, rateRefused-wrongful)))
}

// ratio returns a/b, or 1 if b is not positive, that is, if there was no request to serve.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

// tallies counts the requests that were due at times that include accepts, by team and in total.
func tallies(in *Input, include func(time.Duration) bool) (map[string]*tally, *tally) {
	counts := replayCharges(in.Charges, in.Rates, include)
	total := newTally(totalName)
	teams := map[string]*tally{}
	for i := range in.Requests {
		req := &in.Requests[i]
		if !include(req.Due) {
			continue
		}
		t := teams[req.Team]
		if t == nil {
			t = newTally(req.Team)
			t.addRateCount(counts[req.Team])
			total.addRateCount(counts[req.Team])
			teams[req.Team] = t
		}
		t.add(req)
		total.add(req)
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

func cacheReuse(in *Input, cached []int) Reuse {
	var u Reuse
	for i := range in.Requests {
		req := &in.Requests[i]
		if req.Due < in.Warmup {
			continue
		}
		u.PromptTokens += req.PromptTokens
		u.CachedTokens += req.CachedTokens
		u.OracleTokens += cached[i]
	}
	if u.PromptTokens > 0 {
		u.Share = float64(u.CachedTokens) / float64(u.PromptTokens)
		u.OracleShare = float64(u.OracleTokens) / float64(u.PromptTokens)
	}
	if u.OracleTokens > 0 {
		u.ShareOfOracle = float64(u.CachedTokens) / float64(u.OracleTokens)
	}
	return u
}
