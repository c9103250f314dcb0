package peers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
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
	// Answered is called each time a peer answers; it may be nil.
	Answered func()
	Store    *config.Store
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Log      zerolog.Logger
	Scope    tally.Scope
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
			go g.Push(ctx)
		case <-ticker.Chan():
			go g.Round(ctx)
		}
	}
}

// Round exchanges digests with the next partners in turn and with one host that is not believed live.
func (g *Gossip) Round(ctx context.Context) {
	g.metrics.rounds.Inc(1)
	g.Members.Expire()
	g.exchangeAll(ctx, g.targets())
}

// report sets the gauges.
func (g *Gossip) report(live int) {
	g.metrics.live.Update(float64(live))
	if snap := g.Store.Current(); snap != nil {
		g.metrics.version.Update(float64(snap.Version))
	}
}

// Push tells a few random live peers of the document in force; each that did not know it pulls it and pushes on.
func (g *Gossip) Push(ctx context.Context) {
	g.metrics.pushes.Inc(1)
	live, _ := g.peers()
	g.exchangeAll(ctx, g.sample(live, pushFanOut))
}

// CatchUp asks a few peers for their table of members and for their document, and returns when all have answered or
// failed. It returns the number asked and the number reached.
func (g *Gossip) CatchUp(ctx context.Context) (asked, reached int) {
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

// exchange reports whether the peer answered.
func (g *Gossip) exchange(ctx context.Context, p peer) bool {
	reply, err := g.call(ctx, p)
	if err != nil {
		g.failed(ctx, p, err)
		return false
	}
	g.Members.Reached(reply.Sender)
	g.answered.Store(g.Clock.Now().UnixMilli())
	if g.Answered != nil {
		g.Answered()
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
		g.Members.Adopt(reply.Members)
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
	g.Members.Accuse(p.name)
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

// pull fetches the peer's document if it is to replace the one in force.
func (g *Gossip) pull(ctx context.Context, d *gossippb.Digest, address string) error {
	if !g.wants(d) {
		return nil
	}
	g.pulling.Lock()
	defer g.pulling.Unlock()
	id := documentID{version: d.DocumentVersion, hash: d.DocumentHash}
	if !g.wants(d) || id == g.refused && g.Clock.Since(g.refusedAt) < refusedFor {
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
		g.refused, g.refusedAt = id, g.Clock.Now()
	}
	return err
}

// wants reports whether the sender's document is to replace the one in force.
func (g *Gossip) wants(d *gossippb.Digest) bool {
	if d.DocumentVersion == 0 {
		return false
	}
	current := g.Store.Current()
	switch config.Compare(current, d.DocumentVersion, d.DocumentHash) {
	case config.Applied:
		return true
	case config.Conflict:
		g.Store.NoteConflict(d.DocumentVersion, d.DocumentHash, "peer "+d.Sender)
		return d.DocumentHash > current.Hash
	default:
		return false
	}
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
		reply.Members = g.Members.All()
	}
	return reply, nil
}

func (g *Gossip) pullFrom(d *gossippb.Digest) {
	address := d.SenderAddress
	if snap := g.Store.Current(); snap != nil {
		if seat, ok := snap.Host(d.Sender); ok {
			address = seat.PeerAddress
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

// OfferDocument takes over a document that this host heard of and could not fetch.
func (g *Gossip) OfferDocument(_ context.Context, r *gossippb.OfferDocumentRequest) (*gossippb.OfferDocumentReply, error) {
	if _, err := g.Store.Offer(r.Document, "peer "+r.Sender); err != nil {
		return nil, twirp.InvalidArgumentError("document", err.Error())
	}
	return &gossippb.OfferDocumentReply{}, nil
}

// GossipState is the section of the state dump.
type GossipState struct {
	// Messages counts the digests that this host sent of its own accord; each has a reply.
	Messages uint64 `json:"messages"`
	Failed   uint64 `json:"failed"`
	// Answered is when a peer last answered.
	Answered time.Time `json:"answered"`
	Partners []string  `json:"partners"`
}

// State returns the counts and the partners.
func (g *Gossip) State() GossipState {
	live, _ := g.peers()
	s := GossipState{Messages: g.messages.Load(), Failed: g.failures.Load(), Answered: time.UnixMilli(g.answered.Load()), Partners: []string{}}
	for _, p := range partners(g.Self, live) {
		s.Partners = append(s.Partners, p.name)
	}
	return s
}
