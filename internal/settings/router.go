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
	// SeedPeers are peer addresses to ask before any document is known.
	SeedPeers []string `json:"seed_peers,omitempty"`
	PeerTLS   PeerTLS  `json:"peer_tls"`
	Limits    Limits   `json:"limits"`
	Timeouts  Timeouts `json:"timeouts"`
	Gossip    Gossip   `json:"gossip"`
	// RoutingPolicy is PolicyBounded unless set; the others are baselines for measurements.
	RoutingPolicy RoutingPolicy `json:"routing_policy,omitempty"`
	Log           Log           `json:"log"`
}

// RoutingPolicy names how a request finds its upstream.
type RoutingPolicy string

// The routing policies.
const (
	// PolicyBounded follows the chat's rendezvous order and the load bound at each upstream's owner.
	PolicyBounded RoutingPolicy = "bounded"
	// PolicyRandom picks at random, without a bound.
	PolicyRandom RoutingPolicy = "random"
	// PolicyRoundRobin takes the upstreams in turn on each host, without a bound.
	PolicyRoundRobin RoutingPolicy = "round-robin"
	// PolicyRendezvous follows the chat's rendezvous order without a bound.
	PolicyRendezvous RoutingPolicy = "rendezvous"
	// PolicyDirect follows the chat's order and sends from each host directly, bounded by that host's own view alone.
	PolicyDirect RoutingPolicy = "direct"
)

// HasLoadBound reports whether the policy keeps a load bound.
func (p RoutingPolicy) HasLoadBound() bool { return p == PolicyBounded || p == PolicyDirect }

// PeerTLS configures mutual TLS between the fleet's processes.
type PeerTLS struct {
	// Plaintext turns TLS off; meant for loopback.
	Plaintext bool   `json:"plaintext,omitempty"`
	CertFile  string `json:"cert_file,omitempty"`
	KeyFile   string `json:"key_file,omitempty"`
	CAFile    string `json:"ca_file,omitempty"`
}

// Limits bounds what one caller may send.
type Limits struct {
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// TotalBodyBytes bounds the bodies of all callers' requests in flight together.
	TotalBodyBytes int64 `json:"total_body_bytes"`
}

// Timeouts bounds each wait of a request.
type Timeouts struct {
	// Header is the time a caller has to send its request's headers.
	Header Duration `json:"header"`
	// Body is the time a caller has to send its whole request.
	Body Duration `json:"body"`
	// Write is the time a caller has to take each piece of its answer.
	Write Duration `json:"write"`
	// Idle is how long an unused keep-alive connection stays open.
	Idle Duration `json:"idle"`
	// Request is the longest time from the accepted request to the end of its answer.
	Request Duration `json:"request"`
	// Connect is the time for a connection to an upstream or a peer.
	Connect Duration `json:"connect"`
	// FirstByte is the time from the sent request to the first byte of the answer.
	FirstByte Duration `json:"first_byte"`
	// BetweenBytes is the longest silence inside an answer.
	BetweenBytes Duration `json:"between_bytes"`
	// Drain is how long a stopping router goes on to take requests while its readiness probe fails, so that the balancer
	// and the peers learn of the stop before an address closes.
	Drain Duration `json:"drain"`
	// Stop is how long a planned stop then waits for requests in flight.
	Stop Duration `json:"stop"`
}

// Gossip sets the pace of the exchange between peers.
type Gossip struct {
	// Interval is the time between two rounds.
	Interval Duration `json:"interval"`
	// SuspectAfter is the silence after which a peer counts as not live.
	SuspectAfter Duration `json:"suspect_after"`
}

// Default values of the router's settings.
const (
	defaultHeaderBytes  = 32 << 10
	defaultBodyBytes    = 4 << 20
	defaultTotalBody    = 128 << 20
	defaultHeaderTime   = 5 * time.Second
	defaultBodyTime     = 30 * time.Second
	defaultWrite        = 30 * time.Second
	defaultIdle         = 60 * time.Second
	defaultRequest      = 120 * time.Second
	defaultConnect      = time.Second
	defaultFirstByte    = 20 * time.Second
	defaultBetweenBytes = 5 * time.Second
	defaultDrain        = 3 * time.Second
	defaultStop         = 30 * time.Second
	defaultGossip       = 500 * time.Millisecond
	defaultSuspect      = 3 * time.Second
)

// Limits of the router's settings. Those of durations only catch mistakes of writing.
const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 256 << 20
	maxTotalBody   = 64 << 30
	minTimeout     = time.Millisecond
	maxTimeout     = time.Hour
	minGossip      = 50 * time.Millisecond
	maxGossip      = time.Minute
	maxSuspect     = 10 * time.Minute
)

// Check fills in defaults and reports problems.
func (r *Router) Check() []Problem {
	r.fill()
	c := newChecks()
	c.text("name", r.Name)
	c.text("data_centre", r.DataCentre)
	c.text("fleet", r.Fleet)
	c.address("caller_address", r.CallerAddress)
	c.address("peer_address", r.PeerAddress)
	c.address("admin_address", r.AdminAddress)
	c.url("platform", r.Platform)
	c.specific("peer_address", r.PeerAddress)
	c.distinct()
	c.seeds(r.SeedPeers)
	c.peerTLS(r.PeerTLS)
	c.limits(r.Limits)
	c.policy(r.RoutingPolicy)
	c.timeouts(r.Timeouts)
	c.between("gossip.interval", r.Gossip.Interval, minGossip, maxGossip)
	c.between("gossip.suspect_after", r.Gossip.SuspectAfter, 2*r.Gossip.Interval.Std(), maxSuspect)
	c.log(r.Log)
	return c.problems
}

func (r *Router) fill() {
	setInt(&r.Limits.HeaderBytes, defaultHeaderBytes)
	setInt(&r.Limits.BodyBytes, defaultBodyBytes)
	setInt(&r.Limits.TotalBodyBytes, max(defaultTotalBody, r.Limits.BodyBytes))
	t := &r.Timeouts
	setInt(&t.Header, Duration(defaultHeaderTime))
	setInt(&t.Body, Duration(defaultBodyTime))
	setInt(&t.Write, Duration(defaultWrite))
	setInt(&t.Idle, Duration(defaultIdle))
	setInt(&t.Request, Duration(defaultRequest))
	setInt(&t.Connect, Duration(defaultConnect))
	setInt(&t.FirstByte, Duration(defaultFirstByte))
	setInt(&t.BetweenBytes, Duration(defaultBetweenBytes))
	setInt(&t.Drain, Duration(defaultDrain))
	setInt(&t.Stop, Duration(defaultStop))
	if r.RoutingPolicy == "" {
		r.RoutingPolicy = PolicyBounded
	}
	setInt(&r.Gossip.Interval, Duration(defaultGossip))
	setInt(&r.Gossip.SuspectAfter, Duration(defaultSuspect))
}

func setInt[T int | int64 | Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
