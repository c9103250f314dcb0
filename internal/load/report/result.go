package report

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/load/scenario"
)

// Result is what one run measured, as the file that oriole-load writes.
type Result struct {
	// Label names the run in comparisons, by default the routing policy.
	Label    string            `json:"label"`
	Fleet    string            `json:"fleet"`
	Started  time.Time         `json:"started"`
	Scenario scenario.Scenario `json:"scenario"`
	Total    TeamResult        `json:"total"`
	Teams    []TeamResult      `json:"teams"`
	Reuse    Reuse             `json:"reuse"`
	Load     LoadSkew          `json:"load"`
	Control  Control           `json:"control"`
	// Move holds the requests that were due while a data centre was out or had just come back.
	Move     *SpanResult `json:"move,omitempty"`
	Fairness Fairness    `json:"fairness"`
	Series   []Second    `json:"series"`
}

// TeamResult counts the requests of one team, or of all.
type TeamResult struct {
	Team     string `json:"team"`
	Requests int    `json:"requests"`
	OK       int    `json:"ok"`
	// RateRefused counts refusals for the rate; WrongfulRefusals of these one exact bucket would have admitted, out of
	// Charged attempts that count against the rate.
	RateRefused      int `json:"rate_refused"`
	WrongfulRefusals int `json:"wrongful_refusals"`
	Charged          int `json:"charged"`
	Refused          int `json:"refused"`
	Cut              int `json:"cut"`
	Wrong            int `json:"wrong"`
	Failed           int `json:"failed"`
	Retried          int `json:"retried"`
	// Success is the share of right answers among the requests that the team's rate allows.
	Success   float64     `json:"success"`
	FirstByte Percentiles `json:"first_byte"`
	Whole     Percentiles `json:"whole"`
	// Codes counts the codes of refusals.
	Codes map[string]int `json:"codes,omitempty"`
}

// Lost is the number of requests that the rate allowed and that got no right answer.
func (t *TeamResult) Lost() int { return t.Refused + t.Cut + t.Wrong + t.Failed }

// Percentiles are latencies in milliseconds, from the time at which the request was due.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Reuse compares the prompt tokens that engines found in their caches with those that one cache which never loses
// anything would have held for the same requests.
type Reuse struct {
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	OracleTokens int     `json:"oracle_tokens"`
	Share        float64 `json:"share"`
	OracleShare  float64 `json:"oracle_share"`
	// OfOracle is Share over OracleShare.
	OfOracle float64 `json:"of_oracle"`
}

// LoadSkew is the highest in-flight count of a pool over its mean, over samples whose mean is at least MinMean.
type LoadSkew struct {
	Samples int     `json:"samples"`
	MinMean float64 `json:"min_mean"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
	// OverBound is the share of samples whose highest count is above factor times the mean, rounded up.
	OverBound float64 `json:"over_bound"`
}

// Control is the control traffic. Known is false where routers do not report it.
type Control struct {
	Known bool `json:"known"`
	// MeanBytesPerSecond and MaxBytesPerSecond are over routers.
	MeanBytesPerSecond float64 `json:"mean_bytes_per_second"`
	MaxBytesPerSecond  float64 `json:"max_bytes_per_second"`
}

// SpanResult counts the requests that were due within some spans of the run.
type SpanResult struct {
	Requests  int         `json:"requests"`
	Lost      int         `json:"lost"`
	Success   float64     `json:"success"`
	FirstByte Percentiles `json:"first_byte"`
}

// Fairness compares the worst-served team with the median team, over the spans in which a team surged, or over the
// whole run if none did. Surging teams are left out: the question is what the others get meanwhile.
type Fairness struct {
	WorstTeam     string  `json:"worst_team"`
	WorstSuccess  float64 `json:"worst_success"`
	MedianSuccess float64 `json:"median_success"`
	// SuccessRatio is worst over median success; 1 is best.
	SuccessRatio float64 `json:"success_ratio"`
	SlowestTeam  string  `json:"slowest_team"`
	SlowestP95   float64 `json:"slowest_first_byte_p95_ms"`
	MedianP95    float64 `json:"median_first_byte_p95_ms"`
}

// Second is one second of the run.
type Second struct {
	At           int     `json:"at_s"`
	Requests     int     `json:"requests"`
	OK           int     `json:"ok"`
	RateRefused  int     `json:"rate_refused"`
	Lost         int     `json:"lost"`
	FirstByteP50 float64 `json:"first_byte_p50_ms"`
	FirstByteP99 float64 `json:"first_byte_p99_ms"`
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	OracleTokens int     `json:"oracle_tokens"`
	// HighestOverMean is the mean over the second's samples; 0 where there is none.
	HighestOverMean float64 `json:"highest_over_mean"`
	MeanInFlight    float64 `json:"mean_in_flight"`
}
