// Package gateway assembles the oriole-router that sends directly: the callers' server, the readers of published items,
// the exchange between hosts, and the admin address.
package gateway

import (
	"context"
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
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/direct"
	"github.com/orioleusher/orioleusher/internal/fleet"
	"github.com/orioleusher/orioleusher/internal/metrics"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// Adapter is what an outside platform brings: its store, its items and its headers.
type Adapter struct {
	Source published.Source
	Decode catalog.DecodeFunc
	Same   published.EquivalentFunc
	Codec  direct.Codec
	// KeyPrefix begins the keys of all items that Decode knows.
	KeyPrefix string
}

// Sizes and times of the process.
const (
	// minHosts times the data centres is the least number of hosts that share a bound, before others are heard of.
	minHosts = 2
	// memoryPart is the part of the process's memory from which the garbage collector works harder.
	memoryPart = 0.6
	// bodyPart is the part of the memory that callers' bodies may fill.
	bodyPart = 0.2
	// sweepInterval is how often unused connections are looked at.
	sweepInterval = time.Second
	// changesWait is how long the store may hold a call for changes open. Upstreams change about once a second each, so
	// a longer silence is a call that the store has lost.
	changesWait = time.Second
	// killMargin is the time before the end of a planned stop at which what is left is cut off.
	killMargin = 800 * time.Millisecond
	// endIdleLimit bounds the wait for the end of callers' unused connections, which takes as long as the process needs to
	// be scheduled once for each.
	endIdleLimit = time.Second
	// maxIdlePeerConns bounds the unused connections to each other host and to the store.
	maxIdlePeerConns = 2
)

// Gateway is one process.
type Gateway struct {
	settings    *settings.Direct
	clock       clockwork.Clock
	log         zerolog.Logger
	metrics     *metrics.Registry
	incarnation uint64

	store    *catalog.Store
	mirror   *published.Mirror
	reader   *published.Reader
	fleet    *fleet.Fleet
	table    *balance.Table
	pool     *upconn.Pool
	server   *direct.Server
	strikes  *quarantine.Table
	stopping atomic.Bool
}

// Transport returns the HTTP transport for calls to the store and to other hosts. Its connections are given up when
// sent bytes stay unacknowledged.
func Transport(pool *upconn.Pool) *http.Transport {
	return &http.Transport{DialContext: pool.Dial, MaxIdleConnsPerHost: maxIdlePeerConns, DisableCompression: true}
}

// Pool returns the pool of connections of a process with these settings.
func Pool(s *settings.Direct, clock clockwork.Clock) *upconn.Pool {
	host, _, _ := net.SplitHostPort(s.PeerAddress) // checked with the settings
	return upconn.NewPool(&net.TCPAddr{IP: net.ParseIP(host)}, clock)
}

// New assembles a process; Run starts it.
func New(s *settings.Direct, a Adapter, pool *upconn.Pool, clock clockwork.Clock, log zerolog.Logger) *Gateway {
	g := &Gateway{
		settings: s, clock: clock, log: log, metrics: metrics.New("oriole_router"), incarnation: process.NewIncarnation(), pool: pool,
	}
	g.store = catalog.NewStore(a.Decode, clock, log)
	g.table = balance.NewTable(s.DataCentre, clock, log)
	g.strikes = quarantine.NewTable(direct.QuarantineLimits, clock, nil)
	g.mirror = published.NewMirror(a.KeyPrefix, a.Same, clock, g.store.Apply)
	g.fleet = g.newFleet()
	g.reader = published.NewReader(published.ReaderOptions{
		Source: a.Source, Mirror: g.mirror, LongPollWait: changesWait,
		Timing: published.ReadTimingFor(g.settings.Timeouts.MaxStaleness()),
		Lapses: g.store, Peers: g.fleet, Clock: clock, Log: log, Scope: g.metrics.Scope,
	})
	g.fleet.Store = g.reader
	g.server = g.newServer(a)
	return g
}

func (g *Gateway) newFleet() *fleet.Fleet {
	return fleet.New(fleet.Options{
		Self: g.settings.PeerAddress, Incarnation: g.incarnation, Seeds: g.settings.SeedPeers,
		MinHosts: minHosts * max(1, len(g.settings.DataCentres)), GossipInterval: g.settings.Timeouts.Gossip.Std(), Mirror: g.mirror, Loads: g.table, Crashes: g.strikes,
		DataCentre: g.settings.DataCentre, Transport: Transport(g.pool),
		Clock: g.clock, Rand: mathrand.New(mathrand.NewPCG(g.incarnation, 0)), Log: g.log, Scope: g.metrics.Scope,
	})
}

func (g *Gateway) newServer(a Adapter) *direct.Server {
	r, c := g.settings.Retry, g.settings.Cold
	return direct.New(direct.Options{
		Store: g.store, Table: g.table, Pool: g.pool, Codec: a.Codec, Quarantine: g.strikes,
		RetryBudget: allowance.NewRetryBudget(allowance.RetryLimits{Ratio: r.Ratio, Slack: r.Slack}, g.fleet),
		ColdLimiter: allowance.NewColdLimiter(allowance.ColdLimits{Overage: c.Overage, Slack: c.Slack}, g.fleet, g.clock),
		BodyBytes:   int64(bodyPart * float64(g.settings.MemoryMB<<20)), Clock: g.clock, Log: g.log, Scope: g.metrics.Scope,
	})
}

// Run serves until the context ends and then stops gracefully. It returns the first server's error, if any.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(g.settings.MemoryMB<<20)))
	loops, stopLoops := context.WithCancel(context.Background())
	go g.reader.Run(loops)
	go g.fleet.Run(loops)
	go g.sweep(loops)
	failed := make(chan error, 4)
	callers := g.server.HTTPServer()
	for _, s := range []struct {
		name, address string
		server        *http.Server
	}{
		{"caller", g.settings.CallerAddress, callers},
		{"ready", g.settings.ReadyAddress, &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: adminTimeout}},
		{"peer", g.settings.PeerAddress, &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: adminTimeout}},
		{"admin", g.settings.AdminAddress, &http.Server{Handler: g.adminHandler(), ReadHeaderTimeout: adminTimeout}},
	} {
		go serve(s.server, s.name, s.address, failed)
	}
	g.log.Info().Str("event", "started").Uint64("incarnation", g.incarnation).Str("version", process.Version).
		Str("data_centre", g.settings.DataCentre).Send()
	var err error
	select {
	case <-ctx.Done():
		g.stop(callers)
	case err = <-failed:
	}
	stopLoops()
	g.log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return errors.Wrap(err, "run router")
}

func serve(s *http.Server, name, address string, failed chan<- error) {
	listener, err := net.Listen("tcp", address)
	if err == nil {
		err = process.IgnoreServerClosed(s.Serve(listener))
	}
	if err != nil {
		failed <- errors.Wrapf(err, "serve %s address %s", name, address)
	}
}

// stop ends the process in the time of a planned stop: readiness fails at once, requests are still taken until the
// balancer has seen that, and those in flight end.
func (g *Gateway) stop(callers *http.Server) {
	begun := g.clock.Now()
	g.stopping.Store(true)
	g.server.Stop()
	g.fleet.MarkLeaving()
	g.log.Info().Str("event", "stopping").Int64("in_flight", g.server.InFlight()).Send()
	g.clock.Sleep(g.settings.Timeouts.Drain.Std())
	left := g.settings.Timeouts.Stop.Std() - killMargin - g.clock.Since(begun)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	idle, cancelIdle := context.WithTimeout(ctx, endIdleLimit)
	g.server.DrainIdleConns(idle)
	cancelIdle()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Warn().Str("event", "stop-limit").Int64("in_flight", g.server.InFlight()).Err(err).Send()
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.clock.After(sweepInterval):
			g.pool.CloseExpired()
		}
	}
}

// Reload takes over what may change while the process runs: the seeds.
func (g *Gateway) Reload(s *settings.Direct) {
	g.fleet.SetSeeds(s.SeedPeers)
	g.log.Info().Str("event", "reloaded").Strs("seed_peers", s.SeedPeers).Send()
}
