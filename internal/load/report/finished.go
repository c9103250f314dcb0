// Package report computes what a load run measured from the requests that it finished: counts, percentiles, cache reuse
// against an oracle, load skew, refusals within the rate, all by second and by team.
package report

import "time"

// Ending says how a request ended for its caller.
type Ending string

// The endings.
const (
	// OK is a whole and right answer.
	OK Ending = "ok"
	// RateRefused is a refusal for the team's rate.
	RateRefused Ending = "rate-refused"
	// Refused is any other refusal that says that the request did not run.
	Refused Ending = "refused"
	// Cut is an answer that broke off.
	Cut Ending = "cut"
	// Wrong is a whole answer to some other request.
	Wrong Ending = "wrong"
	// Failed is everything else: no answer in time, or an error with an unknown outcome.
	Failed Ending = "failed"
)

// Finished is one request after its last attempt. Times are counted from the start of the run.
type Finished struct {
	Team   string
	Route  string
	Ending Ending
	// Due is when the request was scheduled; latencies count from here, whenever it was sent.
	Due       time.Duration
	Sent      time.Duration
	FirstByte time.Duration
	End       time.Duration
	// Attempts counts the tries; Code is the code of the last refusal.
	Attempts int
	Code     string
	// Blocks are the chained hashes of the prompt's blocks; PromptTokens and CachedTokens come from the answer's usage.
	Blocks       []uint64
	PromptTokens int
	CachedTokens int
}

// Charge is one attempt that counts against its team's rate.
type Charge struct {
	Team    string
	At      time.Duration
	Refused bool
}

// LoadSample is the load of the upstreams of one pool at one time of the run.
type LoadSample struct {
	At       time.Duration
	Pool     string
	Factor   float64
	InFlight []int
}

// TeamRate is the rate and burst of one team in the document.
type TeamRate struct {
	PerSecond float64
	Burst     float64
}

// Window is a span of the run.
type Window struct {
	From time.Duration
	To   time.Duration
}

// Input is everything that a run observed.
type Input struct {
	Warmup   time.Duration
	Duration time.Duration
	Finished []Finished
	Charges  []Charge
	Loads    []LoadSample
	Rates    map[string]TeamRate
	// Moves are the spans in which a data centre was out or had just come back.
	Moves []Window
	// Surges are the spans in which a team surged, Surging the teams that did.
	Surges  []Window
	Surging []string
	// ControlBytesPerSecond holds one figure a router; it is empty where routers do not report it.
	ControlBytesPerSecond map[string]float64
}
