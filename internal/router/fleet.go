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
)

const (
	// firstReadWait bounds the wait of a starting router for the platform's first answer.
	firstReadWait = 4 * time.Second
	// catchUpRetry is the wait of a starting router that has found no document yet.
	catchUpRetry = 200 * time.Millisecond
	// catchUpLimit bounds how long requests wait after a pause.
	catchUpLimit = 1500 * time.Millisecond
	// quietTime without a hop shows that the peers know that this host leaves.
	quietTime = time.Second
)

// Idle connections that a router keeps to its peers.
const (
	maxIdleHopConns    = 64
	maxIdleGossipConns = 32
	idleConnTimeout    = 90 * time.Second
)

// connectFleet makes the clients that speak to the platform and to other routers.
func (r *Router) connectFleet() error {
	keeper, err := peertls.New(r.settings.PeerTLS, r.clock, r.log)
	if err != nil {
		return errors.Wrap(err, "peer TLS")
	}
	r.peerTLS = keeper
	scheme := "https"
	if keeper == nil {
		scheme = "http"
	}
	dial := r.dialer().DialContext
	r.hops = hop.NewClient(hop.Options{
		Self: r.settings.Name, Incarnation: r.incarnation, Scheme: scheme, Transport: r.peerTransport(dial, maxIdleHopConns),
		BetweenBytes: r.settings.Timeouts.BetweenBytes.Std(), Peers: r.members, Clock: r.clock, Scope: r.scope,
	})
	gossipClient := &http.Client{Transport: r.peerTransport(r.control.Dial(dial), maxIdleGossipConns)}
	r.gossip = peers.NewGossip(peers.Options{
		Self: r.settings.Name, SelfAddress: r.settings.PeerAddress, Incarnation: r.incarnation,
		Seeds: r.settings.SeedPeers, Scheme: scheme, Client: gossipClient, Extensions: r.extensions(),
		OnPeerResponse: r.guard.RecordPeerResponse,
		Interval:       r.settings.Gossip.Interval.Std(), Members: r.members, Store: r.store, Clock: r.clock,
		Rand: mathrand.New(mathrand.NewPCG(r.incarnation, 0)), Log: r.log, Scope: r.scope,
	})
	lenders := &quota.PeerClient{
		Self: r.settings.Name, Incarnation: r.incarnation, Scheme: scheme, Client: gossipClient, Store: r.store,
	}
	r.borrower = quota.NewBorrower(r.limiter, lenders, r.members, r.clock, r.scope)
	r.quota = &quota.SyncLoop{Limiter: r.limiter, Store: r.store, Peers: lenders, Clock: r.clock, Log: r.log}
	r.platform = platform.NewClient(platform.Options{
		BaseURL: r.settings.Platform, Fleet: r.settings.Fleet, Self: r.settings.Name, Dialer: r.dialer(), Liveness: r.members,
		Store: r.store, Clock: r.clock, Rand: mathrand.New(mathrand.NewPCG(r.incarnation, 1)), Log: r.log, Scope: r.scope,
	})
	return nil
}

// extensions returns the parts whose state travels on the gossip.
func (r *Router) extensions() []peers.Extension {
	return []peers.Extension{r.upstreams, r.quarantine}
}

func (r *Router) peerTransport(dial peers.DialFunc, idlePerHost int) *http.Transport {
	t := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
	if r.peerTLS != nil {
		t.DialTLSContext = r.peerTLS.Dial(dial)
	}
	return t
}

// settle brings a starting router to the highest version that the platform and its peers have. It ends when a round of
// questions to the peers changed nothing.
func (r *Router) settle(ctx context.Context) {
	select {
	case <-r.platform.FirstCallDone():
	case <-r.clock.After(firstReadWait):
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		before := r.store.Current()
		asked, reached := r.gossip.Resync(ctx)
		if now := r.store.Current(); now != nil && now == before {
			r.log.Info().Str("event", "settled").Uint64("version", now.Version).Int("asked", asked).Int("reached", reached).Send()
			r.settled.Store(true)
			r.guard.Start()
			return
		}
		if before == nil {
			r.clock.Sleep(catchUpRetry)
		}
	}
}

// catchUp reads again what the fleet knows: from the peers, and from the platform if this host watches it or reached no
// peer. It reports whether anybody answered.
func (r *Router) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	var wg sync.WaitGroup
	var answered atomic.Bool
	read := func() { answered.Store(r.platform.Refresh(ctx) == nil || answered.Load()) }
	watching := r.platform.State().Watching
	if watching {
		wg.Go(read)
	}
	_, reached := r.gossip.Resync(ctx)
	if reached == 0 && !watching {
		read()
	}
	wg.Wait()
	return reached > 0 || answered.Load()
}

// work counts the requests that a server has in flight and asks their clients to close their connections once the
// router stops.
type work struct {
	stopping *atomic.Bool
	inFlight atomic.Int64
	// last is when the last request came, in Unix nanoseconds.
	last atomic.Int64
}

func (w *work) handler(now func() time.Time, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		w.inFlight.Add(1)
		defer w.inFlight.Add(-1)
		w.last.Store(now().UnixNano())
		if w.stopping.Load() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, req)
	})
}

func (w *work) quietFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, w.last.Load()))
}

// StopState is the section of the state dump on a planned stop.
type StopState struct {
	Stopping bool `json:"stopping"`
	// Requests and Hops are the requests in flight from callers and from peers.
	Requests int64 `json:"requests_in_flight"`
	Hops     int64 `json:"hops_in_flight"`
}

// stop ends the servers in the order that cuts off no request in flight: the balancer and the peers learn of it while
// everything is still served, then the callers' requests end, then the peers'.
func (r *Router) stop(entry, peer, operators *http.Server) error {
	r.log.Info().Str("event", "stopping").Send()
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Timeouts.Drain.Std()+r.settings.Timeouts.Stop.Std())
	defer cancel()
	r.stopping.Store(true)
	r.registry.StopIssuing()
	r.members.Leave()
	r.gossip.AnnounceDocument(ctx)
	r.clock.Sleep(r.settings.Timeouts.Drain.Std())
	err := r.shutdown(ctx, entry, "caller")
	r.waitQuiet(ctx)
	r.waitRuns(ctx)
	if peerErr := r.shutdown(ctx, peer, "peer"); err == nil {
		err = peerErr
	}
	if adminErr := r.shutdown(ctx, operators, "admin"); err == nil {
		err = adminErr
	}
	return err
}

// shutdown waits for the server's requests until the context ends and then cuts them off.
func (r *Router) shutdown(ctx context.Context, s *http.Server, name string) error {
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	r.log.Error().Str("event", "stop-limit").Str("server", name).Int64("requests", r.entryWork.inFlight.Load()).
		Int64("hops", r.hopWork.inFlight.Load()).Send()
	// Close returns the listener's error, and the listener is gone already.
	_ = s.Close()
	return errors.Wrapf(err, "stop %s server", name)
}

// waitQuiet waits until no peer has sent a hop for a while.
func (r *Router) waitQuiet(ctx context.Context) {
	for {
		left := quietTime - r.hopWork.quietFor(r.clock.Now())
		if left <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(left):
		}
	}
}

// waitRuns waits for requests with an idempotency key whose callers have gone; they may still be at their upstream.
func (r *Router) waitRuns(ctx context.Context) {
	if err := r.registry.Wait(ctx); err != nil {
		r.log.Error().Str("event", "stop-limit").Int("runs", r.registry.State().Running).Err(err).Send()
	}
}
