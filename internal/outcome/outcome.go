// Package outcome defines what a caller may conclude about one attempt of its request, and the refusal: the error that
// carries this conclusion through the filters and, if the request was forwarded, back to the forwarding host.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is whether this attempt was executed by an upstream.
type Outcome string

// The possible outcomes.
const (
	// NotRun means that no byte of the request reached an upstream, or that the upstream reported that it did not
	// execute it.
	NotRun Outcome = "not-run"
	// Unknown means that bytes were sent and no complete response was received.
	Unknown Outcome = "unknown"
	// Run means that the upstream responded.
	Run Outcome = "run"
)

// Earlier is whether an earlier attempt with the same idempotency key may have been executed.
type Earlier string

// The values of Earlier.
const (
	EarlierNone     Earlier = "none"
	EarlierPossible Earlier = "possible"
	EarlierRun      Earlier = "run"
)

// Response headers that any response of a router may carry.
const (
	HeaderOutcome        = "Oriole-Outcome"
	HeaderEarlier        = "Oriole-Earlier"
	HeaderUpstream       = "Oriole-Upstream"
	HeaderTrace          = "Oriole-Trace"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Refusal is the error with which a filter ends a request. Step and Peer identify where it arose.
type Refusal struct {
	Status  int     `json:"status"`
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Step    string  `json:"step"`
	Peer    string  `json:"peer,omitempty"`
	Outcome Outcome `json:"outcome"`
	Earlier Earlier `json:"earlier,omitempty"`
	// RetryAfter is how long the caller should wait before it retries; 0 if not specified.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// IdempotencyKey is a fresh key that the caller may use for its next attempt.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Cause is logged and never sent to the caller.
	Cause error `json:"-"`
}

// Error returns the refusal and its cause on one line.
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

// Refuse returns a refusal of an attempt that was not executed.
func Refuse(step string, status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Step: step, Outcome: NotRun}
}

// Unavailable returns a refusal with status 503 of an attempt that was not executed.
func Unavailable(step, code, message string) *Refusal {
	return Refuse(step, http.StatusServiceUnavailable, code, message)
}

// WithPeer sets the peer and the cause and returns the refusal.
func (r *Refusal) WithPeer(peer string, cause error) *Refusal {
	r.Peer = peer
	r.Cause = cause
	return r
}

// WithRetryAfter sets RetryAfter and returns the refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}
