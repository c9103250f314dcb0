package settings

import (
	"time"
)

// Router holds the settings of one oriole-router process.
type Router struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	// Platform is the base URL of the platform's configuration service.
	Platform string `json:"platform"`
	// Fleet is the name under which the platform publishes the document.
	Fleet string `json:"fleet"`
	// SeedPeers lists peer addresses to contact before the first document is available.
	SeedPeers []string `json:"seed_peers,omitempty"`
	PeerTLS   PeerTLS  `json:"peer_tls"`
	Limits    Limits   `json:"limits"`
	Timeouts  Timeouts `json:"timeouts"`
	Gossip    Gossip   `json:"gossip"`
	// RoutingPolicy defaults to PolicyBounded; the other policies are baselines for measurements.
	RoutingPolicy RoutingPolicy `json:"routing_policy,omitempty"`
	Log           Log           `json:"log"`
}

// RoutingPolicy names the method that selects the upstream of a request.
type RoutingPolicy string

// The routing policies.
const (
	// PolicyBounded follows the chat's rendezvous order, subject to the load bound that each upstream's owner enforces.
	PolicyBounded RoutingPolicy = "bounded"
	// PolicyRandom selects an upstream at random, without a load bound.
	PolicyRandom RoutingPolicy = "random"
	// PolicyRoundRobin selects the upstreams in turn, separately on each host and without a load bound.
	PolicyRoundRobin RoutingPolicy = "round-robin"
	// PolicyRendezvous follows the chat's rendezvous order without a load bound.
	PolicyRendezvous RoutingPolicy = "rendezvous"
	// PolicyDirect follows the chat's rendezvous order. Each host sends directly, with a load bound based only on its
	// own view.
	PolicyDirect RoutingPolicy = "direct"
)

// HasLoadBound reports whether the policy enforces a load bound.
func (p RoutingPolicy) HasLoadBound() bool { return p == PolicyBounded || p == PolicyDirect }

// PeerTLS configures mutual TLS between the fleet's processes.
type PeerTLS struct {
	// Plaintext turns TLS off. It is meant for loopback.
	Plaintext bool   `json:"plaintext,omitempty"`
	CertFile  string `json:"cert_file,omitempty"`
	KeyFile   string `json:"key_file,omitempty"`
	CAFile    string `json:"ca_file,omitempty"`
}

// Limits bounds what one caller may send.
type Limits struct {
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// TotalBodyBytes bounds the total size of the request bodies in flight, of all callers together.
	TotalBodyBytes int64 `json:"total_body_bytes"`
}

// Timeouts bounds each phase of a request.
type Timeouts struct {
	// Header is the time within which a caller must send its request headers.
	Header Duration `json:"header"`
	// Body is the time within which a caller must send its whole request.
	Body Duration `json:"body"`
	// Write is the time within which a caller must receive each chunk of its response.
	Write Duration `json:"write"`
	// Idle is how long an unused keep-alive connection stays open.
	Idle Duration `json:"idle"`
	// Request is the maximum time from accepting a request to the end of its response.
	Request Duration `json:"request"`
	// Connect is the timeout for a connection to an upstream or a peer.
	Connect Duration `json:"connect"`
	// FirstByte is the maximum time from sending the request to the first byte of the response.
	FirstByte Duration `json:"first_byte"`
	// BetweenBytes is the maximum time without data within a response.
	BetweenBytes Duration `json:"between_bytes"`
	// Drain is how long a stopping router still accepts requests while its readiness probe fails, so that the load
	// balancer and the peers detect the stop before a listener closes.
	Drain Duration `json:"drain"`
	// Stop is how long a planned stop waits for requests in flight after the drain time.
	Stop Duration `json:"stop"`
}

// Gossip configures the gossip between peers.
type Gossip struct {
	// Interval is the time between two gossip rounds.
	Interval Duration `json:"interval"`
	// SuspectAfter is the time without a response after which a peer is not considered live.
	SuspectAfter Duration `json:"suspect_after"`
}

// Defaults of the router's settings.
const (
	defaultHeaderBytes      = 32 << 10
	defaultBodyBytes        = 4 << 20
	defaultTotalBodyBytes   = 128 << 20
	defaultHeaderTime       = 5 * time.Second
	defaultBodyTime         = 30 * time.Second
	defaultWriteTime        = 30 * time.Second
	defaultIdleTime         = 60 * time.Second
	defaultRequestTime      = 120 * time.Second
	defaultConnectTime      = time.Second
	defaultFirstByteTime    = 20 * time.Second
	defaultBetweenBytesTime = 5 * time.Second
	defaultDrainTime        = 3 * time.Second
	defaultStopTime         = 30 * time.Second
	defaultGossipInterval   = 500 * time.Millisecond
	defaultSuspectAfter     = 3 * time.Second
)

// Limits of the router's settings. The limits of durations only catch typing errors.
const (
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 1 << 20
	minBodyBytes      = 1 << 10
	maxBodyBytes      = 256 << 20
	maxTotalBodyBytes = 64 << 30
	minTimeout        = time.Millisecond
	maxTimeout        = time.Hour
	minGossipInterval = 50 * time.Millisecond
	maxGossipInterval = time.Minute
	maxSuspectAfter   = 10 * time.Minute
)

// Check implements Checker.
func (r *Router) Check() []Problem {
	r.setDefaults()
	c := newChecks()
	c.name("name", r.Name)
	c.name("data_centre", r.DataCentre)
	c.name("fleet", r.Fleet)
	c.address("caller_address", r.CallerAddress)
	c.address("peer_address", r.PeerAddress)
	c.address("admin_address", r.AdminAddress)
	c.url("platform", r.Platform)
	c.specific("peer_address", r.PeerAddress)
	c.distinctAddresses()
	c.seeds(r.SeedPeers)
	c.peerTLS(r.PeerTLS)
	c.limits(r.Limits)
	c.policy(r.RoutingPolicy)
	c.timeouts(r.Timeouts)
	c.durationRange("gossip.interval", r.Gossip.Interval, minGossipInterval, maxGossipInterval)
	c.durationRange("gossip.suspect_after", r.Gossip.SuspectAfter, 2*r.Gossip.Interval.Std(), maxSuspectAfter)
	c.log(r.Log)
	return c.problems
}

func (r *Router) setDefaults() {
	setDefault(&r.Limits.HeaderBytes, defaultHeaderBytes)
	setDefault(&r.Limits.BodyBytes, defaultBodyBytes)
	setDefault(&r.Limits.TotalBodyBytes, max(defaultTotalBodyBytes, r.Limits.BodyBytes))
	t := &r.Timeouts
	setDefault(&t.Header, Duration(defaultHeaderTime))
	setDefault(&t.Body, Duration(defaultBodyTime))
	setDefault(&t.Write, Duration(defaultWriteTime))
	setDefault(&t.Idle, Duration(defaultIdleTime))
	setDefault(&t.Request, Duration(defaultRequestTime))
	setDefault(&t.Connect, Duration(defaultConnectTime))
	setDefault(&t.FirstByte, Duration(defaultFirstByteTime))
	setDefault(&t.BetweenBytes, Duration(defaultBetweenBytesTime))
	setDefault(&t.Drain, Duration(defaultDrainTime))
	setDefault(&t.Stop, Duration(defaultStopTime))
	if r.RoutingPolicy == "" {
		r.RoutingPolicy = PolicyBounded
	}
	setDefault(&r.Gossip.Interval, Duration(defaultGossipInterval))
	setDefault(&r.Gossip.SuspectAfter, Duration(defaultSuspectAfter))
}

func setDefault[T int | int64 | Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
