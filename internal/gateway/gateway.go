// Package gateway assembles the oriole-router process for direct sending: the server for callers, the reader of
// published items, the gossip between hosts, and the admin address.
package gateway

import (
	"cmp"
	"context"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/callerconn"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/direct"
	"github.com/orioleusher/orioleusher/internal/fleet"
	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/loadshare"
	"github.com/orioleusher/orioleusher/internal/metrics"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/reach"
	"github.com/orioleusher/orioleusher/internal/schedlag"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Adapter connects the router to an external platform: its store, its items and its headers.
type Adapter struct {
	Source     published.Source
	Decode     catalog.DecodeFunc
	Equivalent published.EquivalentFunc
	// Lasting and Supersedes are those of published.MirrorOptions.
	Lasting    func(key string) bool
	Supersedes func(known, next published.Item) bool
	Codec      direct.Codec
	// KeyPrefix is the common prefix of the keys of all items that Decode knows.
	KeyPrefix string
}

// Limits, timeouts and intervals of the process.
const (
	// minHostsPerDataCentre times the number of data centres is the minimum number of hosts that a shared limit is
	// divided by, even before other hosts are discovered.
	minHostsPerDataCentre = 2
	// memoryLimitFraction is the fraction of the process's memory that is set as the garbage collector's memory limit.
	memoryLimitFraction = 0.6
	// bodyMemoryFraction is the fraction of the memory that callers' bodies may use.
	bodyMemoryFraction = 0.2
	// responseMemoryFraction is the fraction of the memory that held responses of upstreams may use.
	responseMemoryFraction = 0.1
	// headMemoryFraction is the fraction of the memory that heads of callers' requests may use while they arrive.
	headMemoryFraction = 0.03
	// connMemoryFraction is the fraction of the memory that callers' connections may use, and connBytes what one uses with the
	// request on it, except what the other budgets count.
	connMemoryFraction = 0.25
	connBytes          = 40 << 10
	// detourMemoryFraction is the fraction of the memory that requests of other hosts may use, except what the other budgets count.
	detourMemoryFraction = 0.1
	// idleSweepInterval is how often connections that have been idle for too long are closed.
	idleSweepInterval = time.Second
	// watchTimeout is how long the store may hold a watch call open. Each upstream updates its entry about once a second,
	// so a call that returns no changes for longer than that was lost by the store.
	watchTimeout = time.Second
	// shutdownMargin is the time before the end of a planned stop at which remaining requests are cut off.
	shutdownMargin = 800 * time.Millisecond
	// originWindow is how long other hosts are told at once which version began a stream after another version served.
	originWindow = 30 * time.Second
	// finalResponseTime limits the writing of the responses to requests that were cut off.
	finalResponseTime = 300 * time.Millisecond
	// refuseMargin is how long before the callers' address is closed requests are refused that may outlast the stop: the
	// signal was sent before this process received it.
	refuseMargin = 100 * time.Millisecond
	// maxStartDelay is the maximum time for which a starting process asks other hosts before it lists the store.
	maxStartDelay = 300 * time.Millisecond
	// maxIdlePeerConns limits the idle connections to each other host and to the store.
	maxIdlePeerConns = 2
	// peerIdleTimeout is how long a host keeps an idle connection of another host open. clientIdleTimeout is how long that one
	// uses it: if both were equal, calls would be sent on connections that are just being closed.
	peerIdleTimeout   = 10 * time.Second
	clientIdleTimeout = 8 * time.Second
	// peerReadTimeout limits the time for reading a request of another host. It exceeds the time for which such a request
	// may wait for changes, since net/http cancels requests whose connection passes its read deadline.
	peerReadTimeout = 10 * time.Second
	// maxPeerHeaderBytes, maxPeerRequestBytes and maxPeerResponseBytes limit what other hosts and the store may send in one
	// message. A snapshot of 3,000 upstreams has about one megabyte.
	maxPeerHeaderBytes   = 64 << 10
	maxPeerRequestBytes  = 1 << 20
	maxPeerResponseBytes = 8 << 20
)

// Gateway is a router process.
type Gateway struct {
	settings    *settings.Direct
	clock       clockwork.Clock
	log         zerolog.Logger
	metrics     *metrics.Registry
	incarnation uint64

	store           *catalog.Store
	mirror          *published.Mirror
	reader          *published.Reader
	fleet           *fleet.Fleet
	balancer        *balance.Table
	pool            *upconn.Pool
	reach           *reach.Detector
	server          *direct.Server
	quarantineTable *quarantine.Table
	prompts         *promptblame.Table
	origins         *origin.Table
	versions        *publishedVersions
	originSharer    *origin.Sharer
	stopping        atomic.Bool
}

// NewTransport returns the HTTP transport for calls to the store and to other hosts. Its connections are closed when
// sent bytes stay unacknowledged for too long.
// Responses beyond maxPeerHeaderBytes or maxPeerResponseBytes are errors.
func NewTransport(pool *upconn.Pool) http.RoundTripper {
	return bodyLimiter{&http.Transport{
		DialContext: pool.Dial, MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: clientIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}}
}

// bodyLimiter limits the bodies of responses.
type bodyLimiter struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (l bodyLimiter) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(req)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxPeerResponseBytes)
	}
	return resp, err
}

// NewPool returns the connection pool of a process with these settings.
func NewPool(s *settings.Direct, clock clockwork.Clock) *upconn.Pool {
	host, _, _ := net.SplitHostPort(s.PeerAddress) // the address was validated with the settings
	return upconn.NewPool(&net.TCPAddr{IP: net.ParseIP(host)}, clock)
}

// New assembles a process; Run starts it.
func New(s *settings.Direct, a Adapter, pool *upconn.Pool, clock clockwork.Clock, log zerolog.Logger) *Gateway {
	g := &Gateway{
		settings: s, clock: clock, log: log, metrics: metrics.New("oriole_router"), incarnation: process.NewIncarnation(), pool: pool,
	}
	g.store = catalog.NewStore(a.Decode, clock, log)
	g.balancer = balance.NewTable(s.DataCentre, clock, log)
	g.quarantineTable = quarantine.NewTable(direct.QuarantineLimits, clock, nil)
	g.prompts = promptblame.NewTable(g.incarnation, clock, log)
	g.mirror = published.NewMirror(published.MirrorOptions{
		Prefix: a.KeyPrefix, Equivalent: a.Equivalent, Lasting: a.Lasting, Supersedes: a.Supersedes, OnChange: g.store.Apply,
		OnRestore: g.store.Restored, Clock: clock,
	})
	g.fleet = g.newFleet()
	g.prompts.OnBlame(g.fleet.Announce)
	g.quarantineTable.OnSuspect(g.fleet.AnnounceSoon)
	g.reader = published.NewReader(published.ReaderOptions{
		Source: a.Source, Mirror: g.mirror, LongPollWait: watchTimeout,
		Timing:  published.ReadTimingFor(g.settings.Timeouts.MaxStaleness()),
		Outages: g.store, Peers: g.fleet, StartDelay: startDelay(mathrand.New(mathrand.NewPCG(g.incarnation, 2))), Clock: clock, Log: log, Scope: g.metrics.Scope,
	})
	g.fleet.Store = g.reader
	g.versions = &publishedVersions{
		store: g.store, reader: g.reader, mirror: g.mirror, source: a.Source, decode: a.Decode,
		retention: s.Timeouts.StoreHistory.Std(), clock: clock, log: log,
	}
	origins := g.newOrigins()
	g.fleet.Origins = origins
	g.reach = g.newReach()
	g.server = g.newServer(a, origins)
	return g
}

// newReach returns the detector of cuts between this host and the upstreams.
func (g *Gateway) newReach() *reach.Detector {
	return reach.New(reach.Options{
		DataCentre: g.settings.DataCentre, Targets: g.probeTargets, OnChange: g.recordCut, Clock: g.clock,
		Rand: mathrand.New(mathrand.NewPCG(g.incarnation, 3)), Log: g.log, Scope: g.metrics.Scope,
		Connect: g.probeConnection, Ask: g.probeResponse,
	})
}

// probeConnection opens a connection to the upstream and checks that it stays open.
func (g *Gateway) probeConnection(ctx context.Context, t reach.Target) error {
	conn, err := g.pool.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return reach.CheckOpen(conn)
}

// probeResponse sends a health check to the upstream and waits for the first byte of any response.
func (g *Gateway) probeResponse(ctx context.Context, t reach.Target) error {
	if t.HealthPath == "" {
		return g.probeConnection(ctx, t)
	}
	conn, err := g.pool.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	req, err := http.NewRequest(http.MethodGet, "http://"+t.Address+t.HealthPath, http.NoBody)
	if err == nil {
		req.Close = true
		err = req.Write(conn)
	}
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return errors.Wrapf(err, "health check of %s", t.Address)
}

// probeTargets returns the upstreams that receive new requests.
func (g *Gateway) probeTargets() []reach.Target {
	snap := g.store.Current()
	var targets []reach.Target
	for service, list := range snap.Upstreams {
		path := ""
		if snap.Config != nil {
			path = snap.Config.Services[service].HealthPath
		}
		for _, u := range list {
			if snap.AcceptsNewWork(u) {
				targets = append(targets, reach.Target{Address: u.Address, DataCentre: u.DataCentre, HealthPath: path})
			}
		}
	}
	return targets
}

// recordCut forgets what this host concluded from failures of its own path, when it is cut off and when it is no longer. Its idle
// connections may have been broken without notice.
func (g *Gateway) recordCut(bool) {
	g.balancer.ForgetFailures()
	for _, list := range g.store.Current().Upstreams {
		for _, u := range list {
			g.pool.CloseIdle(u.Address)
		}
	}
}

// newDetourPeers returns the chooser of the hosts through which this one sends requests while it is cut off.
func (g *Gateway) newDetourPeers() *detour.Peers {
	return detour.NewPeers(g.fleet.Reachable, g.clock, mathrand.New(mathrand.NewPCG(g.incarnation, 4)))
}

// newOrigins returns the resolver of the origins of streams, and sets what records and tells them.
func (g *Gateway) newOrigins() *origin.Resolver {
	maxAge := g.settings.Timeouts.MaxStaleness()
	g.origins = origin.NewTable(g.clock)
	g.originSharer = origin.NewSharer(origin.SharerOptions{
		Table: g.origins, Versions: g.versions, Window: originWindow, MaxDataAge: maxAge, Witnesses: g.fleet, Clock: g.clock,
		Log: g.log, Scope: g.metrics.Scope,
	})
	return origin.NewResolver(origin.Options{
		Table: g.origins, Versions: g.versions, Peers: g.fleet, History: g.versions, MaxDataAge: maxAge, Clock: g.clock,
		Log: g.log, Scope: g.metrics.Scope,
	})
}

func (g *Gateway) newFleet() *fleet.Fleet {
	return fleet.New(fleet.Options{
		Self: g.settings.PeerAddress, Incarnation: g.incarnation, Seeds: g.settings.SeedPeers,
		MinHosts: minHostsPerDataCentre * max(1, len(g.settings.DataCentres)), GossipInterval: g.settings.Timeouts.Gossip.Std(), Mirror: g.mirror, Loads: g.balancer, Crashes: g.quarantineTable, Prompts: g.prompts,
		DataCentre: g.settings.DataCentre, Transport: NewTransport(g.pool),
		Clock: g.clock, Rand: mathrand.New(mathrand.NewPCG(g.incarnation, 0)), Log: g.log, Scope: g.metrics.Scope,
	})
}

func (g *Gateway) newServer(a Adapter, origins *origin.Resolver) *direct.Server {
	r, c := g.settings.Retry, g.settings.Cold
	memory := float64(g.settings.MemoryMB << 20)
	return direct.New(direct.Options{
		Store: g.store, Balancer: g.balancer, Pool: g.pool, Hosts: g.fleet, Codec: a.Codec, Quarantine: g.quarantineTable, Prompts: g.prompts,
		Origins: origins, ShareOrigin: g.originSharer.Record, Listing: g.versions, RegistrationTime: registrationTime,
		RetryBudget: allowance.NewRetryBudget(allowance.RetryLimits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}, g.fleet, g.clock),
		Selector: balance.NewSelector(g.balancer, allowance.NewUpstreamLimiter(g.fleet, g.clock),
			allowance.ColdLimits{Overage: c.Overage, Slack: c.Slack}, g.clock),
		BodyBytes: int64(bodyMemoryFraction * memory), ResponseBytes: int64(responseMemoryFraction * memory),
		Reach: g.reach, DetourPeers: g.newDetourPeers(), MaxDetours: int(detourMemoryFraction * memory / connBytes),
		HeadBytes: int64(headMemoryFraction * memory),
		MaxConns:  cmp.Or(g.settings.MaxCallerConns, int(connMemoryFraction*memory/connBytes)),
		Clock:     g.clock, Log: g.log, Scope: g.metrics.Scope,
	})
}

// registrationTime is the time within which an upstream that listens has published itself.
const registrationTime = 300 * time.Millisecond

// startDelay returns how long a process asks other hosts for all published items before it lists the store. When all
// hosts start together, the cubic distribution makes one in a thousand list the store in the first tenth of the time and
// one in eight in the first half, so that the others find a host to read from.
func startDelay(r *mathrand.Rand) time.Duration {
	return time.Duration(math.Cbrt(r.Float64()) * float64(maxStartDelay))
}

// Run serves until the context is done and then shuts down gracefully. It returns the first error of a server, if any.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(g.settings.MemoryMB<<20)))
	loops, stopLoops := context.WithCancel(context.Background())
	go g.reader.Run(loops)
	go g.fleet.Run(loops)
	go g.closeExpiredConns(loops)
	go (&schedlag.Monitor{Clock: g.clock, Log: g.log, Scope: g.metrics.Scope, Usage: schedlag.ReadUsage}).Run(loops)
	if err := g.shareLoads(loops); err != nil {
		stopLoops()
		return errors.Wrap(err, "run router")
	}
	serveErrors := make(chan error, 4)
	callers, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		stopLoops()
		return errors.Wrapf(err, "run router: serve caller address %s", g.settings.CallerAddress)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := g.server.HTTPServer().Serve(g.server.Listen(callers)); !g.stopping.Load() {
			serveErrors <- errors.Wrapf(err, "serve caller address %s", g.settings.CallerAddress)
		}
	}()
	for _, s := range []struct {
		name, address string
		server        *http.Server
	}{
		{"ready", g.settings.ReadyAddress, &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerReadTimeout}},
		{"peer", g.settings.PeerAddress, newPeerServer(g.peerHandler())},
		{"admin", g.settings.AdminAddress, &http.Server{Handler: g.adminHandler(), ReadHeaderTimeout: headerReadTimeout}},
	} {
		go serve(s.server, s.name, s.address, framing.NewReport(s.name, g.log, g.metrics.Scope), serveErrors)
	}
	g.log.Info().Str("event", "started").Uint64("incarnation", g.incarnation).Str("version", process.Version).
		Str("data_centre", g.settings.DataCentre).Send()
	select {
	case <-ctx.Done():
		g.stop(callers, served)
	case err = <-serveErrors:
	}
	stopLoops()
	g.log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return errors.Wrap(err, "run router")
}

// newPeerServer returns the server for other hosts.
func newPeerServer(h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: peerReadTimeout, IdleTimeout: peerIdleTimeout}
	direct.PrepareDetours(server)
	return server
}

// shareLoads starts the exchange of observed loads and of the origins of streams, on the UDP port with the number of the peer address.
func (g *Gateway) shareLoads(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", g.settings.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen for loads on %s", g.settings.PeerAddress)
	}
	g.originSharer.Conn = conn
	go g.originSharer.Run(ctx)
	sharer := loadshare.New(loadshare.Options{
		Conn: conn, Loads: g.balancer, Origins: g.origins, Peers: g.fleet, Clock: g.clock, Rand: mathrand.New(mathrand.NewPCG(g.incarnation, 1)),
		Log: g.log, Scope: g.metrics.Scope,
	})
	go sharer.Run(ctx)
	return nil
}

func serve(s *http.Server, name, address string, report framing.Report, errs chan<- error) {
	listener, err := net.Listen("tcp", address)
	if err == nil {
		err = process.IgnoreServerClosed(s.Serve(framing.Listen(listener, report)))
	}
	if err != nil {
		errs <- errors.Wrapf(err, "serve %s address %s", name, address)
	}
}

// stop shuts the process down within the time of a planned stop. Readiness fails at once, requests are still accepted
// until the load balancer has detected it, and requests in flight are completed.
func (g *Gateway) stop(callers net.Listener, served <-chan struct{}) {
	start := g.clock.Now()
	drain, total := stopTimes(g.settings.Timeouts)
	cutOff := start.Add(total)
	g.stopping.Store(true)
	g.server.BeginStop(start.Add(drain-refuseMargin), cutOff)
	g.fleet.MarkLeaving()
	g.log.Info().Str("event", "stopping").Int64("in_flight", g.server.InFlight()).Send()
	g.clock.Sleep(drain)
	if err := callerconn.CloseListener(callers, g.clock); err != nil {
		g.log.Warn().Str("event", "address-not-closed").Str("address", g.settings.CallerAddress).Err(err).Send()
	}
	<-served // until the connection that was accepted last is tracked
	err := g.awaitConns(cutOff.Sub(g.clock.Now()))
	if err == nil {
		return
	}
	g.log.Warn().Str("event", "stop-limit").Int64("in_flight", g.server.InFlight()).Err(err).Send()
	g.server.CutOff()
	if err := g.awaitConns(finalResponseTime); err != nil {
		g.log.Warn().Str("event", "callers-cut-off").Int64("in_flight", g.server.InFlight()).Err(err).Send()
	}
}

// stopTimes returns how long after the begin of a planned stop the callers' address is closed, and requests are cut off.
func stopTimes(t settings.DirectTimeouts) (drain, cutOff time.Duration) {
	cutOff = max(0, t.Stop.Std()-shutdownMargin)
	return min(t.Drain.Std(), cutOff), cutOff
}

// awaitConns waits until all callers' connections have ended, for a limited time.
func (g *Gateway) awaitConns(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return g.server.AwaitConns(ctx)
}

func (g *Gateway) closeExpiredConns(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.clock.After(idleSweepInterval):
			g.pool.CloseExpired()
		}
	}
}

// Reload applies the settings that may change while the process runs: the seed peers.
func (g *Gateway) Reload(s *settings.Direct) {
	g.fleet.SetSeeds(s.SeedPeers)
	g.log.Info().Str("event", "reloaded").Strs("seed_peers", s.SeedPeers).Send()
}
