package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/callerconn"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/fleet"
	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// headerReadTimeout limits the time for reading a request's headers on all addresses except the callers'.
const headerReadTimeout = 2 * time.Second

// notReadyReason returns why the process does not take new requests, or "" if it does.
func (g *Gateway) notReadyReason() string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case g.store.Current().Config == nil:
		return "no configuration is known"
	case g.mirror.CompleteRevision() == 0:
		return "no upstreams are known"
	default:
		return ""
	}
}

// readyHandler serves the health check of the load balancer in front of the routers: 200 if the process takes new
// requests, else 503.
func (g *Gateway) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		// A write error means that the load balancer has disconnected, so there is no one to report it to.
		_, _ = io.WriteString(w, "ready\n")
	})
}

// peerHandler serves the calls of other hosts, and the requests of those that are cut off from the upstreams.
func (g *Gateway) peerHandler() http.Handler {
	calls, detours := http.MaxBytesHandler(fleetpb.NewFleetServer(g.fleet), maxPeerRequestBytes), g.server.DetourHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if detour.HasOrder(r.Header) {
			detours.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

func (g *Gateway) adminHandler() http.Handler {
	return admin.Handler(admin.Options{
		Ready: g.notReadyReason, State: func() any { return g.State() }, Metrics: g.metrics.Handler, Lift: g.lift,
	})
}

// lift lifts the quarantine of a request or of a prompt segment. Their hashes do not collide in practice.
func (g *Gateway) lift(hash uint64) {
	g.quarantineTable.Lift(hash)
	g.prompts.Lift(hash)
}

// State is the process's state dump.
type State struct {
	Name                string                        `json:"name"`
	DataCentre          string                        `json:"data_centre"`
	Incarnation         uint64                        `json:"incarnation"`
	Time                time.Time                     `json:"time"`
	NotReady            string                        `json:"not_ready,omitempty"`
	ConfigVersion       uint64                        `json:"config_version"`
	ConfigRevision      uint64                        `json:"config_revision"`
	DisabledDataCentres map[string]bool               `json:"data_centres_out"`
	StoreEra            uint64                        `json:"store_era"`
	CompleteRevision    uint64                        `json:"complete_revision"`
	InFlight            int64                         `json:"requests_in_flight"`
	CallerConns         callerconn.State              `json:"caller_connections"`
	Hosts               []fleet.HostState             `json:"hosts"`
	Upstreams           []balance.UpstreamState       `json:"upstreams"`
	Quarantine          []quarantine.FingerprintState `json:"quarantine"`
	Prompts             promptblame.State             `json:"prompts"`
}

// State returns a snapshot of the state of all components.
func (g *Gateway) State() State {
	snap := g.store.Current()
	s := State{
		Name: g.settings.Name, DataCentre: g.settings.DataCentre, Incarnation: g.incarnation, Time: g.clock.Now(),
		NotReady: g.notReadyReason(), ConfigRevision: snap.ConfigRevision, DisabledDataCentres: snap.DisabledDataCentres, StoreEra: g.mirror.Complete().Era, CompleteRevision: g.mirror.CompleteRevision(),
		InFlight: g.server.InFlight(), CallerConns: g.server.Conns(), Hosts: g.fleet.State(), Upstreams: g.balancer.State(),
		Quarantine: g.quarantineTable.State(), Prompts: g.prompts.State(),
	}
	if snap.Config != nil {
		s.ConfigVersion = snap.Config.Version
	}
	return s
}
