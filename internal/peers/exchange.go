package peers

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// exchange exchanges digests with the peer and reports whether the peer responded.
func (g *Gossip) exchange(ctx context.Context, p peer) bool {
	reply, err := g.call(ctx, p)
	if err != nil {
		g.callFailed(ctx, p, err)
		return false
	}
	g.Members.RecordSuccess(reply.Sender)
	g.lastResponse.Store(g.Clock.Now().UnixMilli())
	if g.OnPeerResponse != nil {
		g.OnPeerResponse()
	}
	g.mergeExtensions(reply)
	if err := g.pull(ctx, reply, p.address); err != nil {
		g.Log.Warn().Str("event", "pull-failed").Str("peer", p.address).Err(err).Send()
	}
	if g.behind(reply) && g.beginCall(offerKey(p)) {
		go func() {
			defer g.endCall(offerKey(p))
			g.offerIfBehind(ctx, p)
		}()
	}
	return true
}

// offerKey is the key in inProgress of a pending offer of the document to the peer.
func offerKey(p peer) string { return "offer " + p.address }

// behind reports whether the document in force here supersedes the peer's.
func (g *Gossip) behind(d *gossippb.Digest) bool {
	current := g.Store.Current()
	if current == nil {
		return false
	}
	return d.DocumentVersion < current.Version || d.DocumentVersion == current.Version && d.DocumentHash < current.Hash
}

// offerIfBehind sends the document to a peer that has received its version in a digest and still does not have it after
// offerDelay. This happens when the peer cannot connect to this host but this host can connect to the peer.
func (g *Gossip) offerIfBehind(ctx context.Context, p peer) {
	select {
	case <-ctx.Done():
		return
	case <-g.Clock.After(offerDelay):
	}
	reply, err := g.call(ctx, p)
	if err != nil || !g.behind(reply) {
		return
	}
	g.metrics.offers.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := &gossippb.OfferDocumentRequest{Sender: g.Self, Document: g.Store.Current().Raw}
	if _, err := g.client(p.address).OfferDocument(ctx, request); err != nil {
		g.Log.Warn().Str("event", "offer-failed").Str("peer", p.address).Err(err).Send()
	}
}

func (g *Gossip) call(ctx context.Context, p peer) (*gossippb.Digest, error) {
	g.messages.Add(1)
	g.metrics.messages.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d := g.digest(p.name)
	d.WantAll = g.wantAll.Load()
	reply, err := g.client(p.address).Exchange(ctx, d)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange gossip digests with %s", p.address)
	}
	if d.WantAll {
		g.wantAll.Store(false)
		g.Members.MergeTable(reply.Members)
	} else {
		g.Members.Merge(reply.Members)
	}
	return reply, nil
}

// callFailed records the peer as unreachable from this host, and marks it suspect if no other peer reaches it either.
func (g *Gossip) callFailed(ctx context.Context, p peer, err error) {
	g.failures.Add(1)
	g.metrics.callsFailed.Inc(1)
	g.Log.Debug().Str("event", "gossip-failed").Str("peer", p.address).Err(err).Send()
	if p.name == "" || ctx.Err() != nil {
		return
	}
	g.Members.RecordFailure(p.name)
	if g.reachableViaPeers(ctx, p) {
		return
	}
	g.metrics.suspected.Inc(1)
	g.Members.MarkSuspect(p.name)
}

// reachableViaPeers asks a few live peers to probe the one that did not respond.
func (g *Gossip) reachableViaPeers(ctx context.Context, p peer) bool {
	live, _ := g.peers()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var reached atomic.Bool
	for _, prober := range g.sample(live, indirectProbes) {
		wg.Go(func() {
			request := &gossippb.ProbeRequest{Sender: g.Self, Host: p.name, Address: p.address}
			reply, err := g.client(prober.address).Probe(ctx, request)
			if err == nil && reply.Reachable {
				reached.Store(true)
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// Probe calls a host listed in the document in force, on behalf of a peer that cannot reach it.
func (g *Gossip) Probe(ctx context.Context, r *gossippb.ProbeRequest) (*gossippb.ProbeReply, error) {
	snap := g.Store.Current()
	if snap == nil {
		return &gossippb.ProbeReply{}, nil
	}
	host, ok := snap.Host(r.Host)
	if !ok {
		return &gossippb.ProbeReply{}, nil
	}
	reply, err := g.call(ctx, peer{name: host.Name, address: host.PeerAddress})
	if err != nil {
		return &gossippb.ProbeReply{}, nil //nolint:nilerr // that the call failed is the answer
	}
	g.mergeExtensions(reply)
	return &gossippb.ProbeReply{Reachable: reply.Sender == r.Host}, nil
}
