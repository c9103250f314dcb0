package peers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// Bounds on the number of messages that one host sends, whatever the fleet's size.
const (
	// fanOut is the number of partners that a host calls in one gossip round.
	fanOut = 2
	// announceFanOut is the number of peers to which a new document is announced immediately.
	announceFanOut = 3
	// indirectProbes is the number of peers that are asked to probe a host that does not respond.
	indirectProbes = 2
	// maxResyncPeers bounds the number of peers that a host asks after a start or a pause.
	maxResyncPeers = 8
)

// Time limits for calls to peers.
const (
	callTimeout  = time.Second
	fetchTimeout = 5 * time.Second
	// refetchDelay is how long a document that this host could not parse is not fetched again.
	refetchDelay = 30 * time.Second
	// offerDelay is how long a peer has to fetch a newer document that a digest announced before the document is sent
	// to it.
	offerDelay = time.Second
)

// Extension is a component whose state is carried in gossip digests. Its methods are safe for concurrent use.
type Extension interface {
	// AppendState adds the component's state to a digest that is about to be sent.
	AppendState(d *gossippb.Digest)
	// MergeState merges the state from a received digest.
	MergeState(d *gossippb.Digest)
}

// Gossip exchanges digests with a few partners in each round. It implements gossippb.Gossip.
type Gossip struct {
	Options
	metrics gossipMetrics

	// inProgress holds the addresses to which a call is in progress, and the keys of pending offers.
	mu         sync.Mutex
	inProgress map[string]struct{}
	rnd        *rand.Rand

	// pullMu ensures that one document is fetched at a time.
	pullMu     sync.Mutex
	rejected   documentID
	rejectedAt time.Time

	messages    atomic.Uint64
	failures    atomic.Uint64
	nextPartner int
	// lastResponse is when a peer last responded, in Unix milliseconds.
	lastResponse atomic.Int64
	wantAll      atomic.Bool
	// limitedToHash is the hash of the document to whose hosts the member table is limited.
	limitedToHash string
}

type documentID struct {
	version uint64
	hash    string
}

type gossipMetrics struct {
	rounds, messages, callsFailed, pulls, pushes, offers, suspected tally.Counter
	live, version                                                   tally.Gauge
}

// Options configures NewGossip.
type Options struct {
	Self        string
	SelfAddress string
	Incarnation uint64
	// Seeds are the peer addresses used while there is no document.
	Seeds []string
	// Scheme is http or https.
	Scheme   string
	Client   *http.Client
	Interval time.Duration
	Members  *Members
	// Extensions add their state to the digests.
	Extensions []Extension
	// OnPeerResponse is called each time a peer responds; it may be nil.
	OnPeerResponse func()
	Store          *config.Store
	Clock          clockwork.Clock
	Rand           *rand.Rand
	Log            zerolog.Logger
	Scope          tally.Scope
}

// NewGossip returns a Gossip; Run starts its rounds.
func NewGossip(o Options) *Gossip {
	g := &Gossip{Options: o, inProgress: map[string]struct{}{}, rnd: o.Rand, metrics: gossipMetrics{
		rounds: o.Scope.Counter("gossip_rounds"), messages: o.Scope.Counter("gossip_messages"),
		callsFailed: o.Scope.Counter("gossip_calls_failed"), pulls: o.Scope.Counter("documents_pulled"),
		pushes: o.Scope.Counter("documents_pushed"), offers: o.Scope.Counter("documents_offered"),
		suspected: o.Scope.Counter("members_accused"),
		live:      o.Scope.Gauge("members_live"), version: o.Scope.Gauge("document_version"),
	}}
	g.wantAll.Store(true)
	return g
}

// Run runs gossip rounds until the context ends. A new document in force is announced immediately.
func (g *Gossip) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(g.Interval)
	defer ticker.Stop()
	for {
		changed := g.Store.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			go g.GossipNow(ctx)
		case <-ticker.Chan():
			go g.Round(ctx)
		}
	}
}

// Round exchanges digests with the next partners in turn and with one host that is not considered live.
func (g *Gossip) Round(ctx context.Context) {
	g.metrics.rounds.Inc(1)
	g.Members.ExpireSuspects()
	g.exchangeAll(ctx, g.targets())
}

// updateGauges sets the gauges.
func (g *Gossip) updateGauges(live int) {
	g.metrics.live.Update(float64(live))
	if snap := g.Store.Current(); snap != nil {
		g.metrics.version.Update(float64(snap.Version))
	}
}

// GossipNow sends a digest with the version of the document in force to a few random live peers. A peer that
// does not have that version fetches it and announces it in turn.
func (g *Gossip) GossipNow(ctx context.Context) {
	g.metrics.pushes.Inc(1)
	live, _ := g.peers()
	g.exchangeAll(ctx, g.sample(live, announceFanOut))
}

// Resync requests the full member table and the document of a few peers and returns when all calls have ended. It
// returns the number of peers asked and the number that responded.
func (g *Gossip) Resync(ctx context.Context) (asked, reached int) {
	g.wantAll.Store(true)
	live, rest := g.peers()
	targets := g.sample(live, maxResyncPeers)
	targets = append(targets, g.sample(rest, maxResyncPeers-len(targets))...)
	var wg sync.WaitGroup
	var responded atomic.Int64
	for _, p := range targets {
		wg.Go(func() {
			if g.exchange(ctx, p) {
				responded.Add(1)
			}
		})
	}
	wg.Wait()
	return len(targets), int(responded.Load())
}

func (g *Gossip) sample(peers []peer, count int) []peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(max(count, 0), len(peers))]
}

// peers returns the other hosts of the document, split into those considered live and the rest. Without a document it
// returns the seeds.
func (g *Gossip) peers() (live, rest []peer) {
	snap := g.Store.Current()
	if snap == nil {
		for _, address := range g.Seeds {
			rest = append(rest, peer{address: address})
		}
		return nil, rest
	}
	g.pruneMembers()
	for _, host := range snap.EntryHosts() {
		if host.Name == g.Self || host.Retired {
			continue
		}
		p := peer{name: host.Name, address: host.PeerAddress}
		if g.Members.Live(host.Name) {
			live = append(live, p)
		} else {
			rest = append(rest, p)
		}
	}
	return live, rest
}

// pruneMembers removes the members that the document in force no longer lists.
func (g *Gossip) pruneMembers() {
	snap := g.Store.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limitedToHash == snap.Hash {
		return
	}
	g.limitedToHash = snap.Hash
	names := make([]string, 0, len(snap.EntryHosts()))
	for _, host := range snap.EntryHosts() {
		names = append(names, host.Name)
	}
	g.Members.SetHosts(names)
}

func (g *Gossip) targets() []peer {
	live, rest := g.peers()
	g.updateGauges(len(live))
	chosen := partners(g.Self, live)
	var targets []peer
	g.mu.Lock()
	for range min(fanOut, len(chosen)) {
		g.nextPartner++
		targets = append(targets, chosen[g.nextPartner%len(chosen)])
	}
	g.mu.Unlock()
	return append(targets, g.sample(rest, 1)...)
}

// exchangeAll exchanges digests with the peers concurrently, skipping those to which a call is in progress.
func (g *Gossip) exchangeAll(ctx context.Context, targets []peer) {
	var wg sync.WaitGroup
	for _, p := range targets {
		if !g.beginCall(p.address) {
			continue
		}
		wg.Go(func() {
			defer g.endCall(p.address)
			g.exchange(ctx, p)
		})
	}
	wg.Wait()
}

func (g *Gossip) beginCall(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, inProgress := g.inProgress[address]
	g.inProgress[address] = struct{}{}
	return !inProgress
}

func (g *Gossip) endCall(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, address)
}

func (g *Gossip) client(address string) gossippb.Gossip {
	return gossippb.NewGossipProtobufClient(g.Scheme+"://"+address, g.Client)
}

func (g *Gossip) mergeExtensions(d *gossippb.Digest) {
	for _, e := range g.Extensions {
		e.MergeState(d)
	}
}

// digest returns a message to the named host. It always includes the receiver's own entry, so that the receiver can
// refute it.
func (g *Gossip) digest(to string) *gossippb.Digest {
	d := &gossippb.Digest{Sender: g.Self, Incarnation: g.Incarnation, Members: g.Members.Digest(to), SenderAddress: g.address()}
	if snap := g.Store.Current(); snap != nil {
		d.DocumentVersion = snap.Version
		d.DocumentHash = snap.Hash
	}
	for _, e := range g.Extensions {
		e.AppendState(d)
	}
	return d
}

// address returns the peer address at which others reach this host.
func (g *Gossip) address() string {
	if snap := g.Store.Current(); snap != nil {
		if self, ok := snap.Host(g.Self); ok {
			return self.PeerAddress
		}
	}
	return g.SelfAddress
}

// Exchange handles a peer's digest and returns this host's. If the peer's document is newer, it is fetched in the
// background.
func (g *Gossip) Exchange(_ context.Context, d *gossippb.Digest) (*gossippb.Digest, error) {
	g.Members.Merge(d.Members)
	g.mergeExtensions(d)
	if g.wantsDocument(d) {
		go g.pullFrom(d)
	}
	reply := g.digest(d.Sender)
	if d.WantAll {
		reply.Members = g.Members.FullTable()
	}
	return reply, nil
}

// GossipState is the gossip section of the state dump.
type GossipState struct {
	// Messages counts the digests that this host sent as requests; replies are not counted.
	Messages uint64 `json:"messages"`
	Failed   uint64 `json:"failed"`
	// LastResponse is when a peer last responded.
	LastResponse time.Time `json:"answered"`
	Partners     []string  `json:"partners"`
}

// State returns the counts and the partners.
func (g *Gossip) State() GossipState {
	live, _ := g.peers()
	s := GossipState{Messages: g.messages.Load(), Failed: g.failures.Load(), LastResponse: time.UnixMilli(g.lastResponse.Load()), Partners: []string{}}
	for _, p := range partners(g.Self, live) {
		s.Partners = append(s.Partners, p.name)
	}
	return s
}
