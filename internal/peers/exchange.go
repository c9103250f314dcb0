package peers

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// exchange reports whether the peer answered.
func (g *Gossip) exchange(ctx context.Context, p peer) bool {
	reply, err := g.call(ctx, p)
	if err != nil {
		g.failed(ctx, p, err)
		return false
	}
	g.Members.RecordSuccess(reply.Sender)
	g.answered.Store(g.Clock.Now().UnixMilli())
	if g.OnPeerResponse != nil {
		g.OnPeerResponse()
	}
	g.mergeExtensions(reply)
	if err := g.pull(ctx, reply, p.address); err != nil {
		g.Log.Warn().Str("event", "pull-failed").Str("peer", p.address).Err(err).Send()
	}
	if g.behind(reply) && g.begin(helpKey(p)) {
		go func() {
			defer g.end(helpKey(p))
			g.help(ctx, p)
		}()
	}
	return true
}

// helpKey is the peer's entry among the calls under way while this host waits to hand it the document.
func helpKey(p peer) string { return "help " + p.address }

// behind reports whether the peer's document is to be replaced by the one in force here.
func (g *Gossip) behind(d *gossippb.Digest) bool {
	current := g.Store.Current()
	if current == nil {
		return false
	}
	return d.DocumentVersion < current.Version || d.DocumentVersion == current.Version && d.DocumentHash < current.Hash
}

// help hands the document to a peer that heard of it and after a while still does not have it, as when the peer cannot
// connect to this host but this host can connect to the peer.
func (g *Gossip) help(ctx context.Context, p peer) {
	select {
	case <-ctx.Done():
		return
	case <-g.Clock.After(helpAfter):
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
		return nil, errors.Wrapf(err, "gossip with %s", p.address)
	}
	if d.WantAll {
		g.wantAll.Store(false)
		g.Members.MergeTable(reply.Members)
	} else {
		g.Members.Merge(reply.Members)
	}
	return reply, nil
}

// failed takes the peer as unreachable from here, and accuses it when others do not reach it either.
func (g *Gossip) failed(ctx context.Context, p peer, err error) {
	g.failures.Add(1)
	g.metrics.failed.Inc(1)
	g.Log.Debug().Str("event", "gossip-failed").Str("peer", p.address).Err(err).Send()
	if p.name == "" || ctx.Err() != nil {
		return
	}
	g.Members.Suspect(p.name)
	if g.reachedByOthers(ctx, p) {
		return
	}
	g.metrics.accused.Inc(1)
	g.Members.MarkSuspect(p.name)
}

// reachedByOthers asks a few live peers to call the one that did not answer.
func (g *Gossip) reachedByOthers(ctx context.Context, p peer) bool {
	live, _ := g.peers()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var reached atomic.Bool
	for _, helper := range g.sample(live, indirectProbes) {
		wg.Go(func() {
			request := &gossippb.ProbeRequest{Sender: g.Self, Host: p.name, Address: p.address}
			reply, err := g.client(helper.address).Probe(ctx, request)
			if err == nil && reply.Reachable {
				reached.Store(true)
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// Probe calls a host of this host's document for a peer that does not reach it.
func (g *Gossip) Probe(ctx context.Context, r *gossippb.ProbeRequest) (*gossippb.ProbeReply, error) {
	snap := g.Store.Current()
	if snap == nil {
		return &gossippb.ProbeReply{}, nil
	}
	seat, ok := snap.Host(r.Host)
	if !ok {
		return &gossippb.ProbeReply{}, nil
	}
	reply, err := g.call(ctx, peer{name: seat.Name, address: seat.PeerAddress})
	if err != nil {
		return &gossippb.ProbeReply{}, nil //nolint:nilerr // that the call failed is the answer
	}
	g.mergeExtensions(reply)
	return &gossippb.ProbeReply{Reachable: reply.Sender == r.Host}, nil
}
