package router

import (
	"context"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/peers"
	"github.com/orioleusher/orioleusher/internal/peertls"
	"github.com/orioleusher/orioleusher/internal/platform"
	"github.com/orioleusher/orioleusher/internal/quota"
	"github.com/orioleusher/orioleusher/internal/transport"
)

const (
	// platformFirstReadTimeout bounds the wait at start for the platform's first response.
	platformFirstReadTimeout = 4 * time.Second
	// noDocumentRetryInterval is the interval between attempts at start to get a document from the peers while there is
	// none.
	noDocumentRetryInterval = 200 * time.Millisecond
	// resyncTimeout bounds the resync after a pause, for which requests wait.
	resyncTimeout = 1500 * time.Millisecond
	// hopQuietPeriod is the time without a hop after which a stopping host assumes that all peers route around it.
	hopQuietPeriod = time.Second
)

// Limits on the idle connections that a router keeps to each peer.
const (
	maxIdleHopConns    = 64
	maxIdleGossipConns = 32
	idleConnTimeout    = 90 * time.Second
)

// newFleetClients creates the clients for the platform and for other routers.
func (r *Router) newFleetClients() error {
	peerTLS, err := peertls.New(r.settings.PeerTLS, r.clock, r.log)
	if err != nil {
		return errors.Wrap(err, "peer TLS")
	}
	r.peerTLS = peerTLS
	scheme := "https"
	if peerTLS == nil {
		scheme = "http"
	}
	dial := r.dialer().DialContext
	r.hops = hop.NewClient(hop.Options{
		Self: r.settings.Name, Incarnation: r.incarnation, Scheme: scheme, Transport: r.peerTransport(dial, maxIdleHopConns),
		BetweenBytes: r.settings.Timeouts.BetweenBytes.Std(), Peers: r.members, Clock: r.clock, Scope: r.scope,
	})
	gossipClient := &http.Client{Transport: r.peerTransport(r.gossipBytes.Dial(dial), maxIdleGossipConns)}
	r.gossip = peers.NewGossip(peers.Options{
		Self: r.settings.Name, SelfAddress: r.settings.PeerAddress, Incarnation: r.incarnation,
		Seeds: r.settings.SeedPeers, Scheme: scheme, Client: gossipClient, Extensions: r.extensions(),
		OnPeerResponse: r.guard.RecordPeerResponse,
		Interval:       r.settings.Gossip.Interval.Std(), Members: r.members, Store: r.store, Clock: r.clock,
		Rand: mathrand.New(mathrand.NewPCG(r.incarnation, 0)), Log: r.log, Scope: r.scope,
	})
	quotaPeers := &quota.PeerClient{
		Self: r.settings.Name, Incarnation: r.incarnation, Scheme: scheme, Client: gossipClient, Store: r.store,
	}
	r.borrower = quota.NewBorrower(r.limiter, quotaPeers, r.members, r.clock, r.scope)
	r.quota = &quota.SyncLoop{Limiter: r.limiter, Store: r.store, Peers: quotaPeers, Clock: r.clock, Log: r.log}
	r.platform = platform.NewClient(platform.Options{
		BaseURL: r.settings.Platform, Fleet: r.settings.Fleet, Self: r.settings.Name, Dialer: r.dialer(), Liveness: r.members,
		Store: r.store, Clock: r.clock, Rand: mathrand.New(mathrand.NewPCG(r.incarnation, 1)), Log: r.log, Scope: r.scope,
	})
	return nil
}

// extensions returns the components that exchange their state in gossip messages.
func (r *Router) extensions() []peers.Extension {
	return []peers.Extension{r.upstreams, r.quarantine}
}

func (r *Router) peerTransport(dial peers.DialFunc, idlePerHost int) *http.Transport {
	t := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: 2 * transport.MaxResponseHeadBytes, // an upstream's and what the peer adds
	}
	if r.peerTLS != nil {
		t.DialTLSContext = r.peerTLS.Dial(dial)
	}
	return t
}

// syncAtStart fetches the highest document version that the platform and the peers have. It returns once a round of
// requests to the peers has not changed the document in force.
func (r *Router) syncAtStart(ctx context.Context) {
	select {
	case <-r.platform.FirstCallDone():
	case <-r.clock.After(platformFirstReadTimeout):
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		before := r.store.Current()
		asked, reached := r.gossip.Resync(ctx)
		if current := r.store.Current(); current != nil && current == before {
			r.log.Info().Str("event", "settled").Uint64("version", current.Version).Int("asked", asked).Int("reached", reached).Send()
			r.initialSyncDone.Store(true)
			r.guard.Start()
			return
		}
		if before == nil {
			r.clock.Sleep(noDocumentRetryInterval)
		}
	}
}

// resync refreshes this host's state after a pause: from the peers, and from the platform if this host watches it or
// reached no peer. It reports whether any of them responded.
func (r *Router) resync(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var refreshed atomic.Bool
	refresh := func() { refreshed.Store(r.platform.Refresh(ctx) == nil || refreshed.Load()) }
	watching := r.platform.State().Watching
	if watching {
		wg.Go(refresh)
	}
	_, reached := r.gossip.Resync(ctx)
	if reached == 0 && !watching {
		refresh()
	}
	wg.Wait()
	return reached > 0 || refreshed.Load()
}

// requestTracker counts the requests that a server has in flight. Once the router stops, it asks clients to close their
// connections.
type requestTracker struct {
	stopping *atomic.Bool
	inFlight atomic.Int64
	// lastRequestNanos is when the last request arrived, in Unix nanoseconds.
	lastRequestNanos atomic.Int64
}

func (t *requestTracker) handler(now func() time.Time, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		t.inFlight.Add(1)
		defer t.inFlight.Add(-1)
		t.lastRequestNanos.Store(now().UnixNano())
		w := &stopWriter{ResponseWriter: rw, stopping: t.stopping}
		next.ServeHTTP(w, req)
		w.begin() // net/http sends a response that the handler has not begun
	})
}

// stopWriter ends the connection with the response if the router stops by the time at which the response begins.
type stopWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
	begun    bool
}

func (w *stopWriter) begin() {
	if !w.begun && w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *stopWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *stopWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // as the method of the interface
}

// Unwrap lets http.ResponseController reach the connection.
func (w *stopWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (t *requestTracker) sinceLastRequest(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, t.lastRequestNanos.Load()))
}

// StopState is the section of the state dump that describes a planned stop.
type StopState struct {
	Stopping bool `json:"stopping"`
	// Requests and Hops count the requests in flight from callers and from peers.
	Requests int64 `json:"requests_in_flight"`
	Hops     int64 `json:"hops_in_flight"`
}

// stop drains the servers in an order that cuts off no request in flight. The load balancer and the peers are informed
// first, while everything is still served; then the callers' requests drain, then those of peers.
func (r *Router) stop(callerServer, peerServer, adminServer server) error {
	r.log.Info().Str("event", "stopping").Send()
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Timeouts.Drain.Std()+r.settings.Timeouts.Stop.Std())
	defer cancel()
	r.stopping.Store(true)
	r.registry.StopIssuing()
	r.members.MarkLeaving()
	r.gossip.GossipNow(ctx)
	r.clock.Sleep(r.settings.Timeouts.Drain.Std())
	err := r.shutdown(ctx, callerServer, "caller")
	r.waitForHopsToEnd(ctx)
	r.waitForKeyedRuns(ctx)
	if peerErr := r.shutdown(ctx, peerServer, "peer"); err == nil {
		err = peerErr
	}
	if adminErr := r.shutdown(ctx, adminServer, "admin"); err == nil {
		err = adminErr
	}
	return err
}

// shutdown waits until the server's requests have ended or the context ends, and then cuts off the remaining ones.
func (r *Router) shutdown(ctx context.Context, s server, name string) error {
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	r.log.Error().Str("event", "stop-limit").Str("server", name).Int64("requests", r.callerRequests.inFlight.Load()).
		Int64("hops", r.hopRequests.inFlight.Load()).Send()
	// Shutdown has closed the listener already, so Close can only return an error about that.
	_ = s.Close()
	return errors.Wrapf(err, "stop %s server", name)
}

// waitForHopsToEnd waits until no peer has sent a hop for hopQuietPeriod.
func (r *Router) waitForHopsToEnd(ctx context.Context) {
	for {
		remaining := hopQuietPeriod - r.hopRequests.sinceLastRequest(r.clock.Now())
		if remaining <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(remaining):
		}
	}
}

// waitForKeyedRuns waits for runs of requests with an idempotency key. They may still be executing after their callers
// have disconnected.
func (r *Router) waitForKeyedRuns(ctx context.Context) {
	if err := r.registry.Wait(ctx); err != nil {
		r.log.Error().Str("event", "stop-limit").Int("runs", r.registry.State().Running).Err(err).Send()
	}
}
