package fleet

import (
	"context"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

var _ lending.Peers = (*Fleet)(nil)

// AskLoan implements lending.Peers.
func (f *Fleet) AskLoan(ctx context.Context, host string, q lending.Question) (incarnationID uint32, ok bool, err error) {
	reply, err := fleetpb.NewFleetProtobufClient("http://"+host, f.client).Lend(ctx, &fleetpb.LendRequest{
		Service: q.Service, Version: q.Version, Affinity: q.AffinityHash, Upstreams: q.Upstreams,
	})
	if err != nil {
		return 0, false, errors.Wrapf(err, "ask %s for a loan", host)
	}
	return reply.GetUpstream(), reply.GetLent(), nil
}

// OnAskLoan implements lending.Peers. It must be called before the fleet is served.
func (f *Fleet) OnAskLoan(lend func(lending.Question) (incarnationID uint32, ok bool)) { f.lend = lend }

// Lend implements fleetpb.Fleet.
func (f *Fleet) Lend(_ context.Context, r *fleetpb.LendRequest) (*fleetpb.LendAnswer, error) {
	if f.lend == nil {
		return &fleetpb.LendAnswer{}, nil
	}
	incarnationID, ok := f.lend(lending.Question{
		Service: r.GetService(), Version: r.GetVersion(), AffinityHash: r.GetAffinity(), Upstreams: r.GetUpstreams(),
	})
	return &fleetpb.LendAnswer{Lent: ok, Upstream: incarnationID}, nil
}
