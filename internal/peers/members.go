// Package peers maintains this host's view of the other hosts by gossip: which hosts are live or leaving, and which
// document is in force. The view affects only how well requests are served; no guarantee depends on it.
//
// The failure detector probes hosts in turn. A host that neither the prober nor the peers asked for an indirect probe
// can reach becomes suspect, and dead if it does not refute that in time. Digests are bounded in size and carry mainly
// changes, so that traffic does not grow with the fleet.
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

// Bounds on the number of members in one digest.
const (
	// changesPerDigest bounds the members whose entry changed recently.
	changesPerDigest = 12
	// rotatingPerDigest further members are included in rotation, so that a host that missed a change receives it
	// later.
	rotatingPerDigest = 4
	// sendsPerLog2 times the binary logarithm of the fleet's size is how often a change is sent.
	sendsPerLog2 = 3
)

// maxUnreachableTime bounds how long a failed direct call makes a host count as not live on this host.
const maxUnreachableTime = 30 * time.Second

// member is the table entry of one host.
type member struct {
	incarnation uint64
	generation  uint64
	status      gossippb.MemberStatus
	leaving     bool
	// changedAt is when the entry last changed, by this host's clock.
	changedAt time.Time
	// sends counts the digests that have carried the entry since it changed.
	sends int
	// failures counts consecutive direct failures. The host is unreachable from here until unreachableUntil.
	failures         int
	unreachableUntil time.Time
}

// Members is the membership table. It is safe for concurrent use.
type Members struct {
	self         string
	clock        clockwork.Clock
	suspectAfter time.Duration

	mu    sync.RWMutex
	table map[string]*member
	// names lists the other hosts of the table in sorted order. unsent holds those whose change still has to be sent.
	names         []string
	unsent        map[string]struct{}
	hosts         map[string]struct{}
	rotation      int
	refutations   uint64
	nameConflicts uint64
}

// NewMembers returns a table that contains only this host. A suspect host counts as dead after suspectAfter.
func NewMembers(self string, incarnation uint64, suspectAfter time.Duration, clock clockwork.Clock) *Members {
	m := &Members{
		self: self, clock: clock, suspectAfter: suspectAfter, table: map[string]*member{}, unsent: map[string]struct{}{},
	}
	now := clock.Now()
	m.table[self] = &member{incarnation: incarnation, generation: uint64(now.UnixMilli()), changedAt: now}
	return m
}

// Live reports whether the host is considered live, is not leaving and is reachable from here. A host that is leaving
// counts itself as live while no other host is live.
func (m *Members) Live(host string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if host == m.self {
		return !m.table[host].leaving || !m.hasLivePeer()
	}
	e := m.table[host]
	return e != nil && m.live(e)
}

// Reachable reports whether the host is considered live and is reachable from here. Unlike Live it is true for a
// leaving host, which still completes its requests.
func (m *Members) Reachable(host string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.clock.Now()
	e := m.table[host]
	return e != nil && !m.dead(e, now) && !now.Before(e.unreachableUntil)
}

func (m *Members) live(e *member) bool {
	now := m.clock.Now()
	return !e.leaving && !m.dead(e, now) && !now.Before(e.unreachableUntil)
}

func (m *Members) dead(e *member, now time.Time) bool {
	switch e.status {
	case gossippb.MemberStatus_MEMBER_STATUS_ALIVE:
		return false
	case gossippb.MemberStatus_MEMBER_STATUS_SUSPECT:
		return now.Sub(e.changedAt) >= m.suspectAfter
	default:
		return true
	}
}

func (m *Members) hasLivePeer() bool {
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

// MarkLeaving marks this host as leaving.
func (m *Members) MarkLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[m.self]
	e.leaving = true
	m.raiseGeneration(e, e.generation+1)
}

// raiseGeneration gives this host's own entry a new generation, so that it supersedes all earlier entries.
func (m *Members) raiseGeneration(e *member, generation uint64) {
	e.generation = generation
	e.changedAt = m.clock.Now()
}

// markChanged records that another host's entry changed and has to be sent.
func (m *Members) markChanged(host string, e *member) {
	e.changedAt = m.clock.Now()
	e.sends = 0
	m.unsent[host] = struct{}{}
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
			delete(m.unsent, host)
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

// Merge merges the digest's newer entries into the table and marks them to be forwarded.
func (m *Members) Merge(digest []*gossippb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(digest)
}

// MergeTable merges a peer's full table. Entries of hosts that were missing here are not forwarded, since they are not
// changes.
func (m *Members) MergeTable(table []*gossippb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := maps.Clone(m.table)
	m.merge(table)
	for host := range m.unsent {
		if known[host] == nil {
			delete(m.unsent, host)
		}
	}
}

func (m *Members) merge(digest []*gossippb.Member) {
	for _, d := range digest {
		switch {
		case d.Host == "" || !m.listed(d.Host):
		case d.Host == m.self:
			m.refute(d)
		default:
			m.mergeOne(d)
		}
	}
}

// refute raises this host's generation if the entry says that this process is not alive, differs in the leaving flag,
// or belongs to another process with the same host name.
func (m *Members) refute(d *gossippb.Member) {
	e := m.table[m.self]
	otherProcess := d.Incarnation != e.incarnation
	suspected := d.Status != gossippb.MemberStatus_MEMBER_STATUS_ALIVE
	if d.Generation < e.generation || !otherProcess && !suspected && d.Leaving == e.leaving {
		return
	}
	m.refutations++
	if otherProcess {
		m.nameConflicts++
	}
	m.raiseGeneration(e, d.Generation+1)
}

func (m *Members) mergeOne(d *gossippb.Member) {
	e := m.table[d.Host]
	if e == nil {
		e = &member{}
		m.table[d.Host] = e
		index, _ := slices.BinarySearch(m.names, d.Host)
		m.names = slices.Insert(m.names, index, d.Host)
	} else if !supersedes(d, e) {
		return
	}
	if d.Incarnation != e.incarnation {
		e.failures, e.unreachableUntil = 0, time.Time{}
	}
	e.incarnation, e.generation, e.status, e.leaving = d.Incarnation, d.Generation, d.Status, d.Leaving
	m.markChanged(d.Host, e)
}

// supersedes reports whether the received entry replaces the stored one. The higher generation wins, then the worse
// status, then the greater incarnation, so that all hosts converge to the same entry in any order of arrival.
func supersedes(d *gossippb.Member, e *member) bool {
	order := cmp.Or(
		cmp.Compare(d.Generation, e.generation), cmp.Compare(d.Status, e.status), cmp.Compare(d.Incarnation, e.incarnation),
	)
	return order > 0
}

// RecordSuccess records that this host reached the other one directly.
func (m *Members) RecordSuccess(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.table[host]; e != nil {
		e.failures, e.unreachableUntil = 0, time.Time{}
	}
}

// RecordFailure records that this host failed to reach the other one directly, so that it counts as not live here for a
// while. The failure is not sent to other hosts.
func (m *Members) RecordFailure(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[host]
	if e == nil || host == m.self {
		return
	}
	unreachableFor := min(m.suspectAfter<<min(e.failures, 8), maxUnreachableTime)
	e.failures++
	e.unreachableUntil = m.clock.Now().Add(unreachableFor)
}

// MarkSuspect marks the host as suspect for the whole fleet, after no peer that was asked reached it either.
func (m *Members) MarkSuspect(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[host]
	if e == nil || host == m.self || e.status != gossippb.MemberStatus_MEMBER_STATUS_ALIVE {
		return
	}
	e.status = gossippb.MemberStatus_MEMBER_STATUS_SUSPECT
	m.markChanged(host, e)
}

// ExpireSuspects marks suspects that did not refute in time as dead.
func (m *Members) ExpireSuspects() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for host, e := range m.table {
		if e.status == gossippb.MemberStatus_MEMBER_STATUS_SUSPECT && m.dead(e, now) {
			e.status = gossippb.MemberStatus_MEMBER_STATUS_DEAD
			m.markChanged(host, e)
		}
	}
}

// Digest returns the members for one message to a host: this host, the receiver, recently changed entries, and some of
// the rest in rotation. Its size is bounded whatever the fleet's size.
func (m *Members) Digest(to string) []*gossippb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := []*gossippb.Member{toProto(m.self, m.table[m.self])}
	if e := m.table[to]; e != nil && to != m.self {
		digest = append(digest, toProto(to, e))
	}
	limit := sendsPerLog2 * bits.Len(uint(len(m.table)))
	for _, host := range m.leastSent(to) {
		e := m.table[host]
		e.sends++
		if e.sends >= limit {
			delete(m.unsent, host)
		}
		digest = append(digest, toProto(host, e))
	}
	for _, host := range m.nextInRotation(to) {
		digest = append(digest, toProto(host, m.table[host]))
	}
	return digest
}

// leastSent returns the hosts whose change has been sent least often, except the receiver.
func (m *Members) leastSent(to string) []string {
	type change struct {
		host  string
		sends int
	}
	changes := make([]change, 0, len(m.unsent))
	for host := range m.unsent {
		if host != to {
			changes = append(changes, change{host: host, sends: m.table[host].sends})
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.host, b.host))
	})
	hosts := make([]string, 0, changesPerDigest)
	for _, c := range changes[:min(changesPerDigest, len(changes))] {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// nextInRotation returns the next hosts without an unsent change, except the receiver.
func (m *Members) nextInRotation(to string) []string {
	var hosts []string
	for range min(rotatingPerDigest, len(m.names)) {
		m.rotation = (m.rotation + 1) % len(m.names)
		host := m.names[m.rotation]
		if _, unsent := m.unsent[host]; !unsent && host != to {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// FullTable returns the whole table, for a host that resyncs after a start or a pause.
func (m *Members) FullTable() []*gossippb.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*gossippb.Member, 0, len(m.table))
	for host, e := range m.table {
		all = append(all, toProto(host, e))
	}
	return all
}

func toProto(host string, e *member) *gossippb.Member {
	return &gossippb.Member{
		Host: host, Incarnation: e.incarnation, Generation: e.generation, Leaving: e.leaving, Status: e.status,
	}
}

// MemberState describes one host in the state dump.
type MemberState struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	// Status is alive, suspect or dead, as agreed by gossip.
	Status  string `json:"status"`
	Live    bool   `json:"live"`
	Leaving bool   `json:"leaving"`
	// Unreachable is set when this host failed to reach the other one directly.
	Unreachable bool `json:"unreachable,omitempty"`
	// UnchangedMS is the time since the entry last changed, in milliseconds.
	UnchangedMS int64 `json:"unchanged_ms"`
}

// State returns the table, sorted by host name.
func (m *Members) State() []MemberState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.clock.Now()
	states := make([]MemberState, 0, len(m.table))
	for host, e := range m.table {
		states = append(states, MemberState{
			Host: host, Incarnation: e.incarnation, Generation: e.generation, Status: m.statusText(e, now),
			Live: host == m.self && !e.leaving || host != m.self && m.live(e), Leaving: e.leaving,
			Unreachable: now.Before(e.unreachableUntil), UnchangedMS: now.Sub(e.changedAt).Milliseconds(),
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
