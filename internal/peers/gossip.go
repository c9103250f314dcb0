package peers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// fanOut is the number of peers that a host calls in one round, whatever the fleet's size.
const fanOut = 2

// callTimeout bounds one call to a peer.
const callTimeout = time.Second

// Extension is a part of the router whose state travels on the digests. Its methods are safe for concurrent use.
type Extension interface {
	// Fill adds the part's state to a digest that is about to be sent.
	Fill(d *gossippb.Digest)
	// Merge takes over what is new in a received digest.
	Merge(d *gossippb.Digest)
}

// Gossip exchanges digests with a few random peers each round. It implements gossippb.Gossip.
type Gossip struct {
	self        string
	selfAddress string
	incarnation uint64
	seeds       []string
	scheme      string
	client      *http.Client
	interval    time.Duration

	members    *Members
	extensions []Extension
	store      *config.Store
	clock      clockwork.Clock
	rnd        *rand.Rand
	log        zerolog.Logger
	failed     tally.Counter
	rounds     tally.Counter
}

// Options configures NewGossip.
type Options struct {
	Self        string
	SelfAddress string
	Incarnation uint64
	// Seeds are peer addresses used while no document is known.
	Seeds []string
	// Scheme is http or https.
	Scheme   string
	Client   *http.Client
	Interval time.Duration
	Members  *Members
	// Extensions add their state to the digests.
	Extensions []Extension
	Store      *config.Store
	Clock      clockwork.Clock
	Rand       *rand.Rand
	Log        zerolog.Logger
	Scope      tally.Scope
}

// NewGossip returns the exchange; Run starts it.
func NewGossip(o Options) *Gossip {
	return &Gossip{
		self: o.Self, selfAddress: o.SelfAddress, incarnation: o.Incarnation, seeds: o.Seeds, scheme: o.Scheme,
		client: o.Client, interval: o.Interval, members: o.Members, extensions: o.Extensions, store: o.Store, clock: o.Clock, rnd: o.Rand,
		log: o.Log, failed: o.Scope.Counter("gossip_calls_failed"), rounds: o.Scope.Counter("gossip_rounds"),
	}
}

// Run gossips until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := g.clock.NewTicker(g.interval)
	defer ticker.Stop()
	for {
		g.Round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Round exchanges digests with a few random peers.
func (g *Gossip) Round(ctx context.Context) {
	g.rounds.Inc(1)
	g.members.Beat()
	targets := g.targets()
	g.rnd.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, address := range targets[:min(fanOut, len(targets))] {
		if err := g.exchange(ctx, address); err != nil {
			g.failed.Inc(1)
			g.log.Debug().Str("event", "gossip-failed").Str("peer", address).Err(err).Send()
		}
	}
}

func (g *Gossip) targets() []string {
	snap := g.store.Current()
	if snap == nil {
		return append([]string(nil), g.seeds...)
	}
	var addresses []string
	for _, seat := range snap.Seats() {
		if seat.Name != g.self && !seat.Retired {
			addresses = append(addresses, seat.PeerAddress)
		}
	}
	return addresses
}

func (g *Gossip) peer(address string) gossippb.Gossip {
	return gossippb.NewGossipProtobufClient(g.scheme+"://"+address, g.client)
}

func (g *Gossip) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.peer(address).Exchange(ctx, g.digest())
	if err != nil {
		return errors.Wrapf(err, "gossip with %s", address)
	}
	g.merge(reply)
	return g.pull(ctx, reply, address)
}

// pull fetches the peer's document if it is newer than the one in force.
func (g *Gossip) pull(ctx context.Context, d *gossippb.Digest, address string) error {
	if d.DocumentVersion == 0 {
		return nil
	}
	verdict := config.Compare(g.store.Current(), d.DocumentVersion, d.DocumentHash)
	if verdict != config.Applied && verdict != config.Conflict {
		return nil
	}
	reply, err := g.peer(address).FetchDocument(ctx, &gossippb.FetchDocumentRequest{Sender: g.self})
	if err != nil {
		return errors.Wrapf(err, "fetch document from %s", address)
	}
	_, err = g.store.Offer(reply.Document, "peer "+d.Sender)
	return err
}

func (g *Gossip) merge(d *gossippb.Digest) {
	g.members.Merge(d.Members)
	for _, e := range g.extensions {
		e.Merge(d)
	}
}

func (g *Gossip) digest() *gossippb.Digest {
	d := &gossippb.Digest{Sender: g.self, Incarnation: g.incarnation, Members: g.members.Digest()}
	if snap := g.store.Current(); snap != nil {
		d.DocumentVersion = snap.Version
		d.DocumentHash = snap.Hash
	}
	for _, e := range g.extensions {
		e.Fill(d)
	}
	return d
}

// Exchange serves a peer's round. If the peer's document is newer, it is fetched in the background.
func (g *Gossip) Exchange(_ context.Context, d *gossippb.Digest) (*gossippb.Digest, error) {
	g.merge(d)
	if host, ok := g.host(d.Sender); ok {
		go g.pullFrom(d, host.PeerAddress)
	}
	return g.digest(), nil
}

func (g *Gossip) host(name string) (document.SeatHost, bool) {
	snap := g.store.Current()
	if snap == nil {
		return document.SeatHost{}, false
	}
	return snap.Host(name)
}

func (g *Gossip) pullFrom(d *gossippb.Digest, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := g.pull(ctx, d, address); err != nil {
		g.log.Debug().Str("event", "pull-failed").Str("peer", address).Err(err).Send()
	}
}

// FetchDocument returns the document in force.
func (g *Gossip) FetchDocument(context.Context, *gossippb.FetchDocumentRequest) (*gossippb.FetchDocumentReply, error) {
	snap := g.store.Current()
	if snap == nil {
		return &gossippb.FetchDocumentReply{}, nil
	}
	return &gossippb.FetchDocumentReply{Document: snap.Raw}, nil
}
