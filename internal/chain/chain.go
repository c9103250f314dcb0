// Package chain runs a request through a list of filters.
//
// A filter may inspect and change the request. It then either calls next or returns an error, by convention an
// *outcome.Refusal. Code after the call of next runs on the way back, when the response is available.
package chain

import "context"

// Next runs the rest of the chain.
type Next[R any] func(ctx context.Context, request R) error

// Filter is one step of the chain. Implementations are safe for concurrent use.
type Filter[R any] interface {
	// Name returns the step's name as it appears in errors and metrics.
	Name() string
	// Handle processes the request and calls next to run the rest of the chain.
	Handle(ctx context.Context, request R, next Next[R]) error
}

// Compose returns a function that runs the filters in order.
func Compose[R any](filters ...Filter[R]) Next[R] {
	next := Next[R](func(context.Context, R) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, request R) error { return f.Handle(ctx, request, rest) }
	}
	return next
}
