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

// Limits of one host's messages, whatever the fleet's size.
const (
	// fanOut is the number of partners that a host calls in one round.
	fanOut = 2
	// pushFanOut is the number of peers that are told at once of a new document.
	pushFanOut = 3
	// indirectProbes is the number of peers that are asked about a host that does not answer.
	indirectProbes = 2
	// catchUpPeers bounds the peers that a host asks when it starts or wakes.
	catchUpPeers = 8
)

// Bounds on calls to peers.
const (
	callTimeout  = time.Second
	fetchTimeout = 5 * time.Second
	// refusedFor is how long a document that this host cannot read is not fetched again.
	refusedFor = 30 * time.Second
	// helpAfter is how long a peer that heard of a newer document has to fetch it.
	helpAfter = time.Second
)

// Extension is a part of the router whose state travels on the digests. Its methods are safe for concurrent use.
type Extension interface {
	// Fill adds the part's state to a digest that is about to be sent.
	Fill(d *gossippb.Digest)
	// Merge takes over what is new in a received digest.
	Merge(d *gossippb.Digest)
}

// Gossip exchanges digests with a few partners each round. It implements gossippb.Gossip.
type Gossip struct {
	Options
	metrics gossipMetrics

	// busy holds the addresses that a call is under way to.
	mu   sync.Mutex
	busy map[string]struct{}
	rnd  *rand.Rand

	// pulling lets one document be fetched at a time.
	pulling   sync.Mutex
	refused   documentID
	refusedAt time.Time

	messages atomic.Uint64
	failures atomic.Uint64
	next     int
	// answered is when a peer last answered, in Unix milliseconds.
	answered atomic.Int64
	wantAll  atomic.Bool
	// listed is the hash of the document whose hosts the table is limited to.
	listed string
}

type documentID struct {
	version uint64
	hash    string
}

type gossipMetrics struct {
	rounds, messages, failed, pulls, pushes, offers, accused tally.Counter
	live, version                                            tally.Gauge
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
	// OnPeerResponse is called each time a peer answers; it may be nil.
	OnPeerResponse func()
	Store          *config.Store
	Clock          clockwork.Clock
	Rand           *rand.Rand
	Log            zerolog.Logger
	Scope          tally.Scope
}

// NewGossip returns the exchange; Run starts it.
func NewGossip(o Options) *Gossip {
	g := &Gossip{Options: o, busy: map[string]struct{}{}, rnd: o.Rand, metrics: gossipMetrics{
		rounds: o.Scope.Counter("gossip_rounds"), messages: o.Scope.Counter("gossip_messages"),
		failed: o.Scope.Counter("gossip_calls_failed"), pulls: o.Scope.Counter("documents_pulled"),
		pushes: o.Scope.Counter("documents_pushed"), offers: o.Scope.Counter("documents_offered"),
		accused: o.Scope.Counter("members_accused"),
		live:    o.Scope.Gauge("members_live"), version: o.Scope.Gauge("document_version"),
	}}
	g.wantAll.Store(true)
	return g
}

// Run gossips until the context ends. A new document in force is pushed at once.
func (g *Gossip) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(g.Interval)
	defer ticker.Stop()
	for {
		changed := g.Store.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			go g.AnnounceDocument(ctx)
		case <-ticker.Chan():
			go g.Round(ctx)
		}
	}
}

// Round exchanges digests with the next partners in turn and with one host that is not believed live.
func (g *Gossip) Round(ctx context.Context) {
	g.metrics.rounds.Inc(1)
	g.Members.ExpireSuspects()
	g.exchangeAll(ctx, g.targets())
}

// report sets the gauges.
func (g *Gossip) report(live int) {
	g.metrics.live.Update(float64(live))
	if snap := g.Store.Current(); snap != nil {
		g.metrics.version.Update(float64(snap.Version))
	}
}

// AnnounceDocument tells a few random live peers of the document in force; each that did not know it pulls it and pushes on.
func (g *Gossip) AnnounceDocument(ctx context.Context) {
	g.metrics.pushes.Inc(1)
	live, _ := g.peers()
	g.exchangeAll(ctx, g.sample(live, pushFanOut))
}

// Resync asks a few peers for their table of members and for their document, and returns when all have answered or
// failed. It returns the number asked and the number reached.
func (g *Gossip) Resync(ctx context.Context) (asked, reached int) {
	g.wantAll.Store(true)
	live, rest := g.peers()
	targets := g.sample(live, catchUpPeers)
	targets = append(targets, g.sample(rest, catchUpPeers-len(targets))...)
	var wg sync.WaitGroup
	var answered atomic.Int64
	for _, p := range targets {
		wg.Go(func() {
			if g.exchange(ctx, p) {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return len(targets), int(answered.Load())
}

func (g *Gossip) sample(peers []peer, count int) []peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(max(count, 0), len(peers))]
}

// peers returns the other hosts of the document, those believed live and the rest; the seeds while there is none.
func (g *Gossip) peers() (live, rest []peer) {
	snap := g.Store.Current()
	if snap == nil {
		for _, address := range g.Seeds {
			rest = append(rest, peer{address: address})
		}
		return nil, rest
	}
	g.limitMembers()
	for _, seat := range snap.Seats() {
		if seat.Name == g.Self || seat.Retired {
			continue
		}
		p := peer{name: seat.Name, address: seat.PeerAddress}
		if g.Members.Live(seat.Name) {
			live = append(live, p)
		} else {
			rest = append(rest, p)
		}
	}
	return live, rest
}

// limitMembers drops the members that the document in force no longer lists.
func (g *Gossip) limitMembers() {
	snap := g.Store.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listed == snap.Hash {
		return
	}
	g.listed = snap.Hash
	names := make([]string, 0, len(snap.Seats()))
	for _, seat := range snap.Seats() {
		names = append(names, seat.Name)
	}
	g.Members.SetHosts(names)
}

func (g *Gossip) targets() []peer {
	live, rest := g.peers()
	g.report(len(live))
	chosen := partners(g.Self, live)
	var targets []peer
	g.mu.Lock()
	for range min(fanOut, len(chosen)) {
		g.next++
		targets = append(targets, chosen[g.next%len(chosen)])
	}
	g.mu.Unlock()
	return append(targets, g.sample(rest, 1)...)
}

// exchangeAll exchanges digests with the peers at the same time, but for those that a call is still under way to.
func (g *Gossip) exchangeAll(ctx context.Context, targets []peer) {
	var wg sync.WaitGroup
	for _, p := range targets {
		if !g.begin(p.address) {
			continue
		}
		wg.Go(func() {
			defer g.end(p.address)
			g.exchange(ctx, p)
		})
	}
	wg.Wait()
}

func (g *Gossip) begin(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, busy := g.busy[address]
	g.busy[address] = struct{}{}
	return !busy
}

func (g *Gossip) end(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.busy, address)
}

func (g *Gossip) client(address string) gossippb.Gossip {
	return gossippb.NewGossipProtobufClient(g.Scheme+"://"+address, g.Client)
}

func (g *Gossip) mergeExtensions(d *gossippb.Digest) {
	for _, e := range g.Extensions {
		e.Merge(d)
	}
}

// digest returns a message to the named host, which always learns what this host believes of it.
func (g *Gossip) digest(to string) *gossippb.Digest {
	d := &gossippb.Digest{Sender: g.Self, Incarnation: g.Incarnation, Members: g.Members.Digest(to), SenderAddress: g.address()}
	if snap := g.Store.Current(); snap != nil {
		d.DocumentVersion = snap.Version
		d.DocumentHash = snap.Hash
	}
	for _, e := range g.Extensions {
		e.Fill(d)
	}
	return d
}

// address returns the peer address under which others reach this host.
func (g *Gossip) address() string {
	if snap := g.Store.Current(); snap != nil {
		if seat, ok := snap.Host(g.Self); ok {
			return seat.PeerAddress
		}
	}
	return g.SelfAddress
}

// Exchange serves a peer's round. If the peer's document is newer, it is fetched in the background.
func (g *Gossip) Exchange(_ context.Context, d *gossippb.Digest) (*gossippb.Digest, error) {
	g.Members.Merge(d.Members)
	g.mergeExtensions(d)
	if g.wants(d) {
		go g.pullFrom(d)
	}
	reply := g.digest(d.Sender)
	if d.WantAll {
		reply.Members = g.Members.FullTable()
	}
	return reply, nil
}

// GossipState is the section of the state dump.
type GossipState struct {
	// Messages counts the digests that this host sent of its own accord; each has a reply.
	Messages uint64 `json:"messages"`
	Failed   uint64 `json:"failed"`
	// LastResponse is when a peer last answered.
	LastResponse time.Time `json:"answered"`
	Partners     []string  `json:"partners"`
}

// State returns the counts and the partners.
func (g *Gossip) State() GossipState {
	live, _ := g.peers()
	s := GossipState{Messages: g.messages.Load(), Failed: g.failures.Load(), LastResponse: time.UnixMilli(g.answered.Load()), Partners: []string{}}
	for _, p := range partners(g.Self, live) {
		s.Partners = append(s.Partners, p.name)
	}
	return s
}
