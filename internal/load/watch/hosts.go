// Package watch observes a fleet during a load run: which entry hosts are ready, how much work each upstream holds, which
// document each router has in force and what control traffic routers count.
package watch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// readyInterval is the time between two readiness probes of an entry host, as of the platform's balancer.
const readyInterval = 500 * time.Millisecond

// Host is one entry host: where callers reach it and where its probes are. Admin may be empty.
type Host struct {
	Name   string
	Caller string
	Admin  string
}

// Balancer spreads callers over the entry hosts that are ready. It is safe for concurrent use.
type Balancer struct {
	hosts  []Host
	client *http.Client

	mu    sync.Mutex
	rnd   *rand.Rand
	ready map[string]bool
}

// NewBalancer returns a balancer that takes every host as ready until the first probe.
func NewBalancer(hosts []Host, seed uint64) *Balancer {
	b := &Balancer{
		hosts: hosts, client: &http.Client{Timeout: readyInterval}, ready: map[string]bool{},
		rnd: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, h := range hosts {
		b.ready[h.Caller] = true
	}
	return b
}

// Run probes every host until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for _, h := range b.hosts {
			if h.Admin != "" {
				wg.Go(func() { b.set(h.Caller, b.probe(ctx, h.Admin)) })
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

func (b *Balancer) set(caller string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[caller] = ready
}

// Pick returns a ready host other than the one to avoid, or any host if there is none.
func (b *Balancer) Pick(avoid string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, h := range b.hosts {
		if b.ready[h.Caller] && h.Caller != avoid {
			ready = append(ready, h.Caller)
		}
	}
	if len(ready) == 0 {
		return b.hosts[b.rnd.IntN(len(b.hosts))].Caller
	}
	return ready[b.rnd.IntN(len(ready))]
}

// WaitReady waits until every host with an admin address is ready.
func (b *Balancer) WaitReady(ctx context.Context) error {
	for _, h := range b.hosts {
		for h.Admin != "" && !b.probe(ctx, h.Admin) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "wait for host %s", h.Admin)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}
