// Package outcome names what a caller may conclude about one attempt of its request, and defines the refusal, the
// error that carries this conclusion through the filters and over the hop between hosts.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether this attempt ran at an upstream.
type Outcome string

// The three outcomes.
const (
	// NotRun means that no byte of the request reached an upstream, or that the upstream itself said it did not run.
	NotRun Outcome = "not-run"
	// Unknown means that bytes were sent and no complete answer came back.
	Unknown Outcome = "unknown"
	// Run means that the upstream answered.
	Run Outcome = "run"
)

// Earlier says whether an earlier attempt with the same idempotency key may have run.
type Earlier string

// The values of Earlier.
const (
	EarlierNone     Earlier = "none"
	EarlierPossible Earlier = "possible"
	EarlierRun      Earlier = "run"
)

// Response headers that every answer of a router may carry.
const (
	HeaderOutcome        = "Oriole-Outcome"
	HeaderEarlier        = "Oriole-Earlier"
	HeaderUpstream       = "Oriole-Upstream"
	HeaderTrace          = "Oriole-Trace"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Refusal is the error by which a filter ends a request. Step and Peer say where it arose.
type Refusal struct {
	Status  int     `json:"status"`
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Step    string  `json:"step"`
	Peer    string  `json:"peer,omitempty"`
	Outcome Outcome `json:"outcome"`
	Earlier Earlier `json:"earlier,omitempty"`
	// RetryAfter is the wait before the caller should come again; 0 means unsaid.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// IdempotencyKey is a fresh key that the caller may use for its next attempt.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Cause is logged and never sent to the caller.
	Cause error `json:"-"`
}

// Error returns the refusal on one line, with its cause.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("step %s: %s (status %d, code %s, outcome %s)", r.Step, r.Message, r.Status, r.Code, r.Outcome)
	if r.Peer != "" {
		text += ": peer " + r.Peer
	}
	if r.Cause != nil {
		text += ": " + r.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Refuse returns a refusal for an attempt that did not run.
func Refuse(step string, status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Step: step, Outcome: NotRun}
}

// Unavailable returns a 503 refusal for an attempt that did not run.
func Unavailable(step, code, message string) *Refusal {
	return Refuse(step, http.StatusServiceUnavailable, code, message)
}

// WithPeer sets the peer and the cause and returns the refusal.
func (r *Refusal) WithPeer(peer string, cause error) *Refusal {
	r.Peer = peer
	r.Cause = cause
	return r
}

// WithRetryAfter sets the wait and returns the refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}
