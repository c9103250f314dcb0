// Package peers keeps this host's view of the other hosts by gossip: who is live, who is leaving, and which document
// is in force. The view only decides how well the fleet serves; no promise depends on it.
package peers

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// member is what this host knows of one host.
type member struct {
	incarnation uint64
	heartbeat   uint64
	leaving     bool
	// heard is when heartbeat last grew, by this host's clock.
	heard time.Time
}

// Members is the table of hosts. It is safe for concurrent use.
type Members struct {
	self         string
	incarnation  uint64
	clock        clockwork.Clock
	suspectAfter time.Duration

	mu    sync.RWMutex
	table map[string]*member
}

// NewMembers returns a table that knows only this host.
func NewMembers(self string, incarnation uint64, suspectAfter time.Duration, clock clockwork.Clock) *Members {
	m := &Members{
		self: self, incarnation: incarnation, clock: clock, suspectAfter: suspectAfter,
		table: map[string]*member{},
	}
	m.table[self] = &member{incarnation: incarnation, heard: clock.Now()}
	return m
}

// Live reports whether the host is believed live and not leaving.
func (m *Members) Live(host string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	e := m.table[host]
	if e == nil || e.leaving {
		return false
	}
	return host == m.self || m.clock.Since(e.heard) < m.suspectAfter
}

// Incarnation returns the host's last known incarnation, or 0.
func (m *Members) Incarnation(host string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if e := m.table[host]; e != nil {
		return e.incarnation
	}
	return 0
}

// Beat advances this host's heartbeat.
func (m *Members) Beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[m.self]
	e.heartbeat++
	e.heard = m.clock.Now()
}

// Leave marks this host as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table[m.self].leaving = true
}

// Merge takes over everything in the digest that is newer than this host's view.
func (m *Members) Merge(digest []*gossippb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, d := range digest {
		m.mergeOne(d, now)
	}
}

func (m *Members) mergeOne(d *gossippb.Member, now time.Time) {
	if d.Host == m.self || d.Host == "" {
		return
	}
	e := m.table[d.Host]
	switch {
	case e == nil || e.incarnation != d.Incarnation && d.Heartbeat > 0 && !m.recent(e, now):
		m.table[d.Host] = &member{incarnation: d.Incarnation, heartbeat: d.Heartbeat, leaving: d.Leaving, heard: now}
	case e.incarnation == d.Incarnation && d.Heartbeat > e.heartbeat:
		e.heartbeat, e.leaving, e.heard = d.Heartbeat, d.Leaving, now
	}
}

// recent reports whether the entry was heard of within half the suspicion time; an entry of another incarnation does
// not replace it before, so that an old digest cannot bring a replaced process back.
func (m *Members) recent(e *member, now time.Time) bool {
	return now.Sub(e.heard) < m.suspectAfter/2
}

// Digest returns the table for a message.
func (m *Members) Digest() []*gossippb.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	digest := make([]*gossippb.Member, 0, len(m.table))
	for host, e := range m.table {
		digest = append(digest, &gossippb.Member{
			Host: host, Incarnation: e.incarnation, Heartbeat: e.heartbeat, Leaving: e.leaving,
		})
	}
	return digest
}

// MemberState is one host in the state dump.
type MemberState struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Live        bool   `json:"live"`
	Leaving     bool   `json:"leaving"`
	// SilentMS is the time since the heartbeat last grew, in milliseconds.
	SilentMS int64 `json:"silent_ms"`
}

// State returns the table.
func (m *Members) State() []MemberState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	states := make([]MemberState, 0, len(m.table))
	for host, e := range m.table {
		silent := m.clock.Since(e.heard)
		states = append(states, MemberState{
			Host: host, Incarnation: e.incarnation, Leaving: e.leaving, SilentMS: silent.Milliseconds(),
			Live: !e.leaving && (host == m.self || silent < m.suspectAfter),
		})
	}
	return states
}
