// Package retryafter decides when a refused caller should come back, so that those who were refused together do not
// return together.
package retryafter

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// window is the time over which requests are counted; older ones fade exponentially.
	window = time.Second
	// maxSpread bounds the time over which the refused callers of a service are spread.
	maxSpread = 4 * time.Second
	// minServed is the number of requests that a service is assumed to be able to serve in the window.
	minServed = 1
)

// Advisor counts what this host serves and refuses for each service. It is safe for concurrent use.
type Advisor struct {
	clock clockwork.Clock
	// random returns numbers from 0 to 1.
	random func() float64

	mu       sync.Mutex
	services map[string]*counts
}

// counts are the requests in the window, as of updatedAt.
type counts struct {
	served, refused float64
	updatedAt       time.Time
}

// NewAdvisor returns an advisor without counts.
func NewAdvisor(clock clockwork.Clock, random func() float64) *Advisor {
	return &Advisor{clock: clock, random: random, services: map[string]*counts{}}
}

// Served counts a request that the service has served.
func (a *Advisor) Served(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts(service).served++
}

// Refused counts a refused request of the service and returns when its caller should come back: not before earliest, and
// at a random time within that in which the service serves as many requests as were refused lately. A caller that waits
// only for left, if that is above 0, is told to come back within half of it.
func (a *Advisor) Refused(service string, earliest, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts(service)
	c.refused++
	spread := time.Duration(c.refused / math.Max(minServed, c.served) * float64(window))
	spread = min(max(spread, earliest), maxSpread)
	if left > 0 {
		earliest = min(earliest, left/4)
		spread = min(spread, left/2-earliest)
	}
	return earliest + time.Duration(a.random()*float64(spread))
}

// counts returns the service's counts as of now. The caller holds mu.
func (a *Advisor) counts(service string) *counts {
	now := a.clock.Now()
	c := a.services[service]
	if c == nil {
		c = &counts{updatedAt: now}
		a.services[service] = c
	}
	fade := math.Exp(-float64(now.Sub(c.updatedAt)) / float64(window))
	c.served, c.refused, c.updatedAt = c.served*fade, c.refused*fade, now
	return c
}
