package settings

import (
	"fmt"
	"time"
)

// Direct holds the settings of an oriole-router that sends requests straight to upstreams and takes its configuration
// and its upstreams from published items.
type Direct struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// DataCentres are all data centres of the fleet.
	DataCentres   []string `json:"data_centres"`
	CallerAddress string   `json:"caller_address"`
	ReadyAddress  string   `json:"ready_address"`
	PeerAddress   string   `json:"peer_address"`
	AdminAddress  string   `json:"admin_address"`
	// StoreAddress is where the published items are read.
	StoreAddress string `json:"store_address"`
	// SeedPeers are peer addresses of other hosts; they may be stale.
	SeedPeers []string       `json:"seed_peers,omitempty"`
	MemoryMB  int            `json:"memory_mb"`
	Retry     RetryBudget    `json:"retry"`
	Cold      ColdLimits     `json:"cold"`
	Timeouts  DirectTimeouts `json:"timeouts"`
	Log       Log            `json:"log"`
}

// RetryBudget bounds the requests that all hosts together send once more.
type RetryBudget struct {
	// Ratio is the retries for each request of a service, Slack how many more are allowed in any window.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// ColdLimits bounds what a cold upstream gets from all hosts together in a second: Overage times its service's rate and
// Slack more.
type ColdLimits struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// DirectTimeouts are the times of a planned stop and of the exchange between hosts.
type DirectTimeouts struct {
	// Drain is how long a stopping router takes requests while its readiness fails.
	Drain Duration `json:"drain"`
	// Stop is the time from the signal to the end of the process.
	Stop Duration `json:"stop"`
	// Gossip is the time between two exchanges with other hosts.
	Gossip Duration `json:"gossip"`
	// Leaving is the time after which a leaving upstream may get nothing more, and Configuration the one in which a
	// configuration must be in force. What this host knows of published items is never older than the lesser one.
	Leaving       Duration `json:"leaving"`
	Configuration Duration `json:"configuration"`
}

// MaxStaleness returns how old what a host knows of published items may be.
func (l DirectTimeouts) MaxStaleness() time.Duration {
	return min(l.Leaving.Std(), l.Configuration.Std())
}

// Default values and limits of the settings.
const (
	defaultDirectDrain  = 3 * time.Second
	defaultDirectStop   = 8 * time.Second
	defaultDirectGossip = time.Second
	defaultInForce      = 2 * time.Second
	minInForce          = 500 * time.Millisecond
	maxInForce          = time.Minute
	minMemoryMB         = 32
	maxMemoryMB         = 1 << 20
	maxShare            = 1000
)

// Check fills in defaults and reports problems.
func (d *Direct) Check() []Problem {
	setInt(&d.Timeouts.Drain, Duration(defaultDirectDrain))
	setInt(&d.Timeouts.Stop, Duration(defaultDirectStop))
	setInt(&d.Timeouts.Gossip, Duration(defaultDirectGossip))
	setInt(&d.Timeouts.Leaving, Duration(defaultInForce))
	setInt(&d.Timeouts.Configuration, Duration(defaultInForce))
	c := newChecks()
	c.text("name", d.Name)
	c.text("data_centre", d.DataCentre)
	for i, name := range d.DataCentres {
		c.text(fmt.Sprintf("data_centres[%d]", i), name)
	}
	c.address("caller_address", d.CallerAddress)
	c.address("ready_address", d.ReadyAddress)
	c.address("peer_address", d.PeerAddress)
	c.address("admin_address", d.AdminAddress)
	c.address("store_address", d.StoreAddress)
	c.specific("peer_address", d.PeerAddress)
	c.distinct()
	c.seeds(d.SeedPeers)
	c.betweenInt("memory_mb", int64(d.MemoryMB), minMemoryMB, maxMemoryMB)
	c.number("retry.ratio", d.Retry.Ratio, maxShare)
	c.number("retry.slack", d.Retry.Slack, maxMemoryMB)
	c.number("cold.overage", d.Cold.Overage, maxShare)
	c.number("cold.slack", d.Cold.Slack, maxMemoryMB)
	c.between("timeouts.drain", d.Timeouts.Drain, minTimeout, d.Timeouts.Stop.Std())
	c.between("timeouts.stop", d.Timeouts.Stop, minTimeout, maxTimeout)
	c.between("timeouts.gossip", d.Timeouts.Gossip, minGossip, maxGossip)
	c.between("timeouts.leaving", d.Timeouts.Leaving, minInForce, maxInForce)
	c.between("timeouts.configuration", d.Timeouts.Configuration, minInForce, maxInForce)
	c.log(d.Log)
	return c.problems
}
