// Package admit takes a place at an upstream on its owner, watches the answer, and gives the place back when it ends.
package admit

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/transport"
	"github.com/orioleusher/orioleusher/internal/upstreams"
)

// Name is the filter's step.
const Name = "admit"

// streamType is the content type of answers whose pieces show the upstream's pace.
const streamType = "text/event-stream"

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
	place, err := f.set.Acquire(ctx, request(x))
	if err != nil {
		f.refused.Inc(1)
		return err
	}
	f.admitted.Inc(1)
	if err := next(ctx, x); err != nil {
		if ctx.Err() == nil && blamesUpstream(err) {
			place.RecordFailure(err)
		}
		place.Release()
		return err
	}
	place.RecordResponse(x.Response.Header)
	x.Response.Body = &watchedBody{
		ReadCloser: x.Response.Body, ctx: ctx, place: place, streamed: x.Response.Header.Get("Content-Type") == streamType,
	}
	return nil
}

func request(x *exchange.Exchange) upstreams.Request {
	r := upstreams.Request{
		Upstream: x.Candidates[0], Team: x.TeamName(), Deadline: x.Deadline, MaxWait: x.MaxWait,
	}
	if x.Team != nil {
		r.Weight = x.Team.Weight
	}
	return r
}

// blamesUpstream reports whether the upstream itself failed: it could not be reached, or it took the request and did
// not answer.
func blamesUpstream(err error) bool {
	refusal := exchange.AsRefusal(err)
	return refusal.Code == transport.CodeConnectFailed || refusal.Outcome == outcome.Unknown
}

// watchedBody tells the place how the answer goes on and gives it back when the answer is closed.
type watchedBody struct {
	io.ReadCloser
	// ctx ends when the caller goes away, after which a failed read says nothing of the upstream.
	ctx      context.Context
	place    *upstreams.Slot
	streamed bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil && n > 0 && b.streamed:
		b.place.RecordChunk()
	case err != nil && !errors.Is(err, io.EOF) && b.ctx.Err() == nil:
		b.place.RecordFailure(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.place.Release()
	return b.ReadCloser.Close()
}
