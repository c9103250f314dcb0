// Package router assembles one oriole-router process: the filter chains, the control loops beside them and the three
// servers (callers, peers, admin).
package router

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/callers"
	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/explain"
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/idempotency"
	"github.com/orioleusher/orioleusher/internal/metrics"
	"github.com/orioleusher/orioleusher/internal/pause"
	"github.com/orioleusher/orioleusher/internal/peers"
	"github.com/orioleusher/orioleusher/internal/peertls"
	"github.com/orioleusher/orioleusher/internal/placement"
	"github.com/orioleusher/orioleusher/internal/platform"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/quota"
	"github.com/orioleusher/orioleusher/internal/routing"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/transport"
	"github.com/orioleusher/orioleusher/internal/upstreams"
)

// Router is one oriole-router process.
type Router struct {
	settings    *settings.Router
	clock       clockwork.Clock
	log         zerolog.Logger
	metrics     *metrics.Registry
	scope       tally.Scope
	incarnation uint64

	store      *config.Store
	members    *peers.Members
	gossip     *peers.Gossip
	platform   *platform.Client
	limiter    *quota.Limiter
	borrower   *quota.Borrower
	quota      *quota.Loop
	registry   *idempotency.Registry
	upstreams  *upstreams.Set
	planner    *routing.Planner
	client     *transport.Client
	prober     *transport.Prober
	quarantine *quarantine.Table
	lanes      *quarantine.Lanes
	hops       *hop.Client
	stopping   atomic.Bool
	guard      *pause.Guard
	peerTLS    *peertls.Keeper
	control    peers.Meter
	entryWork  work
	hopWork    work
	// settled is true once the document in force is the highest that the platform and the peers had at the start.
	settled atomic.Bool
}

// New assembles a router; Run starts it.
func New(s *settings.Router, clock clockwork.Clock, log zerolog.Logger) (*Router, error) {
	r := &Router{settings: s, clock: clock, log: log, metrics: metrics.New("oriole_router"), incarnation: newIncarnation()}
	r.scope = r.metrics.Scope
	signer, err := idempotency.NewSigner(s.Name, r.incarnation)
	if err != nil {
		return nil, err
	}
	r.store = config.NewStore(clock, log)
	r.members = peers.NewMembers(s.Name, r.incarnation, s.Gossip.SuspectAfter.Std(), clock)
	r.limiter = quota.NewLimiter(s.Name, r.incarnation, clock)
	r.registry = idempotency.NewRegistry(signer, clock)
	r.planner = routing.NewPlanner(s.RoutingPolicy, s.DataCentre)
	r.upstreams = r.newUpstreams()
	r.quarantine = quarantine.NewTable(clock, r.passOn)
	r.lanes = quarantine.NewLanes()
	r.prober = transport.NewProber(r.dialer())
	r.client = transport.NewClient(s.Timeouts, r.dialer(), r.prober, r.scope)
	r.guard = pause.New(clock, r.catchUp, log, r.scope)
	r.entryWork.stopping, r.hopWork.stopping = &r.stopping, &r.stopping
	return r, r.connectFleet()
}

// newUpstreams makes the owner's view of its upstreams.
func (r *Router) newUpstreams() *upstreams.Set {
	reports := &http.Transport{DialContext: r.dialer().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}
	return upstreams.NewSet(upstreams.Options{
		Self: r.settings.Name, Policy: r.settings.RoutingPolicy, Live: r.members, Configuration: r.store,
		Reports: upstreams.HTTPReporter{Transport: reports}, Clock: r.clock, Log: r.log, Scope: r.scope,
	})
}

// dialer returns a dialer whose connections come from this host's peer address, so that peers and the network between
// can tell hosts apart by IP.
func (r *Router) dialer() *net.Dialer {
	host, _, _ := net.SplitHostPort(r.settings.PeerAddress)
	return &net.Dialer{
		Timeout: r.settings.Timeouts.Connect.Std(), LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)},
	}
}

// passOn tells a few peers, in the background, of a strike that is new to this host.
func (r *Router) passOn() {
	go r.gossip.Push(context.Background())
}

// newIncarnation returns a random identity for one run of the process.
func newIncarnation() uint64 {
	var raw [8]byte
	// crypto/rand.Read never fails; it ends the process if the system has no randomness.
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:])
}

// Run serves until the context ends and then stops gracefully. It returns the first server's error, if any.
func (r *Router) Run(ctx context.Context) error {
	loops, stopLoops := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.platform.Run(loops) })
	wg.Go(func() { placement.Watch(loops, r.store, r.settings.Name, r.settings.DataCentre, r.log) })
	wg.Go(func() { r.guard.Run(loops) })
	wg.Go(func() { r.hops.Run(loops) })
	wg.Go(func() { r.quota.Run(loops) })
	wg.Go(func() {
		r.settle(loops)
		r.gossip.Run(loops)
	})
	wg.Go(func() { r.upstreams.Run(loops) })

	entry := callers.New(r.store, r.entryChain(), r.settings, r.clock, r.log, r.scope).Server()
	entry.Handler = r.entryWork.handler(r.clock.Now, entry.Handler)
	peer := &http.Server{Handler: r.peerHandler(), ReadHeaderTimeout: r.settings.Timeouts.Header.Std()}
	operators := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: r.settings.Timeouts.Header.Std()}
	failed := make(chan error, 3)
	r.servePeers(peer, failed)
	r.serve(operators, "admin", r.settings.AdminAddress, failed)
	r.serve(entry, "caller", r.settings.CallerAddress, failed)
	r.log.Info().Str("event", "started").Uint64("incarnation", r.incarnation).Str("version", process.Version).Send()

	var err error
	select {
	case <-ctx.Done():
		err = r.stop(entry, peer, operators)
	case err = <-failed:
	}
	stopLoops()
	wg.Wait()
	r.client.Close()
	r.log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return errors.Wrap(err, "run router")
}

func (r *Router) serve(s *http.Server, name, address string, failed chan<- error) {
	go func() {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			err = process.IgnoreClosed(s.Serve(listener))
		}
		if err != nil {
			failed <- errors.Wrapf(err, "serve %s address %s", name, address)
		}
	}()
}

// servePeers serves the peer address with TLS unless the settings turn it off.
func (r *Router) servePeers(s *http.Server, failed chan<- error) {
	if r.peerTLS == nil {
		r.serve(s, "peer", r.settings.PeerAddress, failed)
		return
	}
	go func() {
		listener, err := net.Listen("tcp", r.settings.PeerAddress)
		if err == nil {
			err = process.IgnoreClosed(s.Serve(r.peerTLS.Listener(listener)))
		}
		if err != nil {
			failed <- errors.Wrapf(err, "serve peer address %s", r.settings.PeerAddress)
		}
	}()
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gossippb.GossipPathPrefix, gossippb.NewGossipServer(r.gossip))
	hops := &hop.Server{
		Store: r.store, Clock: r.clock, Log: r.log, MaxBody: r.settings.Limits.BodyBytes,
		Chains: map[hoppb.Role]exchange.Next{
			hoppb.Role_ROLE_OWNER:  r.ownerChain(),
			hoppb.Role_ROLE_ISSUER: r.issuerChain(),
		},
	}
	mux.Handle(quotapb.QuotaPathPrefix, r.guard.Handler(quotapb.NewQuotaServer(&quota.Server{Limiter: r.limiter, Store: r.store})))
	mux.Handle(hop.Path, r.hopWork.handler(r.clock.Now, r.guard.Handler(hops)))
	return mux
}

func (r *Router) adminHandler() http.Handler {
	return admin.Handler(admin.Source{
		Ready: r.ready, State: func() any { return r.State() }, Metrics: r.metrics.Handler,
		Explain: r.explain,
	})
}

// explain says why a chat goes to its upstream, as seen from this host.
func (r *Router) explain(route, chat string) (any, error) {
	snap := r.store.Current()
	if snap == nil {
		return nil, errors.New("no document in force")
	}
	view := explain.View{
		Host: r.settings.Name, DataCentre: r.settings.DataCentre, Policy: r.settings.RoutingPolicy, Live: r.members,
	}
	return explain.Chat(snap, view, route, chat)
}

// ready returns "" when the router takes new requests.
func (r *Router) ready() string {
	switch {
	case r.stopping.Load():
		return "stopping"
	case r.store.Current() == nil:
		return "no document in force"
	case !r.settled.Load():
		return "has not asked the fleet for its version yet"
	case r.limiter.Starting():
		return "waits for its parts of the teams' rates"
	default:
		return ""
	}
}

func (r *Router) placement() string {
	return placement.Problem(r.store.Current(), r.settings.Name, r.settings.DataCentre)
}

// State is the router's state dump.
type State struct {
	Name        string    `json:"name"`
	DataCentre  string    `json:"data_centre"`
	Incarnation uint64    `json:"incarnation"`
	Time        time.Time `json:"time"`
	Ready       string    `json:"not_ready,omitempty"`
	// Placement says how the settings and the document disagree about this host.
	Placement   string                        `json:"placement_problem,omitempty"`
	Config      config.State                  `json:"config"`
	Platform    platform.State                `json:"platform"`
	Members     []peers.MemberState           `json:"members"`
	Quota       quota.State                   `json:"quota"`
	Idempotency idempotency.State             `json:"idempotency"`
	Upstreams   []upstreams.UpstreamState     `json:"upstreams"`
	Quarantine  []quarantine.FingerprintState `json:"quarantine"`
	Gossip      peers.GossipState             `json:"gossip"`
	// Control counts the bytes on the connections on which this host gossips.
	Control peers.MeterState `json:"control"`
	Pause   pause.State      `json:"pause"`
	PeerTLS peertls.State    `json:"peer_tls"`
	Stop    StopState        `json:"stop"`
}

// State returns a copy of the state of every part.
func (r *Router) State() State {
	return State{
		Name: r.settings.Name, DataCentre: r.settings.DataCentre, Incarnation: r.incarnation, Time: r.clock.Now(),
		Ready: r.ready(), Placement: r.placement(), Config: r.store.State(), Platform: r.platform.State(), Members: r.members.State(),
		Gossip: r.gossip.State(), Control: r.control.State(), Pause: r.guard.State(), PeerTLS: r.peerTLS.State(),
		Stop:  StopState{Stopping: r.stopping.Load(), Requests: r.entryWork.inFlight.Load(), Hops: r.hopWork.inFlight.Load()},
		Quota: r.limiter.State(), Idempotency: r.registry.State(), Upstreams: r.upstreams.State(),
		Quarantine: r.quarantine.State(),
	}
}
