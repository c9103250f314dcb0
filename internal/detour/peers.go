package detour

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// skipTime is how long a host that refused a detour, or did not respond, is not asked again.
	skipTime = time.Second
	// provenTime is how long a host that has served a detour is preferred.
	provenTime = 2 * time.Second
	// One in exploreInterval detours goes to a host that has not served one lately, so that the load spreads.
	exploreInterval = 8
	// listTime is how long the list of hosts is used until it is asked for again.
	listTime = 200 * time.Millisecond
)

// Peers chooses the hosts through which detours go. It is safe for concurrent use.
type Peers struct {
	reachable func() []string
	clock     clockwork.Clock

	mu     sync.Mutex
	rand   *rand.Rand
	list   []*peerState
	listAt time.Time
	states map[string]*peerState
	// proven, unproven and doubted are reused by each choice.
	proven, unproven, doubted []*peerState
}

// peerState is what is known of a host as a way to the upstreams.
type peerState struct {
	address                            string
	inFlight                           int
	skipUntil, provenUntil, doubtUntil time.Time
}

// NewPeers returns a chooser among the hosts at the addresses that reachable returns.
func NewPeers(reachable func() []string, clock clockwork.Clock, r *rand.Rand) *Peers {
	return &Peers{reachable: reachable, clock: clock, rand: r, states: map[string]*peerState{}}
}

// Choose returns the address to which the next detour goes, other than those in tried, or "" if there is none.
func (p *Peers) Choose(tried []string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	proven, unproven, doubted := p.proven[:0], p.unproven[:0], p.doubted[:0]
	for _, s := range p.peers(now) {
		switch {
		case now.Before(s.skipUntil) || slices.Contains(tried, s.address):
		case now.Before(s.provenUntil):
			proven = append(proven, s)
		case now.Before(s.doubtUntil):
			doubted = append(doubted, s)
		default:
			unproven = append(unproven, s)
		}
	}
	p.proven, p.unproven, p.doubted = proven, unproven, doubted
	if len(proven)+len(unproven) == 0 {
		return p.lessLoaded(doubted)
	}
	if len(proven) == 0 || len(unproven) > 0 && p.rand.IntN(exploreInterval) == 0 {
		return p.lessLoaded(unproven)
	}
	return p.lessLoaded(proven)
}

// peers returns the states of the reachable hosts. The caller holds mu.
func (p *Peers) peers(now time.Time) []*peerState {
	if p.list != nil && now.Sub(p.listAt) < listTime {
		return p.list
	}
	p.list, p.listAt = []*peerState{}, now
	reachable := map[string]bool{}
	for _, address := range p.reachable() {
		reachable[address] = true
		p.list = append(p.list, p.state(address))
	}
	for address, s := range p.states {
		if s.inFlight == 0 && !reachable[address] {
			delete(p.states, address)
		}
	}
	return p.list
}

// lessLoaded returns the one of two random hosts that has fewer detours of this host. The caller holds mu.
func (p *Peers) lessLoaded(list []*peerState) string {
	if len(list) == 0 {
		return ""
	}
	a, b := list[p.rand.IntN(len(list))], list[p.rand.IntN(len(list))]
	if b.inFlight < a.inFlight {
		return b.address
	}
	return a.address
}

// state returns the state of the address and creates it if needed. The caller holds mu.
func (p *Peers) state(address string) *peerState {
	s := p.states[address]
	if s == nil {
		s = &peerState{address: address}
		p.states[address] = s
	}
	return s
}

// Begin counts a detour through the host until the returned function is called.
func (p *Peers) Begin(address string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.inFlight++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.inFlight--
	}
}

// RecordServed records that the host reached an upstream for this one.
func (p *Peers) RecordServed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(address).provenUntil = p.clock.Now().Add(provenTime)
}

// RecordRefused records that the host takes no detours now, or does not respond.
func (p *Peers) RecordRefused(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.skipUntil, s.provenUntil = p.clock.Now().Add(skipTime), time.Time{}
}

// RecordDoubt records that the host may no longer reach the upstreams, or be gone: it is only chosen if there is no other, until
// it serves or some time has passed.
func (p *Peers) RecordDoubt(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.provenUntil, s.doubtUntil = time.Time{}, p.clock.Now().Add(skipTime)
}
