package peers

import (
	"context"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// pull fetches the peer's document if it supersedes the one in force.
func (g *Gossip) pull(ctx context.Context, d *gossippb.Digest, address string) error {
	if !g.wantsDocument(d) {
		return nil
	}
	g.pullMu.Lock()
	defer g.pullMu.Unlock()
	id := documentID{version: d.DocumentVersion, hash: d.DocumentHash}
	if !g.wantsDocument(d) || id == g.rejected && g.Clock.Since(g.rejectedAt) < refetchDelay {
		return nil
	}
	g.metrics.pulls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := g.client(address).FetchDocument(ctx, &gossippb.FetchDocumentRequest{Sender: g.Self})
	if err != nil {
		return errors.Wrapf(err, "fetch document from %s", address)
	}
	if _, err = g.Store.Offer(reply.Document, "peer "+d.Sender); err != nil {
		g.rejected, g.rejectedAt = id, g.Clock.Now()
	}
	return err
}

// wantsDocument reports whether the sender's document supersedes the one in force.
func (g *Gossip) wantsDocument(d *gossippb.Digest) bool {
	if d.DocumentVersion == 0 {
		return false
	}
	current := g.Store.Current()
	switch config.Compare(current, d.DocumentVersion, d.DocumentHash) {
	case config.Applied:
		return true
	case config.Conflict:
		g.Store.RecordConflict(d.DocumentVersion, d.DocumentHash, "peer "+d.Sender)
		return d.DocumentHash > current.Hash
	default:
		return false
	}
}

// pullFrom fetches the document of a digest's sender, preferring the sender's address in the document in force.
func (g *Gossip) pullFrom(d *gossippb.Digest) {
	address := d.SenderAddress
	if snap := g.Store.Current(); snap != nil {
		if sender, ok := snap.Host(d.Sender); ok {
			address = sender.PeerAddress
		}
	}
	if err := g.pull(context.Background(), d, address); err != nil {
		g.Log.Warn().Str("event", "pull-failed").Str("peer", address).Err(err).Send()
	}
}

// FetchDocument returns the document in force.
func (g *Gossip) FetchDocument(context.Context, *gossippb.FetchDocumentRequest) (*gossippb.FetchDocumentReply, error) {
	snap := g.Store.Current()
	if snap == nil {
		return &gossippb.FetchDocumentReply{}, nil
	}
	return &gossippb.FetchDocumentReply{Document: snap.Raw}, nil
}

// OfferDocument receives a document that a digest has announced to this host but that this host could not fetch.
func (g *Gossip) OfferDocument(_ context.Context, r *gossippb.OfferDocumentRequest) (*gossippb.OfferDocumentReply, error) {
	if _, err := g.Store.Offer(r.Document, "peer "+r.Sender); err != nil {
		return nil, twirp.InvalidArgumentError("document", err.Error())
	}
	return &gossippb.OfferDocumentReply{}, nil
}
