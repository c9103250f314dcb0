package exchange

import (
	"sync/atomic"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

// MaxAttempts is how often one request may be sent to the owners of upstreams: the first attempts, the waits for a
// place and the continuations of an answer that broke off.
const MaxAttempts = 12

// AttemptBudget counts the attempts that are left to a request. It travels with the request over the hop, so that no host
// begins to count anew. A nil budget is not counted.
type AttemptBudget struct {
	left    atomic.Int64
	unknown atomic.Bool
}

// NewAttemptBudget returns a budget of that many attempts.
func NewAttemptBudget(attempts int) *AttemptBudget {
	b := &AttemptBudget{}
	b.left.Store(int64(attempts))
	return b
}

// TryTake uses one attempt. It returns false when none is left.
func (b *AttemptBudget) TryTake() bool {
	return b == nil || b.left.Add(-1) >= 0
}

// Remaining returns the attempts that are left.
func (b *AttemptBudget) Remaining() int {
	if b == nil {
		return 1
	}
	return int(max(0, b.left.Load()))
}

// RecordUnknownOutcome records that an attempt ended without it being known whether it ran.
func (b *AttemptBudget) RecordUnknownOutcome() {
	if b != nil {
		b.unknown.Store(true)
	}
}

// OverallError returns err as the request's outcome: a last attempt that did not run says nothing of an earlier one, so
// not-run becomes unknown when any attempt ended so.
func (b *AttemptBudget) OverallError(err error) error {
	if err == nil || b == nil || !b.unknown.Load() {
		return err
	}
	r := *AsRefusal(err)
	if r.Outcome == outcome.NotRun {
		r.Outcome = outcome.Unknown
	}
	return &r
}
