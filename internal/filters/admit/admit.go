// Package admit takes a place at an upstream on its owner and gives it back when the answer ends.
package admit

import (
	"context"
	"io"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/upstreams"
)

// Name is the filter's step.
const Name = "admit"

// Filter is the admit step.
type Filter struct {
	set      *upstreams.Set
	admitted tally.Counter
	refused  tally.Counter
}

// New returns the filter.
func New(set *upstreams.Set, scope tally.Scope) *Filter {
	return &Filter{
		set: set, admitted: scope.Counter("admit_admitted"), refused: scope.Counter("admit_refused"),
	}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter. The exchange has one candidate, the upstream to admit to.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	name := x.Candidates[0]
	up, ok := x.Snapshot.Upstream(name)
	if !ok {
		return outcome.Unavailable(Name, upstreams.CodeOut, "the upstream is not in the document").WithPeer(name, nil)
	}
	release, err := f.set.Acquire(x.Snapshot, up)
	if err != nil {
		f.refused.Inc(1)
		return err
	}
	f.admitted.Inc(1)
	if err := next(ctx, x); err != nil {
		release()
		return err
	}
	x.Answer.Body = &releasingBody{ReadCloser: x.Answer.Body, release: release}
	return nil
}

// releasingBody gives the place back when the answer is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
