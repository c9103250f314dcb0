// Package admit runs on the owner of an upstream. It acquires one of the upstream's slots for a request, monitors the
// response, and releases the slot when the response ends.
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

// Name is the step that this filter counts and reports under.
const Name = "admit"

// streamType is the content type of responses whose chunks are recorded to measure the upstream's speed.
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

// Handle implements exchange.Filter. The exchange's only candidate is the upstream that runs it.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, next exchange.Next) error {
	slot, err := f.set.Acquire(ctx, request(x))
	if err != nil {
		f.refused.Inc(1)
		return err
	}
	f.admitted.Inc(1)
	if err := next(ctx, x); err != nil {
		if ctx.Err() == nil && isUpstreamFailure(err) {
			slot.RecordFailure(err)
		}
		slot.Release()
		return err
	}
	slot.RecordResponse(x.Response.Header)
	x.Response.Body = &trackedBody{
		ReadCloser: x.Response.Body, ctx: ctx, slot: slot, streamed: x.Response.Header.Get("Content-Type") == streamType,
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

// isUpstreamFailure reports whether the upstream itself failed: no connection could be opened, or it may have received
// the request but did not respond.
func isUpstreamFailure(err error) bool {
	refusal := exchange.AsRefusal(err)
	return refusal.Code == transport.CodeConnectFailed || refusal.Outcome == outcome.Unknown
}

// trackedBody records the progress or failure of the response with the slot, and releases the slot when it is closed.
type trackedBody struct {
	io.ReadCloser
	// ctx ends when the caller disconnects, after which a failed read gives no information about the upstream.
	ctx      context.Context
	slot     *upstreams.Slot
	streamed bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil && n > 0 && b.streamed:
		b.slot.RecordChunk()
	case err != nil && !errors.Is(err, io.EOF) && b.ctx.Err() == nil:
		b.slot.RecordFailure(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.slot.Release()
	return b.ReadCloser.Close()
}
