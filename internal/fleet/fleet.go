// Package fleet finds the other hosts of a directly sending fleet and passes published items on between them, so that a
// host that the store turns away still learns of changes.
//
// Membership decides only how a bound is split and whom to ask; no promise rests on it.
package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// Times of the exchange.
const (
	// exchangeTimeout bounds one call; hosts of one region are milliseconds apart.
	exchangeTimeout = 600 * time.Millisecond
	// lostInterval is the time between two rounds while the store does not answer this host: a change reaches it within
	// a few rounds, well inside the bound of five seconds.
	lostInterval = 250 * time.Millisecond
	// forgetAfter is how long a silent host still counts for the split of bounds, and forgetPerHost how much longer for
	// each host of the fleet: much longer than hosts disagree, and than word of a host that lives takes.
	forgetAfter   = time.Minute
	forgetPerHost = 250 * time.Millisecond
	// seedEvery is the share of rounds that go to a seed: one in so many, so that parts of a fleet that lost each other
	// meet again.
	seedEvery = 8
	// lostEvery is the share of rounds in which a host that did not answer is asked again.
	lostEvery = 4
)

// LoadReports holds the loads of upstreams that hosts pass on to each other.
type LoadReports interface {
	Reports() []balance.LoadReport
	Hear([]balance.LoadReport)
}

// CrashRecords holds the deaths of upstreams that hosts pass on to each other.
type CrashRecords interface {
	Recent() []quarantine.Crash
	Take([]quarantine.Crash)
}

// Store is this host's reading of the published items.
type Store interface {
	// Failing reports whether neither the store nor a host that reads it answers.
	Failing() bool
	// Serve returns what this host knows beyond the revision, and whether it reads the store.
	Serve(ctx context.Context, after uint64, wait time.Duration) (published.PeerBatch, bool)
}

const (
	// maxHosts bounds the hosts in one message.
	maxHosts = 32
	// newcomerPart is the part of the hosts known here below which another host counts as one that has just started, and
	// is told of all of them.
	newcomerPart = 0.95
)

// Options configures New.
type Options struct {
	// Self is this host's peer address.
	Self        string
	Incarnation uint64
	Seeds       []string
	// MinHosts is the least number of hosts that share a bound, before others are heard of.
	MinHosts       int
	GossipInterval time.Duration
	// DataCentre is the name of this host's data centre.
	DataCentre string
	Mirror     *published.Mirror
	// Store reads the published items.
	Store     Store
	Loads     LoadReports
	Crashes   CrashRecords
	Transport http.RoundTripper
	Clock     clockwork.Clock
	Rand      *rand.Rand
	Log       zerolog.Logger
	Scope     tally.Scope
}

// Fleet is this host's view of the others. It is safe for concurrent use.
type Fleet struct {
	Options
	client *http.Client
	// news has no time-out of its own: its calls wait for changes.
	news     *http.Client
	rounds   tally.Counter
	failures tally.Counter

	mu      sync.Mutex
	seeds   []string
	members map[string]*member
	leaving bool
	// centre is the hash of the name of this host's data centre.
	centre uint32
}

type member struct {
	incarnation uint64
	dataCentre  uint32
	heard       time.Time
	leaving     bool
	lost        bool
	// silentUntil is until when this host does not ask the member for news, after a call that failed.
	silentUntil time.Time
}

var _ fleetpb.Fleet = (*Fleet)(nil)

// New returns a fleet that knows only this host and the seeds.
func New(o Options) *Fleet {
	return &Fleet{
		Options: o, client: &http.Client{Transport: o.Transport, Timeout: exchangeTimeout},
		news: &http.Client{Transport: o.Transport}, seeds: o.Seeds,
		members: map[string]*member{}, centre: uint32(loadbalancer.HashKey(o.DataCentre)),
		rounds: o.Scope.Counter("fleet_rounds"), failures: o.Scope.Counter("fleet_failures"),
	}
}

// Run exchanges with one other host a round until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.GossipRound(ctx)
		wait := f.GossipInterval
		if f.Store.Failing() {
			wait = lostInterval
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(wait):
		}
	}
}

// unknown stands for how many hosts another host knows, before it has said so.
const unknown = math.MaxInt

// GossipRound exchanges with one other host.
func (f *Fleet) GossipRound(ctx context.Context) {
	address := f.pick()
	if address == "" {
		return
	}
	f.rounds.Inc(1)
	answer, err := fleetpb.NewFleetProtobufClient("http://"+address, f.client).Exchange(ctx, f.digest(unknown))
	if err != nil {
		f.failures.Inc(1)
		f.noteLost(address, errors.Wrapf(err, "exchange with %s", address))
		return
	}
	f.merge(answer)
	f.noteReached(address)
}

// Exchange implements fleetpb.Fleet: it answers with what this host knows beyond the sender. Large changes are passed on
// only to a host that the store does not answer.
func (f *Fleet) Exchange(_ context.Context, d *fleetpb.Digest) (*fleetpb.Digest, error) {
	f.merge(d)
	answer := f.digest(int(d.GetKnown()))
	theirs := d.GetMirror().GetComplete()
	if f.Mirror.CompleteRevision() > theirs {
		if b := f.Mirror.Since(theirs); d.GetWantsItems() || b.WithinRelayLimit() {
			answer.Mirror = encodeMirror(theirs, b)
		}
	}
	return answer, nil
}

// merge takes a digest: its sender was heard of now, its hosts as long ago as it says.
func (f *Fleet) merge(d *fleetpb.Digest) {
	f.mergeMirror(d.GetSender().GetAddress(), d.GetMirror())
	f.Loads.Hear(decodeLoads(d.GetLoads()))
	now := f.Clock.Now()
	f.Crashes.Take(decodeStrikes(d.GetStrikes(), now))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hear(d.GetSender(), now)
	keep := forgetAfter + time.Duration(len(f.members))*forgetPerHost
	for _, host := range d.GetHosts() {
		if ago := time.Duration(host.GetHeardAgoMs()) * time.Millisecond; ago < keep {
			f.hear(host, now.Add(-ago))
		}
	}
	for address, m := range f.members {
		if now.Sub(m.heard) > keep {
			delete(f.members, address)
		}
	}
}

// hear notes that a host was heard of; the caller holds mu.
func (f *Fleet) hear(h *fleetpb.Host, at time.Time) {
	address := h.GetAddress()
	if address == "" || address == f.Self {
		return
	}
	m := f.members[address]
	if m == nil {
		m = &member{}
		f.members[address] = m
		f.Log.Info().Str("event", "peer-found").Str("peer", address).Int("hosts", len(f.members)+1).Send()
	}
	if at.Before(m.heard) {
		return
	}
	if m.incarnation != h.GetIncarnation() {
		m.silentUntil = time.Time{}
	}
	m.heard, m.incarnation, m.leaving, m.dataCentre = at, h.GetIncarnation(), h.GetLeaving(), h.GetDataCentre()
}

// noteReached ends the suspicion of a host that answered; what others heard of it does not.
func (f *Fleet) noteReached(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[address]; m != nil && m.lost {
		m.lost = false
		f.Log.Info().Str("event", "peer-regained").Str("peer", address).Send()
	}
}

func (f *Fleet) noteLost(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	if m == nil || m.lost {
		return
	}
	m.lost = true
	f.Log.Warn().Str("event", "peer-lost").Str("peer", address).Dur("heard_ago_ms", f.Clock.Since(m.heard)).Err(err).Send()
}

// SetSeeds replaces the seeds after a change of the settings.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// MarkLeaving marks this host as leaving.
func (f *Fleet) MarkLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// HostState is a host's line in the state dump.
type HostState struct {
	Address string `json:"address"`
	// SameDataCentre says that the host is in the same data centre.
	SameDataCentre bool          `json:"near"`
	LastSeenAgo    time.Duration `json:"heard_ago_ns"`
	Leaving        bool          `json:"leaving,omitempty"`
	Unreachable    bool          `json:"lost,omitempty"`
}

// State returns a copy of the members.
func (f *Fleet) State() []HostState {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make([]HostState, 0, len(f.members))
	for address, m := range f.members {
		states = append(states, HostState{
			Address: address, SameDataCentre: m.dataCentre == f.centre, LastSeenAgo: f.Clock.Since(m.heard), Leaving: m.leaving, Unreachable: m.lost,
		})
	}
	return states
}
