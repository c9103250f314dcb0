package report

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/load/scenario"
)

// Result holds the measures of a run. It is the content of the result file that oriole-load writes.
type Result struct {
	// Label names the run in comparisons; the default is the routing policy.
	Label    string            `json:"label"`
	Fleet    string            `json:"fleet"`
	Started  time.Time         `json:"started"`
	Scenario scenario.Scenario `json:"scenario"`
	Total    TeamResult        `json:"total"`
	Teams    []TeamResult      `json:"teams"`
	Reuse    Reuse             `json:"reuse"`
	Load     LoadSkew          `json:"load"`
	Control  Control           `json:"control"`
	// DataCentreDrain summarises the requests that were due while a data centre was drained or had recently been restored.
	DataCentreDrain *WindowResult `json:"move,omitempty"`
	Fairness        Fairness      `json:"fairness"`
	Series          []Second      `json:"series"`
}

// TeamResult counts the requests of one team, or of all teams.
type TeamResult struct {
	Team     string `json:"team"`
	Requests int    `json:"requests"`
	OK       int    `json:"ok"`
	// RateRefused counts rate refusals. WrongfulRefusals counts those among them that an exact token bucket would have
	// admitted. Charged counts the attempts that count against the rate limit.
	RateRefused      int `json:"rate_refused"`
	WrongfulRefusals int `json:"wrongful_refusals"`
	Charged          int `json:"charged"`
	Refused          int `json:"refused"`
	Truncated        int `json:"cut"`
	Wrong            int `json:"wrong"`
	Failed           int `json:"failed"`
	Retried          int `json:"retried"`
	// Success is the share of correct responses among the requests within the rate limit of the team.
	Success      float64     `json:"success"`
	FirstByte    Percentiles `json:"first_byte"`
	FullResponse Percentiles `json:"whole"`
	// Codes counts refusals by error code.
	Codes map[string]int `json:"codes,omitempty"`
}

// Lost returns the number of requests within the rate limit that got no correct response.
func (t *TeamResult) Lost() int { return t.Refused + t.Truncated + t.Wrong + t.Failed }

// Percentiles are latencies in milliseconds, measured from the time at which the request was due.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Reuse compares the prompt tokens that engines found in their caches with those that a single cache without eviction
// would have held for the same requests.
type Reuse struct {
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	OracleTokens int     `json:"oracle_tokens"`
	Share        float64 `json:"share"`
	OracleShare  float64 `json:"oracle_share"`
	// ShareOfOracle is Share divided by OracleShare.
	ShareOfOracle float64 `json:"of_oracle"`
}

// LoadSkew is the highest in-flight count of a pool divided by its mean, over the samples whose mean is at least
// MinMean.
type LoadSkew struct {
	Samples int     `json:"samples"`
	MinMean float64 `json:"min_mean"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
	// OverBound is the share of samples whose highest count exceeds the load factor times the mean, rounded up.
	OverBound float64 `json:"over_bound"`
}

// Control is the control traffic of the routers. Known is false if routers do not report it.
type Control struct {
	Available bool `json:"known"`
	// MeanBytesPerSecond and MaxBytesPerSecond are the mean and the maximum over routers.
	MeanBytesPerSecond float64 `json:"mean_bytes_per_second"`
	MaxBytesPerSecond  float64 `json:"max_bytes_per_second"`
}

// WindowResult counts the requests that were due within some windows of the run.
type WindowResult struct {
	Requests  int         `json:"requests"`
	Lost      int         `json:"lost"`
	Success   float64     `json:"success"`
	FirstByte Percentiles `json:"first_byte"`
}

// Fairness compares the team with the lowest success to the median team, over the windows in which a team had a surge,
// or over the whole run if there was none. Surging teams are excluded, because the measure is the effect of the surge on
// the others.
type Fairness struct {
	WorstTeam     string  `json:"worst_team"`
	WorstSuccess  float64 `json:"worst_success"`
	MedianSuccess float64 `json:"median_success"`
	// SuccessRatio is the worst success divided by the median success; 1 is best.
	SuccessRatio float64 `json:"success_ratio"`
	SlowestTeam  string  `json:"slowest_team"`
	SlowestP95   float64 `json:"slowest_first_byte_p95_ms"`
	MedianP95    float64 `json:"median_first_byte_p95_ms"`
}

// Second holds the measures of one second of the run.
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
	// HighestOverMean is the mean of the highest load divided by the mean load, over the second's samples; 0 if there
	// are none.
	HighestOverMean float64 `json:"highest_over_mean"`
	MeanInFlight    float64 `json:"mean_in_flight"`
}
