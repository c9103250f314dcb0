package router

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/idempotency"
	"github.com/orioleusher/orioleusher/internal/pause"
	"github.com/orioleusher/orioleusher/internal/peers"
	"github.com/orioleusher/orioleusher/internal/peertls"
	"github.com/orioleusher/orioleusher/internal/platform"
	"github.com/orioleusher/orioleusher/internal/quarantine"
	"github.com/orioleusher/orioleusher/internal/quota"
	"github.com/orioleusher/orioleusher/internal/upstreams"
)

// State is the router's state dump.
type State struct {
	Name        string    `json:"name"`
	DataCentre  string    `json:"data_centre"`
	Incarnation uint64    `json:"incarnation"`
	Time        time.Time `json:"time"`
	NotReady    string    `json:"not_ready,omitempty"`
	// Placement describes a mismatch between the settings and the document about this host.
	Placement   string                        `json:"placement_problem,omitempty"`
	Config      config.State                  `json:"config"`
	Platform    platform.State                `json:"platform"`
	Members     []peers.MemberState           `json:"members"`
	Quota       quota.State                   `json:"quota"`
	Idempotency idempotency.State             `json:"idempotency"`
	Upstreams   []upstreams.UpstreamState     `json:"upstreams"`
	Quarantine  []quarantine.FingerprintState `json:"quarantine"`
	Gossip      peers.GossipState             `json:"gossip"`
	// GossipTraffic counts the bytes on the gossip connections that this host opens.
	GossipTraffic peers.ByteCounterState `json:"control"`
	Pause         pause.State            `json:"pause"`
	PeerTLS       peertls.State          `json:"peer_tls"`
	Stop          StopState              `json:"stop"`
}

// State returns a copy of the state of every component.
func (r *Router) State() State {
	return State{
		Name: r.settings.Name, DataCentre: r.settings.DataCentre, Incarnation: r.incarnation, Time: r.clock.Now(),
		NotReady: r.notReadyReason(), Placement: r.placement(), Config: r.store.State(), Platform: r.platform.State(), Members: r.members.State(),
		Gossip: r.gossip.State(), GossipTraffic: r.gossipBytes.State(), Pause: r.guard.State(), PeerTLS: r.peerTLS.State(),
		Stop:  StopState{Stopping: r.stopping.Load(), Requests: r.callerRequests.inFlight.Load(), Hops: r.hopRequests.inFlight.Load()},
		Quota: r.limiter.State(), Idempotency: r.registry.State(), Upstreams: r.upstreams.State(),
		Quarantine: r.quarantine.State(),
	}
}
