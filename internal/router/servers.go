package router

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/exchange"
	"github.com/orioleusher/orioleusher/internal/explain"
	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/hop"
	"github.com/orioleusher/orioleusher/internal/placement"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/quota"
	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
	"github.com/orioleusher/orioleusher/internal/rpc/hoppb"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

// server is an http.Server or the server for callers.
type server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// serve serves the address on the listener that wrap returns.
func (r *Router) serve(s server, name, address string, wrap func(net.Listener) net.Listener, failed chan<- error) {
	go func() {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			err = process.IgnoreServerClosed(s.Serve(wrap(listener)))
		}
		if err != nil {
			failed <- errors.Wrapf(err, "serve %s address %s", name, address)
		}
	}()
}

// servePeers serves the peer address, with TLS unless the settings turn it off.
func (r *Router) servePeers(s *http.Server, failed chan<- error) {
	scan := r.scanRequests("peer")
	r.serve(s, "peer", r.settings.PeerAddress, func(l net.Listener) net.Listener {
		if r.peerTLS != nil {
			l = r.peerTLS.Listener(l)
		}
		return scan(l)
	}, failed)
}

// scanRequests returns a function that returns a listener on whose connections ambiguous requests to the server are refused.
func (r *Router) scanRequests(server string) func(net.Listener) net.Listener {
	return func(l net.Listener) net.Listener { return framing.Listen(l, framing.NewReport(server, r.log, r.scope)) }
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gossippb.GossipPathPrefix, gossippb.NewGossipServer(r.gossip))
	hops := &hop.Server{
		Store: r.store, Clock: r.clock, Log: r.log, MaxBodyBytes: r.settings.Limits.BodyBytes,
		Chains: map[hoppb.Role]exchange.Next{
			hoppb.Role_ROLE_OWNER:  r.ownerChain(),
			hoppb.Role_ROLE_ISSUER: r.issuerChain(),
		},
	}
	mux.Handle(quotapb.QuotaPathPrefix, r.guard.Handler(quotapb.NewQuotaServer(&quota.Server{Limiter: r.limiter, Store: r.store})))
	mux.Handle(hop.Path, r.hopRequests.handler(r.clock.Now, r.guard.Handler(hops)))
	return mux
}

// liftQuarantine ends the quarantine of the request with the fingerprint on this host.
func (r *Router) liftQuarantine(fingerprint uint64) {
	r.log.Info().Str("event", "quarantine-lifted").Uint64("fingerprint", fingerprint).Send()
	r.quarantine.Lift(fingerprint)
}

func (r *Router) adminHandler() http.Handler {
	return admin.Handler(admin.Options{
		Ready: r.notReadyReason, State: func() any { return r.State() }, Metrics: r.metrics.Handler,
		Explain: r.explain, Lift: r.liftQuarantine,
	})
}

// explain returns how this host chooses the upstream of a chat.
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

// notReadyReason returns why the router is not ready for new requests, or "" if it is.
func (r *Router) notReadyReason() string {
	switch {
	case r.stopping.Load():
		return "stopping"
	case r.store.Current() == nil:
		return "no document in force"
	case !r.initialSyncDone.Load():
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
