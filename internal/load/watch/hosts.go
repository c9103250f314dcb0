// Package watch observes a fleet during a load run: the readiness of entry hosts, the load of each upstream, the
// document in force on each router, and the control traffic that routers count.
package watch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// readyInterval is the interval between two readiness probes of an entry host, the same as in the platform's load
// balancer.
const readyInterval = 500 * time.Millisecond

// Host is an entry host. AdminAddress serves its readiness probe and state dump and may be empty.
type Host struct {
	Name          string
	CallerAddress string
	AdminAddress  string
}

// Balancer distributes callers over the ready entry hosts. It is safe for concurrent use.
type Balancer struct {
	hosts  []Host
	client *http.Client

	mu    sync.Mutex
	rng   *rand.Rand
	ready map[string]bool
}

// NewBalancer returns a balancer that treats every host as ready until its first probe.
func NewBalancer(hosts []Host, seed uint64) *Balancer {
	b := &Balancer{
		hosts: hosts, client: &http.Client{Timeout: readyInterval}, ready: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, h := range hosts {
		b.ready[h.CallerAddress] = true
	}
	return b
}

// Run probes all hosts periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for _, h := range b.hosts {
			if h.AdminAddress != "" {
				wg.Go(func() { b.setReady(h.CallerAddress, b.probe(ctx, h.AdminAddress)) })
			}
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) probe(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *Balancer) setReady(caller string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[caller] = ready
}

// Pick returns a random ready host other than avoid. If there is none, it returns a random host.
func (b *Balancer) Pick(avoid string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, h := range b.hosts {
		if b.ready[h.CallerAddress] && h.CallerAddress != avoid {
			ready = append(ready, h.CallerAddress)
		}
	}
	if len(ready) == 0 {
		return b.hosts[b.rng.IntN(len(b.hosts))].CallerAddress
	}
	return ready[b.rng.IntN(len(ready))]
}

// WaitReady waits until every host with an admin address is ready.
func (b *Balancer) WaitReady(ctx context.Context) error {
	for _, h := range b.hosts {
		for h.AdminAddress != "" && !b.probe(ctx, h.AdminAddress) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "wait until host %s is ready", h.AdminAddress)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}
