package settings

import (
	"fmt"
	"time"
)

// Direct holds the settings of an oriole-router in direct mode. It sends requests directly to upstreams and reads its
// configuration and its upstreams from published items.
type Direct struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// DataCentres lists all data centres of the fleet.
	DataCentres   []string `json:"data_centres"`
	CallerAddress string   `json:"caller_address"`
	ReadyAddress  string   `json:"ready_address"`
	PeerAddress   string   `json:"peer_address"`
	AdminAddress  string   `json:"admin_address"`
	// StoreAddress is the address of the store of published items.
	StoreAddress string `json:"store_address"`
	// SeedPeers lists peer addresses of other hosts. It may be out of date.
	SeedPeers []string `json:"seed_peers,omitempty"`
	MemoryMB  int      `json:"memory_mb"`
	// MaxCallerConns limits the number of callers' connections; 0 if it follows from the memory.
	MaxCallerConns int            `json:"max_caller_connections,omitempty"`
	Retry          RetryBudget    `json:"retry"`
	Cold           ColdLimits     `json:"cold"`
	Timeouts       DirectTimeouts `json:"timeouts"`
	Log            Log            `json:"log"`
}

// RetryBudget limits the retries of all hosts together.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request of a service. Slack is the number allowed in addition in
	// any time of the length Window.
	Ratio  float64  `json:"ratio"`
	Slack  float64  `json:"slack"`
	Window Duration `json:"window,omitempty"`
}

// ColdLimits limits the requests per second that all hosts together send to a cold upstream: Overage times the rate of
// its service, plus Slack.
type ColdLimits struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// DirectTimeouts holds the timeouts and intervals of direct mode.
type DirectTimeouts struct {
	// Drain is how long a stopping router still accepts requests while its readiness check fails.
	Drain Duration `json:"drain"`
	// Stop is the time from the stop signal to the end of the process.
	Stop Duration `json:"stop"`
	// Gossip is the interval between gossip rounds.
	Gossip Duration `json:"gossip"`
	// Leaving is the time after which a leaving upstream must receive no more requests. Configuration is the time
	// within which a new configuration must be in force. This host's data from published items is never older than the
	// smaller of the two.
	Leaving       Duration `json:"leaving"`
	Configuration Duration `json:"configuration"`
	// StoreHistory is how long the store keeps the changes of published items; 0 if that is not known.
	StoreHistory Duration `json:"store_history,omitempty"`
}

// MaxStaleness returns the maximum age of this host's data from published items.
func (l DirectTimeouts) MaxStaleness() time.Duration {
	return min(l.Leaving.Std(), l.Configuration.Std())
}

// Defaults and limits of the settings.
const (
	defaultDirectDrain = 3 * time.Second
	defaultDirectStop  = 8 * time.Second
	// maxDrainDivisor limits the default of the drain time to a part of the time of the whole stop.
	maxDrainDivisor     = 2
	defaultDirectGossip = time.Second
	defaultRetryWindow  = 10 * time.Second
	maxRetryWindow      = 10 * time.Minute
	defaultApplyTime    = 2 * time.Second
	minApplyTime        = 500 * time.Millisecond
	maxApplyTime        = time.Minute
	maxStoreHistory     = 24 * time.Hour
	minMemoryMB         = 32
	maxMemoryMB         = 1 << 20
	maxRatio            = 1000
	maxCallerConns      = 1 << 20
)

// Check implements Checker.
func (d *Direct) Check() []Problem {
	setDefault(&d.Timeouts.Stop, Duration(defaultDirectStop))
	setDefault(&d.Timeouts.Drain, min(Duration(defaultDirectDrain), d.Timeouts.Stop/maxDrainDivisor))
	setDefault(&d.Timeouts.Gossip, Duration(defaultDirectGossip))
	setDefault(&d.Retry.Window, Duration(defaultRetryWindow))
	setDefault(&d.Timeouts.Leaving, Duration(defaultApplyTime))
	setDefault(&d.Timeouts.Configuration, Duration(defaultApplyTime))
	c := newChecks()
	c.name("name", d.Name)
	c.name("data_centre", d.DataCentre)
	for i, name := range d.DataCentres {
		c.name(fmt.Sprintf("data_centres[%d]", i), name)
	}
	c.address("caller_address", d.CallerAddress)
	c.address("ready_address", d.ReadyAddress)
	c.address("peer_address", d.PeerAddress)
	c.address("admin_address", d.AdminAddress)
	c.address("store_address", d.StoreAddress)
	c.specific("peer_address", d.PeerAddress)
	c.distinctAddresses()
	c.seeds(d.SeedPeers)
	c.intRange("memory_mb", int64(d.MemoryMB), minMemoryMB, maxMemoryMB)
	c.intRange("max_caller_connections", int64(d.MaxCallerConns), 0, maxCallerConns)
	c.floatRange("retry.ratio", d.Retry.Ratio, maxRatio)
	c.floatRange("retry.slack", d.Retry.Slack, maxMemoryMB)
	c.durationRange("retry.window", d.Retry.Window, minTimeout, maxRetryWindow)
	c.floatRange("cold.overage", d.Cold.Overage, maxRatio)
	c.floatRange("cold.slack", d.Cold.Slack, maxMemoryMB)
	c.durationRange("timeouts.drain", d.Timeouts.Drain, minTimeout, d.Timeouts.Stop.Std())
	c.durationRange("timeouts.stop", d.Timeouts.Stop, minTimeout, maxTimeout)
	c.durationRange("timeouts.gossip", d.Timeouts.Gossip, minGossipInterval, maxGossipInterval)
	c.durationRange("timeouts.leaving", d.Timeouts.Leaving, minApplyTime, maxApplyTime)
	c.durationRange("timeouts.configuration", d.Timeouts.Configuration, minApplyTime, maxApplyTime)
	c.durationRange("timeouts.store_history", d.Timeouts.StoreHistory, 0, maxStoreHistory)
	c.log(d.Log)
	return c.problems
}
