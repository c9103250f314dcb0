package quota

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

// maxPending is the maximum number of unconfirmed teams that a status reply lists. With more, the host does not report
// itself as settled.
const maxPending = 1000

// bootstrapWait is how long a starting process waits for unresponsive hosts under the first document.
const bootstrapWait = 2 * time.Second

// handover determines which share of each team this host may spend while new documents move shares between hosts.
//
// A host whose share shrinks applies a document immediately. A host whose share grows keeps the smaller share until
// every other host has acknowledged the change: it has replied, after the change, that it spends under the same split
// and that no token lent under an earlier split is outstanding. A process that has just started holds no share, because
// an earlier split may still be in use on some host. It waits until every host has acknowledged, or until one settled
// host of the same split has replied. Retired hosts are not waited for.
//
// A status reply to one incarnation of a host does not bind the sender towards the next incarnation. Each reply
// therefore lists the incarnations to which the peer has replied. If it lists another incarnation of a host than the
// one that acknowledged, that host is queried again, since the new incarnation may rely on a reply that the peer gave
// before it changed its split.
//
// The first document of a fleet has no earlier split. Under it, a starting process does not wait for hosts that do not
// reply within bootstrapWait, as long as no host reports a different split, so that a fleet can start with a host
// missing.
type handover struct {
	self        string
	incarnation uint64

	split   uint64
	changed time.Time
	// firstDocument is true while the document in force is the fleet's first. conflicting holds the hosts that reported a
	// different split.
	firstDocument bool
	conflicting   map[string]bool
	// starting is true until this process may spend shares for the first time.
	starting bool
	// allUnconfirmed is true while the set of hosts of the current split is not confirmed. unconfirmed holds the teams
	// whose number of hosts is not confirmed. A starting peer must not rely on this host for either: the host may hold
	// its own share, but others may hold more than theirs.
	allUnconfirmed bool
	unconfirmed    map[string]struct{}
	// gains counts how often the host's shares have grown.
	gains uint64
	// reduced holds the fractions that the host may spend of teams for which the document gives it a larger fraction.
	reduced map[string]float64
	// awaited holds the hosts whose acknowledgement is required, with their addresses. A host that the document
	// no longer lists stays included until a document marks it as retired.
	awaited map[string]document.EntryHost
	// acks holds the incarnation of each host that has acknowledged the current split.
	acks map[string]uint64
	// lastQuery is the number of the latest status request. Replies to requests up to number staleQuery, which were sent
	// under an earlier split, are ignored, as are those that match an exclusion.
	lastQuery  uint64
	staleQuery uint64
	exclusion  map[string]exclusion
	// repliedTo holds the last incarnation of each host to which this host has replied.
	repliedTo map[string]uint64
	// listed holds the incarnation that each peer's replies have listed for each host.
	listed map[peerHostPair]uint64
	// deletedTeams holds the number of hosts over which each deleted team was split.
	deletedTeams map[string]int
}

// exclusion excludes replies to requests up to a number, unless they come from one incarnation.
type exclusion struct {
	upTo              uint64
	exceptIncarnation uint64
}

type peerHostPair struct{ peer, host string }

func newHandover(self string, incarnation uint64) *handover {
	return &handover{
		self: self, incarnation: incarnation, starting: true, allUnconfirmed: true,
		unconfirmed: map[string]struct{}{}, reduced: map[string]float64{}, awaited: map[string]document.EntryHost{}, acks: map[string]uint64{},
		exclusion: map[string]exclusion{}, conflicting: map[string]bool{}, repliedTo: map[string]uint64{}, listed: map[peerHostPair]uint64{}, deletedTeams: map[string]int{},
	}
}

// view is a document with the data that the quota derives from it.
type view struct {
	snap   *document.Snapshot
	active []document.EntryHost
	split  uint64
}

func newView(snap *document.Snapshot) *view {
	active := activeHosts(snap)
	return &view{snap: snap, active: active, split: splitHash(snap, active)}
}

// apply changes from the old document, which is nil at the start, to the next one.
func (h *handover) apply(old, next *view, now time.Time) {
	h.updateAwaited(next)
	h.firstDocument = next.snap.Parent.Version == 0
	if old != nil {
		h.settleIfAcknowledged()
	}
	if old != nil && old.split == next.split {
		return
	}
	h.split, h.changed, h.staleQuery = next.split, now, h.lastQuery
	clear(h.acks)
	clear(h.conflicting)
	if old != nil {
		h.allUnconfirmed = h.allUnconfirmed || !sameHosts(old, next)
		h.recordMoves(old, next)
	}
	h.settleIfAcknowledged()
}

// updateAwaited updates the hosts whose acknowledgement is required before a share may grow.
func (h *handover) updateAwaited(next *view) {
	for name := range h.awaited {
		if host, ok := next.snap.Host(name); ok && host.Retired {
			delete(h.awaited, name)
			delete(h.acks, name)
		}
	}
	for _, host := range next.active {
		if host.Name != h.self {
			h.awaited[host.Name] = host
		}
	}
}

// recordMoves records the teams whose shares move and those whose fraction grows on this host.
func (h *handover) recordMoves(old, next *view) {
	reduced := map[string]float64{}
	for i := range next.snap.Teams {
		team := &next.snap.Teams[i]
		if h.hostCountChanged(old, next, team) {
			h.unconfirmed[team.Name] = struct{}{}
		}
		target := fraction(h.self, team, next.active)
		if previous := h.previousFraction(old, next, team, target); previous < target {
			reduced[team.Name] = previous
		}
	}
	for i := range old.snap.Teams {
		team := &old.snap.Teams[i]
		if next.snap.Team(team.Name) == nil {
			h.deletedTeams[team.Name] = hostCount(team, len(old.active))
		}
	}
	h.reduced = reduced
}

// hostCountChanged reports whether the team's number of hosts differs from its previous one.
func (h *handover) hostCountChanged(old, next *view, team *document.Team) bool {
	count := hostCount(team, len(next.active))
	if former := old.snap.Team(team.Name); former != nil {
		return hostCount(former, len(old.active)) != count
	}
	lastCount, existed := h.deletedTeams[team.Name]
	return existed && lastCount != count
}

// previousFraction returns the fraction that the host may spend until the change is acknowledged. A team that did not
// exist under the old split has no share that another host could still spend, unless it previously existed with another
// number of hosts.
func (h *handover) previousFraction(old, next *view, team *document.Team, target float64) float64 {
	if previous, ok := h.reduced[team.Name]; ok {
		return previous
	}
	if former := old.snap.Team(team.Name); former != nil {
		return fraction(h.self, former, old.active)
	}
	if h.hostCountChanged(old, next, team) {
		return 0
	}
	// If the hosts did not change, no host can hold more of a new team than its share.
	if sameHosts(old, next) {
		return target
	}
	return min(target, fraction(h.self, team, old.active))
}

func sameHosts(a, b *view) bool {
	if len(a.active) != len(b.active) {
		return false
	}
	names := map[string]bool{}
	for _, s := range a.active {
		names[s.Name] = true
	}
	for _, s := range b.active {
		if !names[s.Name] {
			return false
		}
	}
	return true
}

// fraction returns the fraction of the team's rate and burst that this host may spend now.
func (h *handover) fraction(v *view, team *document.Team) float64 {
	if h.starting {
		return 0
	}
	target := fraction(h.self, team, v.active)
	if previous, ok := h.reduced[team.Name]; ok {
		return min(previous, target)
	}
	return target
}

// settled reports whether every host has acknowledged the current split.
func (h *handover) settled() bool { return !h.starting && !h.allUnconfirmed && len(h.unconfirmed) == 0 }

// settleIfAcknowledged ends the wait once every awaited host has acknowledged.
func (h *handover) settleIfAcknowledged() {
	for name := range h.awaited {
		if _, ok := h.acks[name]; !ok {
			return
		}
	}
	if h.starting || len(h.reduced) > 0 {
		h.gains++
	}
	h.starting, h.allUnconfirmed = false, false
	clear(h.unconfirmed)
	clear(h.reduced)
}

// bootstrap ends the wait for unresponsive hosts under the first document.
func (h *handover) bootstrap(now time.Time) {
	if !h.starting || !h.firstDocument || len(h.conflicting) > 0 || now.Sub(h.changed) < bootstrapWait {
		return
	}
	h.starting, h.allUnconfirmed = false, false
	h.gains++
}

// unacknowledged returns the awaited hosts that have not acknowledged the current split.
func (h *handover) unacknowledged() []document.EntryHost {
	if h.settled() {
		return nil
	}
	var hosts []document.EntryHost
	for name, host := range h.awaited {
		if _, ok := h.acks[name]; !ok {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// nextQuery returns the number of a new status request.
func (h *handover) nextQuery() uint64 {
	h.lastQuery++
	return h.lastQuery
}

// invalidateAck deletes an acknowledgement of another incarnation of the host and excludes those still in flight.
func (h *handover) invalidateAck(host string, incarnation uint64) {
	if h.acks[host] == incarnation {
		return
	}
	delete(h.acks, host)
	e := exclusion{upTo: h.lastQuery, exceptIncarnation: incarnation}
	if earlier, ok := h.exclusion[host]; ok && earlier.exceptIncarnation != incarnation {
		// Two incarnations were listed, and it is unknown which of them is the later one.
		e.exceptIncarnation = 0
	}
	h.exclusion[host] = e
}

// statusReply returns this host's status reply to a peer.
func (h *handover) statusReply(peer string, incarnation uint64, now time.Time) *quotapb.StatusReply {
	h.repliedTo[peer] = incarnation
	reply := &quotapb.StatusReply{
		Incarnation: h.incarnation, Split: h.split, Drained: now.Sub(h.changed) > 2*GrantValidity,
		Settled: !h.starting && !h.allUnconfirmed && len(h.unconfirmed) <= maxPending,
	}
	if reply.Settled {
		for team := range h.unconfirmed {
			reply.Pending = append(reply.Pending, team)
		}
	}
	for host, i := range h.repliedTo {
		reply.Answered = append(reply.Answered, &quotapb.Answered{Host: host, Incarnation: i})
	}
	return reply
}

// handleReply processes a peer's reply to the status request with this number.
func (h *handover) handleReply(peer string, number uint64, reply *quotapb.StatusReply) {
	for _, a := range reply.Answered {
		pair := peerHostPair{peer: peer, host: a.Host}
		if a.Host != h.self && h.listed[pair] != a.Incarnation {
			h.listed[pair] = a.Incarnation
			h.invalidateAck(a.Host, a.Incarnation)
		}
	}
	if reply.Split == h.split {
		delete(h.conflicting, peer)
	} else if reply.DocumentVersion > 0 {
		h.conflicting[peer] = true
	}
	excluded := number <= h.exclusion[peer].upTo && reply.Incarnation != h.exclusion[peer].exceptIncarnation
	if number <= h.staleQuery || excluded || reply.Split != h.split || !reply.Drained {
		return
	}
	h.acks[peer] = reply.Incarnation
	if h.starting && reply.Settled {
		h.startFromPeer(reply.Pending)
	}
	h.settleIfAcknowledged()
}

// startFromPeer takes up every share, relying on a settled peer, except those of the teams that are pending at the
// peer.
func (h *handover) startFromPeer(pending []string) {
	h.starting, h.allUnconfirmed = false, false
	h.gains++
	clear(h.unconfirmed)
	for _, team := range pending {
		h.reduced[team] = 0
		h.unconfirmed[team] = struct{}{}
	}
}
