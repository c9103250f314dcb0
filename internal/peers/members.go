// Package peers keeps this host's view of the other hosts by gossip: who is live, who is leaving, and which document
// is in force. The view only decides how well the fleet serves; no promise depends on it.
//
// Hosts are probed in turn. A host that neither the prober nor the peers that it asks can reach becomes suspect, and
// dead when it does not refute that in time. Only changes travel, so that traffic does not grow with the fleet.
package peers

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/rpc/gossippb"
)

// Limits of the members in one digest.
const (
	// freshPerDigest bounds the members whose entry changed lately.
	freshPerDigest = 12
	// rotatingPerDigest members more are taken in turn, so that a change that was missed is heard later.
	rotatingPerDigest = 4
	// sendsPerDoubling times the binary logarithm of the fleet's size is how often a change is sent.
	sendsPerDoubling = 3
)

// maxDirectHint bounds the time for which a host that this host failed to reach counts as not live here.
const maxDirectHint = 30 * time.Second

// member is what this host knows of one host.
type member struct {
	incarnation uint64
	generation  uint64
	status      gossippb.MemberStatus
	leaving     bool
	// since is when the entry last changed, by this host's clock.
	since time.Time
	// sends counts the digests that carried the entry since it changed.
	sends int
	// failures counts the direct failures in a row; the host is unreachable from here until failedUntil.
	failures    int
	failedUntil time.Time
}

// Members is the table of hosts. It is safe for concurrent use.
type Members struct {
	self         string
	clock        clockwork.Clock
	suspectAfter time.Duration

	mu    sync.RWMutex
	table map[string]*member
	// names are the other hosts of the table in order; fresh are those whose change still has to be sent.
	names    []string
	fresh    map[string]struct{}
	hosts    map[string]struct{}
	rotation int
	refuted  uint64
	rivals   uint64
}

// NewMembers returns a table that knows only this host. A suspect host is dead after suspectAfter.
func NewMembers(self string, incarnation uint64, suspectAfter time.Duration, clock clockwork.Clock) *Members {
	m := &Members{
		self: self, clock: clock, suspectAfter: suspectAfter, table: map[string]*member{}, fresh: map[string]struct{}{},
	}
	now := clock.Now()
	m.table[self] = &member{incarnation: incarnation, generation: uint64(now.UnixMilli()), since: now}
	return m
}

// Live reports whether the host is believed live and not leaving, and reachable from here. A host in a planned stop
// that knows no other live host counts itself as live.
func (m *Members) Live(host string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if host == m.self {
		return !m.table[host].leaving || !m.anyPeer()
	}
	e := m.table[host]
	return e != nil && m.live(e)
}

// Reachable reports whether the host is believed live and reachable from here. Unlike Live it holds for a host that is
// leaving, which still finishes what it has.
func (m *Members) Reachable(host string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.clock.Now()
	e := m.table[host]
	return e != nil && !m.dead(e, now) && !now.Before(e.failedUntil)
}

func (m *Members) live(e *member) bool {
	now := m.clock.Now()
	return !e.leaving && !m.dead(e, now) && !now.Before(e.failedUntil)
}

func (m *Members) dead(e *member, now time.Time) bool {
	switch e.status {
	case gossippb.MemberStatus_MEMBER_STATUS_ALIVE:
		return false
	case gossippb.MemberStatus_MEMBER_STATUS_SUSPECT:
		return now.Sub(e.since) >= m.suspectAfter
	default:
		return true
	}
}

func (m *Members) anyPeer() bool {
	for host, e := range m.table {
		if host != m.self && m.live(e) {
			return true
		}
	}
	return false
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

// Leave marks this host as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[m.self]
	e.leaving = true
	m.raise(e, e.generation+1)
}

// raise gives this host's own entry a new generation, so that it replaces every earlier claim.
func (m *Members) raise(e *member, generation uint64) {
	e.generation = generation
	e.since = m.clock.Now()
}

// touch notes that another host's entry changed.
func (m *Members) touch(host string, e *member) {
	e.since = m.clock.Now()
	e.sends = 0
	m.fresh[host] = struct{}{}
}

// SetHosts limits the table to the listed hosts and this one.
func (m *Members) SetHosts(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = make(map[string]struct{}, len(names))
	for _, name := range names {
		m.hosts[name] = struct{}{}
	}
	for host := range m.table {
		if !m.listed(host) {
			delete(m.table, host)
			delete(m.fresh, host)
		}
	}
	m.names = slices.DeleteFunc(m.names, func(host string) bool { return m.table[host] == nil })
}

func (m *Members) listed(host string) bool {
	if m.hosts == nil || host == m.self {
		return true
	}
	_, ok := m.hosts[host]
	return ok
}

// Merge takes over everything in the digest that is newer than this host's view, and passes it on.
func (m *Members) Merge(digest []*gossippb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(digest)
}

// MergeTable is Merge for a peer's whole table: what this host did not know at all is not news and is not passed on.
func (m *Members) MergeTable(table []*gossippb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := maps.Clone(m.table)
	m.merge(table)
	for host := range m.fresh {
		if known[host] == nil {
			delete(m.fresh, host)
		}
	}
}

func (m *Members) merge(digest []*gossippb.Member) {
	for _, d := range digest {
		switch {
		case d.Host == "" || !m.listed(d.Host):
		case d.Host == m.self:
			m.answer(d)
		default:
			m.mergeOne(d)
		}
	}
}

// answer refutes a claim that this process is not alive or that another process has its name.
func (m *Members) answer(d *gossippb.Member) {
	e := m.table[m.self]
	rival := d.Incarnation != e.incarnation
	doubt := d.Status != gossippb.MemberStatus_MEMBER_STATUS_ALIVE
	if d.Generation < e.generation || !rival && !doubt && d.Leaving == e.leaving {
		return
	}
	m.refuted++
	if rival {
		m.rivals++
	}
	m.raise(e, d.Generation+1)
}

func (m *Members) mergeOne(d *gossippb.Member) {
	e := m.table[d.Host]
	if e == nil {
		e = &member{}
		m.table[d.Host] = e
		place, _ := slices.BinarySearch(m.names, d.Host)
		m.names = slices.Insert(m.names, place, d.Host)
	} else if !newer(d, e) {
		return
	}
	if d.Incarnation != e.incarnation {
		e.failures, e.failedUntil = 0, time.Time{}
	}
	e.incarnation, e.generation, e.status, e.leaving = d.Incarnation, d.Generation, d.Status, d.Leaving
	m.touch(d.Host, e)
}

// newer reports whether the claim replaces the entry: the higher generation, then the worse status, then the greater
// incarnation, so that every host settles on the same entry whatever the order of arrival.
func newer(d *gossippb.Member, e *member) bool {
	order := cmp.Or(
		cmp.Compare(d.Generation, e.generation), cmp.Compare(d.Status, e.status), cmp.Compare(d.Incarnation, e.incarnation),
	)
	return order > 0
}

// RecordSuccess notes that this host reached the other one directly.
func (m *Members) RecordSuccess(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.table[host]; e != nil {
		e.failures, e.failedUntil = 0, time.Time{}
	}
}

// Suspect notes that this host failed to reach the other one directly, so that it counts as not live here for a while.
// The rest of the fleet is not told.
func (m *Members) Suspect(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[host]
	if e == nil || host == m.self {
		return
	}
	hint := min(m.suspectAfter<<min(e.failures, 8), maxDirectHint)
	e.failures++
	e.failedUntil = m.clock.Now().Add(hint)
}

// MarkSuspect marks the host as suspect for the whole fleet: no peer that was asked reached it either.
func (m *Members) MarkSuspect(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[host]
	if e == nil || host == m.self || e.status != gossippb.MemberStatus_MEMBER_STATUS_ALIVE {
		return
	}
	e.status = gossippb.MemberStatus_MEMBER_STATUS_SUSPECT
	m.touch(host, e)
}

// ExpireSuspects turns suspects that did not refute in time into dead hosts.
func (m *Members) ExpireSuspects() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for host, e := range m.table {
		if e.status == gossippb.MemberStatus_MEMBER_STATUS_SUSPECT && m.dead(e, now) {
			e.status = gossippb.MemberStatus_MEMBER_STATUS_DEAD
			m.touch(host, e)
		}
	}
}

// Digest returns the members for one message to a host: this host, the receiver, the entries that changed lately, and a
// rotating part of the rest. Its size is bounded whatever the fleet's size.
func (m *Members) Digest(to string) []*gossippb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := []*gossippb.Member{wire(m.self, m.table[m.self])}
	if e := m.table[to]; e != nil && to != m.self {
		digest = append(digest, wire(to, e))
	}
	limit := sendsPerDoubling * bits.Len(uint(len(m.table)))
	for _, host := range m.leastSent(to) {
		e := m.table[host]
		e.sends++
		if e.sends >= limit {
			delete(m.fresh, host)
		}
		digest = append(digest, wire(host, e))
	}
	for _, host := range m.turn(to) {
		digest = append(digest, wire(host, m.table[host]))
	}
	return digest
}

// leastSent returns the hosts whose change has been sent least, but for the receiver.
func (m *Members) leastSent(to string) []string {
	type change struct {
		host  string
		sends int
	}
	changes := make([]change, 0, len(m.fresh))
	for host := range m.fresh {
		if host != to {
			changes = append(changes, change{host: host, sends: m.table[host].sends})
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.host, b.host))
	})
	hosts := make([]string, 0, freshPerDigest)
	for _, c := range changes[:min(freshPerDigest, len(changes))] {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// turn returns the next hosts of the rest, but for the receiver.
func (m *Members) turn(to string) []string {
	var hosts []string
	for range min(rotatingPerDigest, len(m.names)) {
		m.rotation = (m.rotation + 1) % len(m.names)
		host := m.names[m.rotation]
		if _, fresh := m.fresh[host]; !fresh && host != to {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// FullTable returns the whole table, for a host that starts or wakes.
func (m *Members) FullTable() []*gossippb.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*gossippb.Member, 0, len(m.table))
	for host, e := range m.table {
		all = append(all, wire(host, e))
	}
	return all
}

func wire(host string, e *member) *gossippb.Member {
	return &gossippb.Member{
		Host: host, Incarnation: e.incarnation, Generation: e.generation, Leaving: e.leaving, Status: e.status,
	}
}

// MemberState is one host in the state dump.
type MemberState struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	// Status is alive, suspect or dead, as the fleet has it.
	Status  string `json:"status"`
	Live    bool   `json:"live"`
	Leaving bool   `json:"leaving"`
	// Unreachable says that this host failed to reach the other one directly.
	Unreachable bool `json:"unreachable,omitempty"`
	// UnchangedMS is the time since the entry last changed, in milliseconds.
	UnchangedMS int64 `json:"unchanged_ms"`
}

// State returns the table, sorted by name.
func (m *Members) State() []MemberState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.clock.Now()
	states := make([]MemberState, 0, len(m.table))
	for host, e := range m.table {
		states = append(states, MemberState{
			Host: host, Incarnation: e.incarnation, Generation: e.generation, Status: m.statusText(e, now),
			Live: host == m.self && !e.leaving || host != m.self && m.live(e), Leaving: e.leaving,
			Unreachable: now.Before(e.failedUntil), UnchangedMS: now.Sub(e.since).Milliseconds(),
		})
	}
	slices.SortFunc(states, func(a, b MemberState) int { return cmp.Compare(a.Host, b.Host) })
	return states
}

func (m *Members) statusText(e *member, now time.Time) string {
	switch {
	case m.dead(e, now):
		return "dead"
	case e.status == gossippb.MemberStatus_MEMBER_STATUS_SUSPECT:
		return "suspect"
	default:
		return "alive"
	}
}
