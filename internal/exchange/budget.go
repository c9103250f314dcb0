package exchange

import (
	"sync/atomic"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

// MaxAttempts is how often one request may be sent to the owners of upstreams: the first attempts, the waits for a
// place and the continuations of an answer that broke off.
const MaxAttempts = 12

// Budget counts the attempts that are left to a request. It travels with the request over the hop, so that no host
// begins to count anew. A nil budget is not counted.
type Budget struct {
	left    atomic.Int64
	unknown atomic.Bool
}

// NewBudget returns a budget of that many attempts.
func NewBudget(attempts int) *Budget {
	b := &Budget{}
	b.left.Store(int64(attempts))
	return b
}

// Take uses one attempt. It returns false when none is left.
func (b *Budget) Take() bool {
	return b == nil || b.left.Add(-1) >= 0
}

// Left returns the attempts that are left.
func (b *Budget) Left() int {
	if b == nil {
		return 1
	}
	return int(max(0, b.left.Load()))
}

// NoteUnknown records that an attempt ended without it being known whether it ran.
func (b *Budget) NoteUnknown() {
	if b != nil {
		b.unknown.Store(true)
	}
}

// Truthful returns err as the request's outcome: a last attempt that did not run says nothing of an earlier one, so
// not-run becomes unknown when any attempt ended so.
func (b *Budget) Truthful(err error) error {
	if err == nil || b == nil || !b.unknown.Load() {
		return err
	}
	r := *Refusal(err)
	if r.Outcome == outcome.NotRun {
		r.Outcome = outcome.Unknown
	}
	return &r
}
