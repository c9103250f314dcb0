// Package router assembles an oriole-router process: the filter chains, the background loops and the three servers (for
// callers, peers and administration).
package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/callers"
	"github.com/orioleusher/orioleusher/internal/config"
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

	store          *config.Store
	members        *peers.Members
	gossip         *peers.Gossip
	platform       *platform.Client
	limiter        *quota.Limiter
	borrower       *quota.Borrower
	quota          *quota.SyncLoop
	registry       *idempotency.Registry
	upstreams      *upstreams.Set
	planner        *routing.Planner
	client         *transport.Client
	prober         *transport.Prober
	quarantine     *quarantine.Table
	suspectLimiter *quarantine.SuspectLimiter
	hops           *hop.Client
	stopping       atomic.Bool
	guard          *pause.Guard
	peerTLS        *peertls.CertReloader
	gossipBytes    peers.ByteCounter
	callerRequests requestTracker
	hopRequests    requestTracker
	// initialSyncDone is true once the current document is the highest version that the platform and the peers had at
	// start.
	initialSyncDone atomic.Bool
}

// New assembles a router. Run starts it.
func New(s *settings.Router, clock clockwork.Clock, log zerolog.Logger) (*Router, error) {
	r := &Router{settings: s, clock: clock, log: log, metrics: metrics.New("oriole_router"), incarnation: process.NewIncarnation()}
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
	r.quarantine = quarantine.NewTable(quarantine.DefaultLimits, clock, r.pushGossip)
	r.suspectLimiter = quarantine.NewSuspectLimiter()
	r.prober = transport.NewProber(r.dialer())
	r.client = transport.NewClient(s.Timeouts, r.dialer(), r.prober, r.scope)
	r.guard = pause.New(clock, r.resync, log, r.scope)
	r.callerRequests.stopping, r.hopRequests.stopping = &r.stopping, &r.stopping
	return r, r.newFleetClients()
}

// newUpstreams creates the set of upstreams that this host may own.
func (r *Router) newUpstreams() *upstreams.Set {
	reportTransport := &http.Transport{
		DialContext: r.dialer().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
		MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
	}
	return upstreams.NewSet(upstreams.Options{
		Self: r.settings.Name, Policy: r.settings.RoutingPolicy, Liveness: r.members, Configuration: r.store,
		LoadReader: upstreams.HTTPLoadReader{Transport: reportTransport}, Clock: r.clock, Log: r.log, Scope: r.scope,
	})
}

// dialer returns a dialer whose connections originate from the IP of this host's peer address, so that peers and the
// network between them can distinguish hosts by their IP.
func (r *Router) dialer() *net.Dialer {
	host, _, _ := net.SplitHostPort(r.settings.PeerAddress)
	return &net.Dialer{
		Timeout: r.settings.Timeouts.Connect.Std(), LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)},
	}
}

// pushGossip sends gossip to a few peers in the background. It is called for each crash record that is new to this
// host.
func (r *Router) pushGossip() {
	go r.gossip.GossipNow(context.Background())
}

// Run serves until the context ends or a server fails, and stops gracefully when the context ends. It returns the first
// error of a server, if any.
func (r *Router) Run(ctx context.Context) error {
	loops, stopLoops := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.platform.Run(loops) })
	wg.Go(func() { placement.Watch(loops, r.store, r.settings.Name, r.settings.DataCentre, r.log) })
	wg.Go(func() { r.guard.Run(loops) })
	wg.Go(func() { r.hops.Run(loops) })
	wg.Go(func() { r.quota.Run(loops) })
	wg.Go(func() {
		r.syncAtStart(loops)
		r.gossip.Run(loops)
	})
	wg.Go(func() { r.upstreams.Run(loops) })

	callerServer := callers.New(r.store, r.entryChain(), r.settings, r.clock, r.log, r.scope).Server(func(next http.Handler) http.Handler {
		return r.callerRequests.handler(r.clock.Now, next)
	})
	peerServer := &http.Server{Handler: r.peerHandler(), ReadHeaderTimeout: r.settings.Timeouts.Header.Std()}
	adminServer := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: r.settings.Timeouts.Header.Std()}
	failed := make(chan error, 3)
	r.servePeers(peerServer, failed)
	r.serve(adminServer, "admin", r.settings.AdminAddress, r.scanRequests("admin"), failed)
	r.serve(callerServer, "caller", r.settings.CallerAddress, func(l net.Listener) net.Listener { return l }, failed)
	r.log.Info().Str("event", "started").Uint64("incarnation", r.incarnation).Str("version", process.Version).Send()

	var err error
	select {
	case <-ctx.Done():
		err = r.stop(callerServer, peerServer, adminServer)
	case err = <-failed:
	}
	stopLoops()
	wg.Wait()
	r.client.Close()
	r.log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return errors.Wrap(err, "run router")
}
