// Package send is the last filter of an owner's chain. It sends the request to the upstream and receives the response's
// header.
package send

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/transport"
)

// Name is the step that this filter counts and reports under.
const Name = "send"

// Filter is the send step.
type Filter struct {
	client *transport.Client
	failed tally.Counter
}

// New returns the filter.
func New(client *transport.Client, scope tally.Scope) *Filter {
	return &Filter{client: client, failed: scope.Counter("send_failed")}
}

// Name implements exchange.Filter.
func (f *Filter) Name() string { return Name }

// Handle implements exchange.Filter.
func (f *Filter) Handle(ctx context.Context, x *exchange.Exchange, _ exchange.Next) error {
	name := x.Candidates[0]
	up, _ := x.Snapshot.Upstream(name)
	response, err := f.client.Send(ctx, x, name, up.Address)
	if err != nil {
		f.failed.Inc(1)
		return err
	}
	x.Response = response
	return nil
}
