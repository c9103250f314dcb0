// Package catalog holds the current state for direct sending: routes, services, teams, limits, disabled data centres,
// and the upstreams with their state. Readers take an immutable snapshot; writers publish a new one.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind says whether a route's requests may be repeated.
type Kind string

// The kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once per attempt of the caller.
	Unsafe Kind = "unsafe"
	// Stream requests receive a stream of events as their response. They are unsafe unless the route resumes streams.
	Stream Kind = "stream"
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix and defines how they are sent to services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the operator's limit on the duration of a request.
	Timeout time.Duration
	// LatencyObjective is the latency within which a response fully meets the route's service objective.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between two events of a stream that still meets the service objective.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// AllowsAnonymous is set if the route accepts requests without a key.
	AllowsAnonymous bool
	// ResumableStreams is set if the route's streams may be resumed at another upstream.
	ResumableStreams bool
	WeightedServices []WeightedService
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.ResumableStreams
}

// SendsTo reports whether a share of the route's requests goes to the service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Service is a pool of upstreams.
type Service struct {
	Name string
	// ColdRequestsPerSecond is the number of requests a second that a cold upstream can handle; 0 means that upstreams
	// of the service are never cold.
	ColdRequestsPerSecond float64
	// MaxConnections is the number of connections from all hosts that an upstream accepts; 0 if that is not known.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine bool
	// HealthPath is the path of health checks; empty if that is not known.
	HealthPath string
}

// Team is a group of callers that share keys.
type Team struct {
	Name string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long the head of a request may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for a request.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Teams maps keys to teams. If it is nil, no route needs a key.
	Teams  map[string]*Team
	Limits Limits

	byHost map[string][]*Route
}

// Index builds the index by which Match finds routes. It is called once, before the configuration is shared.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

// Match returns the route of the host with the longest prefix that matches the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Upstream is one incarnation of an upstream, that is one run of its process, as published by the upstream.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the upstream's software; empty if unknown.
	Version string
	Slots   int
	Leaving bool
	// StartedAtMs distinguishes incarnations with the same ID. It is the start time in Unix milliseconds, or 0 if
	// unknown.
	StartedAtMs int64
	// ColdUntil is when the upstream expects to be warm, by this host's clock.
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

// Snapshot is the immutable state at one moment.
type Snapshot struct {
	// Config is nil until the first configuration has been read.
	Config *Config
	// ConfigRevision is the store's revision of the configuration.
	ConfigRevision uint64
	// DisabledDataCentres holds the data centres that operators have disabled.
	DisabledDataCentres map[string]bool
	// Upstreams holds all published upstreams by service, including leaving ones, ordered by ID.
	Upstreams map[string][]*Upstream
	// StreamTimeouts holds the longest timeout of a route for streams, in any configuration so far, by service.
	StreamTimeouts map[string]time.Duration
	// Versions holds the software versions of all published upstreams by service, in ascending order.
	Versions map[string][]string
}

// AcceptsNewWork reports whether new requests may be sent to the upstream.
func (s *Snapshot) AcceptsNewWork(u *Upstream) bool {
	return !u.Leaving && !s.DisabledDataCentres[u.DataCentre]
}

// Serves reports whether an upstream of the service with the software version is published and not leaving.
func (s *Snapshot) Serves(service, version string) bool {
	for _, u := range s.Upstreams[service] {
		if u.Version == version && !u.Leaving {
			return true
		}
	}
	return false
}

// UpstreamVersion returns the software version of the service's upstream with the ID, and whether it is published.
func (s *Snapshot) UpstreamVersion(service, id string) (version string, ok bool) {
	for _, u := range s.Upstreams[service] {
		if u.ID == id {
			return u.Version, true
		}
	}
	return "", false
}

// ColdRequestsPerSecond returns the number of requests a second that a cold upstream of the service can handle, or 0 if
// its upstreams are never cold.
func (s *Snapshot) ColdRequestsPerSecond(service string) float64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Services[service].ColdRequestsPerSecond
}
