package direct

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// probeTimeout limits the connection attempt of a probe.
	probeTimeout = maxConnectTimeout
	// probeInterval is the time after a probe of an address until the next one.
	probeInterval = 500 * time.Millisecond
	// probeTTL is how long the result of a probe counts: long enough for all who rely on it instead of a probe of their own.
	probeTTL = 2 * probeInterval
)

// reachability finds out whether silent upstreams accept connections. The kernel of a machine does so also while the
// process stands still; a machine that is dark or cut off does not.
type reachability struct {
	// open opens a connection to the address and keeps it for later requests.
	open  func(ctx context.Context, address string) error
	clock clockwork.Clock

	mu     sync.Mutex
	probes map[string]*probe
}

// probe is the state of an address that is probed.
type probe struct {
	running bool
	// accepted and at are the latest result and its time.
	accepted bool
	at       time.Time
}

// probe begins to probe the address, unless there is a recent result or a probe is under way.
func (r *reachability) probe(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.probes[address]
	if p == nil {
		p = &probe{}
		r.probes[address] = p
	}
	if p.running || r.clock.Since(p.at) < probeInterval {
		return
	}
	p.running = true
	go r.run(address, p)
}

func (r *reachability) run(address string, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := r.open(ctx, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.running, p.accepted, p.at = false, err == nil, r.clock.Now()
	r.clock.AfterFunc(probeTTL, func() { r.forget(address, p) })
}

// forget deletes the state of the address unless it was probed again.
func (r *reachability) forget(address string, p *probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.running && r.clock.Since(p.at) >= probeTTL {
		delete(r.probes, address)
	}
}

// accepts reports whether a recent probe of the address has succeeded.
func (r *reachability) accepts(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.probes[address]
	return p != nil && p.accepted && r.clock.Since(p.at) < probeTTL
}
