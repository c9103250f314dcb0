package exchange

import (
	"sync/atomic"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

// MaxAttempts is how often one request may be sent to the owners of upstreams. First attempts, attempts that queue for
// a slot and attempts that resume a broken response all count.
const MaxAttempts = 12

// AttemptBudget counts a request's remaining attempts. The remaining number is sent along with the request to other
// hosts, so that no host starts a new budget. A nil budget is unlimited.
type AttemptBudget struct {
	remaining atomic.Int64
	unknown   atomic.Bool
}

// NewAttemptBudget returns a budget of the given number of attempts.
func NewAttemptBudget(attempts int) *AttemptBudget {
	b := &AttemptBudget{}
	b.remaining.Store(int64(attempts))
	return b
}

// TryTake uses one attempt. It returns false when none remains.
func (b *AttemptBudget) TryTake() bool {
	return b == nil || b.remaining.Add(-1) >= 0
}

// Remaining returns the number of remaining attempts; 1 for a nil budget.
func (b *AttemptBudget) Remaining() int {
	if b == nil {
		return 1
	}
	return int(max(0, b.remaining.Load()))
}

// RecordUnknownOutcome records that an attempt ended without it being known whether the request ran.
func (b *AttemptBudget) RecordUnknownOutcome() {
	if b != nil {
		b.unknown.Store(true)
	}
}

// OverallError returns err with the outcome of the whole request. Earlier attempts may have run although the last
// one did not, so not-run becomes unknown if any attempt ended with an unknown outcome.
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
