// Package report computes the measures of a load run from its requests: counts, latency percentiles, cache reuse
// relative to an oracle, load skew, and rate refusals, by second and by team.
package report

import "time"

// EndStatus classifies the result of a request for its caller.
type EndStatus string

// End statuses of requests.
const (
	// OK is a complete and correct response.
	OK EndStatus = "ok"
	// RateRefused is a refusal because of the team's rate limit.
	RateRefused EndStatus = "rate-refused"
	// Refused is any other refusal that states that the request was not run.
	Refused EndStatus = "refused"
	// Truncated is a response that ended early.
	Truncated EndStatus = "cut"
	// Wrong is a complete response that differs from the expected one.
	Wrong EndStatus = "wrong"
	// Failed is any other failure: no response before the timeout, or an error with an unknown outcome.
	Failed EndStatus = "failed"
)

// CompletedRequest is a request after its last attempt. Times are relative to the start of the run.
type CompletedRequest struct {
	Team   string
	Route  string
	Status EndStatus
	// Due is the scheduled time of the request. Latencies are measured from it, not from Sent, to avoid coordinated
	// omission.
	Due       time.Duration
	Sent      time.Duration
	FirstByte time.Duration
	End       time.Duration
	// Attempts is the number of attempts, Code the error code of the last response.
	Attempts int
	Code     string
	// Blocks are the chained hashes of the prompt's blocks. PromptTokens and CachedTokens are the usage that the
	// response reports.
	Blocks       []uint64
	PromptTokens int
	CachedTokens int
}

// Charge is an attempt that counts against its team's rate limit.
type Charge struct {
	Team    string
	At      time.Duration
	Refused bool
}

// LoadSample is the number of requests in flight at each upstream of a pool at one time of the run.
type LoadSample struct {
	At       time.Duration
	Pool     string
	Factor   float64
	InFlight []int
}

// TeamRate is the rate limit of a team in the document.
type TeamRate struct {
	PerSecond float64
	Burst     float64
}

// Window is a time window of the run.
type Window struct {
	From time.Duration
	To   time.Duration
}

// Input is the data that a run collected.
type Input struct {
	Warmup   time.Duration
	Duration time.Duration
	Requests []CompletedRequest
	Charges  []Charge
	Loads    []LoadSample
	Rates    map[string]TeamRate
	// DataCentreDrains are the windows in which a data centre was drained or had recently been restored.
	DataCentreDrains []Window
	// Surges are the windows in which a team had a surge, SurgingTeams the teams that had one.
	Surges       []Window
	SurgingTeams []string
	// ControlBytesPerSecond holds the rate of control traffic by router. It is empty if routers do not report it.
	ControlBytesPerSecond map[string]float64
}
