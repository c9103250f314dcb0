// Package catalog holds what is in force for direct sending: routes, services, teams, limits, data centres taken out
// and the upstreams with their state. Readers take an immutable snapshot; writers publish a new one.
package catalog

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a series of events; they are unsafe unless the route resumes streams.
	Stream Kind = "stream"
)

// WeightedService is a service that gets a part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says which requests go to which service, and how.
type Route struct {
	Name string
	Host string
	// Prefix begins the path; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that the operator wants a request kept waiting.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer earns its full worth.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between the events of a stream that is still on time.
	MaxEventGap time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// AllowsAnonymous routes need no key.
	AllowsAnonymous bool
	// ResumableStreams streams may go on at another upstream.
	ResumableStreams bool
	WeightedServices []WeightedService
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.ResumableStreams
}

// Service is a pool of upstreams.
type Service struct {
	Name string
	// MaxConns is how many connections each upstream accepts from all hosts together.
	MaxConns int
	// ColdRequestsPerSecond is how many requests a second a cold upstream bears; 0 means that its upstreams are never cold.
	ColdRequestsPerSecond float64
	// ColdDuration is how long an upstream is cold after its start.
	ColdDuration time.Duration
	// Engine is set for pools of model engines.
	Engine bool
}

// Team is a group of callers that share keys.
type Team struct {
	Name string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Teams are found by their keys. A nil map means that no route needs a key.
	Teams  map[string]*Team
	Limits Limits

	byHost map[string][]*Route
}

// Index prepares the lookup of routes; it is called once, before the configuration is shared.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Upstream is one incarnation of an upstream as it published itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// StartedAtMs tells incarnations with one ID apart, in Unix milliseconds; 0 if unknown.
	StartedAtMs int64
	// ColdUntil is when the upstream expects to be warm, on this host's clock.
	ColdUntil time.Time
}

// Key identifies the incarnation.
func (u *Upstream) Key() UpstreamKey {
	return UpstreamKey{ID: u.ID, Address: u.Address, StartedAtMs: u.StartedAtMs}
}

// UpstreamKey identifies one incarnation of an upstream.
type UpstreamKey struct {
	ID          string
	Address     string
	StartedAtMs int64
}

// Snapshot is what is in force at one moment. It is never changed.
type Snapshot struct {
	// Config is nil before the first configuration was read.
	Config *Config
	// ConfigRevision is the store's revision of the configuration.
	ConfigRevision uint64
	// DisabledDataCentres holds the data centres that were taken out.
	DisabledDataCentres map[string]bool
	// Upstreams are all published ones by service, leaving ones too, ordered by ID.
	Upstreams map[string][]*Upstream
}

// AcceptsNewWork reports whether new work may be sent to the upstream.
func (s *Snapshot) AcceptsNewWork(u *Upstream) bool {
	return !u.Leaving && !s.DisabledDataCentres[u.DataCentre]
}
