// Package router assembles one oriole-router process: the filter chains, the control loops beside them and the three
// servers (callers, peers, admin).
package router

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
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
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/idempotency"
	"github.com/orioleusher/orioleusher/internal/metrics"
	"github.com/orioleusher/orioleusher/internal/peers"
	"github.com/orioleusher/orioleusher/internal/platform"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/quota"
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

	store     *config.Store
	members   *peers.Members
	gossip    *peers.Gossip
	platform  *platform.Client
	limiter   *quota.Limiter
	borrower  *quota.Borrower
	quota     *quota.Loop
	registry  *idempotency.Registry
	upstreams *upstreams.Set
	client    *transport.Client
	hops      *hop.Client
	stopping  atomic.Bool
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
	r.upstreams = upstreams.NewSet()
	r.client = transport.NewClient(s.Timeouts, r.dialer())
	r.platform = platform.NewClient(s.Platform, s.Fleet, r.dialer(), r.store, clock, log)
	r.connectPeers()
	return r, nil
}

// connectPeers makes the clients that speak to other routers.
func (r *Router) connectPeers() {
	dialer := r.dialer()
	peerTransport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}
	const scheme = "http"
	r.hops = hop.NewClient(r.settings.Name, r.incarnation, scheme, peerTransport, r.clock)
	lenders := &quota.Peers{
		Self: r.settings.Name, Incarnation: r.incarnation, Scheme: scheme,
		Client: &http.Client{Transport: peerTransport}, Store: r.store,
	}
	r.borrower = quota.NewBorrower(r.limiter, lenders, r.members, r.clock, r.scope)
	r.quota = &quota.Loop{Limiter: r.limiter, Store: r.store, Peers: lenders, Clock: r.clock, Log: r.log}
	r.gossip = peers.NewGossip(peers.Options{
		Self: r.settings.Name, SelfAddress: r.settings.PeerAddress, Incarnation: r.incarnation,
		Seeds: r.settings.SeedPeers, Scheme: scheme, Client: &http.Client{Transport: peerTransport},
		Interval: r.settings.Gossip.Interval.Std(), Members: r.members, Store: r.store, Clock: r.clock,
		Rand: mathrand.New(mathrand.NewPCG(r.incarnation, 0)), Log: r.log, Scope: r.scope,
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
	wg.Go(func() { r.gossip.Run(loops) })
	wg.Go(func() { r.quota.Run(loops) })

	entry := &http.Server{
		Handler:           callers.New(r.store, r.entryChain(), r.settings, r.clock, r.log, r.scope).Router(),
		ReadHeaderTimeout: r.settings.Timeouts.Header.Std(), ReadTimeout: r.settings.Timeouts.Body.Std(),
		IdleTimeout: r.settings.Timeouts.Idle.Std(), MaxHeaderBytes: r.settings.Limits.HeaderBytes,
	}
	peer := &http.Server{Handler: r.peerHandler(), ReadHeaderTimeout: r.settings.Timeouts.Header.Std()}
	operators := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: r.settings.Timeouts.Header.Std()}
	failed := make(chan error, 3)
	r.serve(peer, "peer", r.settings.PeerAddress, failed)
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

// leaveRounds is how many gossip rounds a planned stop waits for the peers to learn of it.
const leaveRounds = 3

// stop ends the servers in the order that cuts off no request in flight.
func (r *Router) stop(entry, peer, operators *http.Server) error {
	r.log.Info().Str("event", "stopping").Send()
	r.stopping.Store(true)
	r.members.Leave()
	r.clock.Sleep(leaveRounds * r.settings.Gossip.Interval.Std())
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Timeouts.Stop.Std())
	defer cancel()
	if err := entry.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "stop caller server")
	}
	if err := peer.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "stop peer server")
	}
	return errors.Wrap(operators.Shutdown(ctx), "stop admin server")
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gossippb.GossipPathPrefix, gossippb.NewGossipServer(r.gossip))
	mux.Handle(quotapb.QuotaPathPrefix, quotapb.NewQuotaServer(&quota.Server{Limiter: r.limiter, Store: r.store}))
	mux.Handle(hop.Path, &hop.Server{
		Store: r.store, Clock: r.clock, Log: r.log, MaxBody: r.settings.Limits.BodyBytes,
		Chains: map[hoppb.Role]exchange.Next{
			hoppb.Role_ROLE_OWNER:  r.ownerChain(),
			hoppb.Role_ROLE_ISSUER: r.issuerChain(),
		},
	})
	return mux
}

func (r *Router) adminHandler() http.Handler {
	return admin.Handler(admin.Source{
		Ready: r.ready, State: func() any { return r.State() }, Metrics: r.metrics.Handler,
	})
}

// ready returns "" when the router takes new requests.
func (r *Router) ready() string {
	switch {
	case r.stopping.Load():
		return "stopping"
	case r.store.Current() == nil:
		return "no document in force"
	default:
		return ""
	}
}

// State is the router's state dump.
type State struct {
	Name        string                    `json:"name"`
	DataCentre  string                    `json:"data_centre"`
	Incarnation uint64                    `json:"incarnation"`
	Time        time.Time                 `json:"time"`
	Ready       string                    `json:"not_ready,omitempty"`
	Config      config.State              `json:"config"`
	Platform    platform.State            `json:"platform"`
	Members     []peers.MemberState       `json:"members"`
	Quota       quota.State               `json:"quota"`
	Idempotency idempotency.State         `json:"idempotency"`
	Upstreams   []upstreams.UpstreamState `json:"upstreams"`
}

// State returns a copy of the state of every part.
func (r *Router) State() State {
	return State{
		Name: r.settings.Name, DataCentre: r.settings.DataCentre, Incarnation: r.incarnation, Time: r.clock.Now(),
		Ready: r.ready(), Config: r.store.State(), Platform: r.platform.State(), Members: r.members.State(),
		Quota: r.limiter.State(), Idempotency: r.registry.State(), Upstreams: r.upstreams.State(),
	}
}
