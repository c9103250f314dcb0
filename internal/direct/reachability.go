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
	// probeTTL is how long the result of a probe is kept. It is shorter than any silence after which it is asked for.
	probeTTL = 500 * time.Millisecond
)

// reachability finds out whether silent upstreams accept connections. The kernel of a machine does so also while the
// process stands still; a machine that is dark or cut off does not.
type reachability struct {
	// open opens a connection to the address and keeps it for later requests.
	open  func(ctx context.Context, address string) error
	clock clockwork.Clock

	mu sync.Mutex
	// probes holds the recent results by address; false also while a probe is under way.
	probes map[string]bool
}

// probe begins to probe the address, unless there is a recent result or a probe is under way.
func (r *reachability) probe(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.probes[address]; ok {
		return
	}
	r.probes[address] = false
	go r.run(address)
}

func (r *reachability) run(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := r.open(ctx, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes[address] = err == nil
	r.clock.AfterFunc(probeTTL, func() { r.forget(address) })
}

func (r *reachability) forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probes, address)
}

// accepts reports whether a recent probe of the address has succeeded.
func (r *reachability) accepts(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probes[address]
}
