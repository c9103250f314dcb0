// Package fleet discovers the other hosts of a direct-sending fleet by gossip and relays published items between them,
// so that a host whose store calls fail still receives changes.
//
// Membership only decides how a limit is divided among hosts and which host is asked for changes. No guarantee depends
// on it.
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
	"github.com/orioleusher/orioleusher/internal/lending"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/loadshare"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// Intervals and timeouts of the gossip.
const (
	// exchangeTimeout bounds one call; the hosts of one region are milliseconds apart.
	exchangeTimeout = 600 * time.Millisecond
	// outageGossipInterval is the time between two rounds while the store does not respond to this host. A change then
	// arrives within a few rounds, well within the limit of five seconds.
	outageGossipInterval = 250 * time.Millisecond
	// startGossipInterval is the time between two rounds while no other host is known. Seeds may start later.
	startGossipInterval = 100 * time.Millisecond
	// memberExpiry is how long an unresponsive host still counts when a limit is divided, and memberExpiryPerHost is
	// the additional time for each host of the fleet. Together they are much longer than the time for which hosts
	// disagree about the membership, and than the time that a new heartbeat of a host takes to reach every other one.
	memberExpiry        = time.Minute
	memberExpiryPerHost = 250 * time.Millisecond
	// One in seedRoundInterval rounds goes to a seed, so that separated parts of a fleet find each other again.
	seedRoundInterval = 8
	// One in unreachableRoundInterval rounds may go to a host that did not respond.
	unreachableRoundInterval = 4
)

// LoadReports holds the upstream loads and request limits that hosts exchange.
type LoadReports interface {
	Reports() []balance.LoadReport
	MergeReports([]balance.LoadReport)
	LimitReports() []balance.LimitReport
	MergeLimitReports([]balance.LimitReport)
	BrittleReports() []balance.BrittleReport
	MergeBrittleReports([]balance.BrittleReport)
}

// CrashRecords holds the upstream crashes that hosts exchange.
type CrashRecords interface {
	Records() quarantine.Records
	Merge(quarantine.Records)
}

// Store is this host's reader of the published items.
type Store interface {
	// Disconnected reports whether neither the store nor a host that reads it responds.
	Disconnected() bool
	// ServeChanges returns this host's changes after the version, and whether this host reads the store.
	ServeChanges(ctx context.Context, after published.Version, wait time.Duration) (published.PeerBatch, bool)
	// ServeSnapshot returns all items, and whether they are recent enough to pass on.
	ServeSnapshot() (published.PeerBatch, bool)
}

const (
	// maxDigestHosts bounds the members in one message.
	maxDigestHosts = 32
	// newcomerFraction is the fraction of this host's members below which another host counts as just started and
	// receives all members.
	newcomerFraction = 0.95
)

// Options configures New.
type Options struct {
	// Self is this host's peer address.
	Self        string
	Incarnation uint64
	Seeds       []string
	// MinHosts is the minimum number of hosts among which a limit is divided, even if fewer are known.
	MinHosts       int
	GossipInterval time.Duration
	// DataCentre is the name of this host's data centre.
	DataCentre string
	Mirror     *published.Mirror
	Store      Store
	Loads      LoadReports
	Crashes    CrashRecords
	Prompts    PromptRecords
	Origins    Origins
	Transport  http.RoundTripper
	Clock      clockwork.Clock
	Rand       *rand.Rand
	Log        zerolog.Logger
	Scope      tally.Scope
}

// Fleet is this host's view of the other hosts. It is safe for concurrent use.
type Fleet struct {
	Options
	client *http.Client
	// watchClient has no timeout of its own, since its calls wait for changes.
	watchClient *http.Client
	rounds      tally.Counter
	failures    tally.Counter
	// localTraffic and remoteTraffic count digests to hosts of this and of other data centres.
	localTraffic, remoteTraffic traffic
	// snapshots limits the snapshots that are prepared at the same time.
	snapshots chan struct{}
	// announcements holds a token while Run is to exchange digests at once.
	announcements chan struct{}

	mu      sync.Mutex
	seeds   []string
	members map[string]*member
	leaving bool
	// announcesSoon is set while a call of AnnounceSoon is pending.
	announcesSoon bool
	// dataCentreHash is the hash of the name of this host's data centre.
	dataCentreHash uint32
	// lend answers hosts that ask for a part of upstreams' limits; nil if nothing does.
	lend func(lending.Question) (incarnationID uint32, ok bool)
}

type member struct {
	incarnation    uint64
	dataCentreHash uint32
	lastSeen       time.Time
	leaving        bool
	unreachable    bool
	// skipUntil is the time until which the member is not asked for changes, after a failed call.
	skipUntil time.Time
}

var _ fleetpb.Fleet = (*Fleet)(nil)

// New returns a fleet without members. Run discovers them, starting from the seeds.
func New(o Options) *Fleet {
	return &Fleet{
		Options: o, client: &http.Client{Transport: o.Transport, Timeout: exchangeTimeout},
		watchClient: &http.Client{Transport: o.Transport}, seeds: o.Seeds,
		members: map[string]*member{}, dataCentreHash: uint32(loadbalancer.HashKey(o.DataCentre)),
		localTraffic: newTraffic(o.Scope, "local"), remoteTraffic: newTraffic(o.Scope, "remote"),
		snapshots: make(chan struct{}, maxSnapshots), announcements: make(chan struct{}, 1), rounds: o.Scope.Counter("fleet_rounds"), failures: o.Scope.Counter("fleet_failures"),
	}
}

// Run performs gossip rounds until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	go f.runAnnouncements(ctx)
	for ctx.Err() == nil {
		f.GossipRound(ctx)
		wait := f.GossipInterval
		if f.Store.Disconnected() {
			wait = outageGossipInterval
		}
		if !f.knowsHosts() {
			wait = startGossipInterval
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(wait):
		}
	}
}

func (f *Fleet) knowsHosts() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) > 0
}

// unknownMembers stands for the number of members of another host that has not reported it yet.
const unknownMembers = math.MaxInt

// GossipRound exchanges digests with one other host.
func (f *Fleet) GossipRound(ctx context.Context) {
	address := f.pickTarget()
	if address != "" {
		f.exchangeWith(ctx, address)
	}
}

// exchangeWith exchanges digests with the host.
func (f *Fleet) exchangeWith(ctx context.Context, address string) {
	f.rounds.Inc(1)
	dataCentreHash := f.dataCentreOf(address)
	digest := f.digest(dataCentreHash, unknownMembers)
	f.countSent(dataCentreHash, digest)
	reply, err := fleetpb.NewFleetProtobufClient("http://"+address, f.client).Exchange(ctx, digest)
	if err != nil {
		f.failures.Inc(1)
		f.recordUnreachable(address, errors.Wrapf(err, "exchange with %s", address))
		return
	}
	f.merge(reply)
	f.recordReachable(address)
}

// Exchange implements fleetpb.Fleet. It replies with the data that the sender lacks. Large changes are sent only to a
// host whose store calls fail.
func (f *Fleet) Exchange(_ context.Context, d *fleetpb.Digest) (*fleetpb.Digest, error) {
	f.merge(d)
	f.recordReachable(d.GetSender().GetAddress())
	reply := f.digest(d.GetSender().GetDataCentre(), int(d.GetKnown()))
	theirs, ours := f.completeVersion(d.GetMirror().GetEra(), d.GetMirror().GetComplete()), f.Mirror.Complete()
	if theirs.Compare(ours) < 0 {
		if b := f.Mirror.Since(theirs); d.GetWantsItems() || b.WithinRelayLimit() {
			reply.Mirror = encodeMirror(theirs.Revision, b)
		}
	}
	if theirs.Era == ours.Era && !reply.GetMirror().GetFull() {
		kept := encodeMirror(0, f.Mirror.Kept())
		reply.Mirror.Items, reply.Mirror.RestoredAt = append(reply.Mirror.Items, kept.GetItems()...), kept.GetRestoredAt()
	}
	f.countSent(d.GetSender().GetDataCentre(), reply)
	return reply, nil
}

// dataCentreOf returns the hash of the host's data centre, or 0 if the host is unknown.
func (f *Fleet) dataCentreOf(address string) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[address]; m != nil {
		return m.dataCentreHash
	}
	return 0
}

// merge merges a digest. Its sender was seen now, and its members as long ago as the digest says.
func (f *Fleet) merge(d *fleetpb.Digest) {
	f.mergeMirror(d.GetSender().GetAddress(), d.GetMirror())
	f.Loads.MergeReports(decodeLoads(d.GetLoads()))
	f.Loads.MergeLimitReports(loadshare.DecodeLimits(d.GetLimits()))
	f.Loads.MergeBrittleReports(loadshare.DecodeBrittle(d.GetBrittle()))
	now := f.Clock.Now()
	f.Crashes.Merge(decodeCrashes(d, now))
	f.Prompts.Merge(decodePrompts(d.GetPrompts(), now))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordSeen(d.GetSender(), now)
	expiry := memberExpiry + time.Duration(len(f.members))*memberExpiryPerHost
	for _, host := range d.GetHosts() {
		if ago := time.Duration(host.GetHeardAgoMs()) * time.Millisecond; ago < expiry {
			f.recordSeen(host, now.Add(-ago))
		}
	}
	for address, m := range f.members {
		if now.Sub(m.lastSeen) > expiry {
			delete(f.members, address)
		}
	}
}

// recordSeen records when a host was last seen. The caller holds mu.
func (f *Fleet) recordSeen(h *fleetpb.Host, at time.Time) {
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
	if at.Before(m.lastSeen) {
		return
	}
	if m.incarnation != h.GetIncarnation() {
		m.skipUntil = time.Time{}
	}
	m.lastSeen, m.incarnation, m.leaving, m.dataCentreHash = at, h.GetIncarnation(), h.GetLeaving(), h.GetDataCentre()
}

// recordReachable marks a host that responded to this one, or called it, as reachable. Digests of other hosts that list it do
// not.
func (f *Fleet) recordReachable(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[address]; m != nil && m.unreachable {
		m.unreachable = false
		f.Log.Info().Str("event", "peer-regained").Str("peer", address).Send()
	}
}

func (f *Fleet) recordUnreachable(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	if m == nil || m.unreachable {
		return
	}
	m.unreachable = true
	f.Log.Warn().Str("event", "peer-lost").Str("peer", address).Dur("heard_ago_ms", f.Clock.Since(m.lastSeen)).Err(err).Send()
}

// SetSeeds replaces the seeds after a settings change.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// MarkLeaving announces in later digests that this host is leaving, and stops it from serving changes.
func (f *Fleet) MarkLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// HostState is the entry of a host in the state dump.
type HostState struct {
	Address string `json:"address"`
	// SameDataCentre is set if the host is in the same data centre as this one.
	SameDataCentre bool          `json:"near"`
	LastSeenAgo    time.Duration `json:"heard_ago_ns"`
	Leaving        bool          `json:"leaving,omitempty"`
	Unreachable    bool          `json:"lost,omitempty"`
}

// State returns the state of all members.
func (f *Fleet) State() []HostState {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make([]HostState, 0, len(f.members))
	for address, m := range f.members {
		states = append(states, HostState{
			Address: address, SameDataCentre: m.dataCentreHash == f.dataCentreHash, LastSeenAgo: f.Clock.Since(m.lastSeen), Leaving: m.leaving, Unreachable: m.unreachable,
		})
	}
	return states
}
