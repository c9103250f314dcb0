package quota

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

// maxPending is the largest number of unconfirmed teams that a status names; with more the host vouches for nothing.
const maxPending = 1000

// firstWait is how long a fresh process waits for silent seats under the first document.
const firstWait = 2 * time.Second

// handover decides which part of each team this host may spend while documents move parts between seats.
//
// A host that loses applies a document at once. A host that gains keeps its smaller part until every other seat has
// answered, after the change, that it spends under the same split and that no token lent under an earlier one is
// left. A process that has just started holds nothing, because an earlier split may still be in use somewhere, until
// every seat has answered so, or one seat of the same split that is settled vouches for it. Retired seats are not
// waited for.
//
// An answer given to one incarnation of a host does not bind the next one. Each answer therefore lists the
// incarnations that the peer has answered; acknowledgements of any other incarnation of these hosts are asked for
// again, since the new one may rely on what the peer said before it changed its split.
//
// The first document of a fleet has no earlier split. Under it a fresh process does not wait for seats that give no
// answer within firstWait, as long as none of the others contradicts; so a fleet can be started with a seat missing.
type handover struct {
	self        string
	incarnation uint64

	split   uint64
	changed time.Time
	// first is set while the document in force is the fleet's first; contradicted are seats that spend otherwise.
	first        bool
	contradicted map[string]bool
	// fresh is true until the first split of this process is settled.
	fresh bool
	// all is set while the seats of the current split are not confirmed, unconfirmed holds the teams whose number of
	// seats is not. Neither may be vouched for: the host may hold its own part, but others may hold more than theirs.
	all         bool
	unconfirmed map[string]struct{}
	// gains counts the moments at which the host took up parts.
	gains uint64
	// held are the fractions of teams whose fraction in the document is larger.
	held map[string]float64
	// known are the seats whose acknowledgement is awaited, with their addresses; former seats that were not retired
	// stay among them.
	known map[string]document.SeatHost
	// acks are the incarnations that have acknowledged the current split.
	acks map[string]uint64
	// asked numbers the status requests. Answers to requests up to floor, which were asked under an earlier split, do
	// not count, nor do those that doubt excludes.
	asked uint64
	floor uint64
	doubt map[string]doubt
	// answered is the last incarnation of each host that this host has answered.
	answered map[string]uint64
	// noted is what each peer's answers have listed of each host.
	noted map[notedPair]uint64
	// gone are the seat counts of deleted teams.
	gone map[string]int
}

// doubt excludes answers to requests up to a number, unless they come from one incarnation.
type doubt struct {
	upTo   uint64
	unless uint64
}

type notedPair struct{ peer, host string }

func newHandover(self string, incarnation uint64) *handover {
	return &handover{
		self: self, incarnation: incarnation, fresh: true, all: true,
		unconfirmed: map[string]struct{}{}, held: map[string]float64{}, known: map[string]document.SeatHost{}, acks: map[string]uint64{},
		doubt: map[string]doubt{}, contradicted: map[string]bool{}, answered: map[string]uint64{}, noted: map[notedPair]uint64{}, gone: map[string]int{},
	}
}

// view is a document with what the quota derives from it.
type view struct {
	snap   *document.Snapshot
	active []document.SeatHost
	split  uint64
}

func newView(snap *document.Snapshot) *view {
	active := activeSeats(snap)
	return &view{snap: snap, active: active, split: splitHash(snap, active)}
}

// apply moves from the old document, which is nil at the start, to the new one.
func (h *handover) apply(old, next *view, now time.Time) {
	h.await(next)
	h.first = next.snap.Parent.Version == 0
	if old != nil {
		h.settle()
	}
	if old != nil && old.split == next.split {
		return
	}
	h.split, h.changed, h.floor = next.split, now, h.asked
	clear(h.acks)
	clear(h.contradicted)
	if old != nil {
		h.all = h.all || !sameSeats(old, next)
		h.compare(old, next)
	}
	h.settle()
}

// await sets the seats whose acknowledgement a gain needs.
func (h *handover) await(next *view) {
	for name := range h.known {
		if seat, ok := next.snap.Host(name); ok && seat.Retired {
			delete(h.known, name)
			delete(h.acks, name)
		}
	}
	for _, seat := range next.active {
		if seat.Name != h.self {
			h.known[seat.Name] = seat
		}
	}
}

// compare records the teams whose parts move and those whose fraction grows here.
func (h *handover) compare(old, next *view) {
	held := map[string]float64{}
	for i := range next.snap.Teams {
		team := &next.snap.Teams[i]
		if h.moved(old, next, team) {
			h.unconfirmed[team.Name] = struct{}{}
		}
		to := fraction(h.self, team, next.active)
		if from := h.before(old, next, team, to); from < to {
			held[team.Name] = from
		}
	}
	for i := range old.snap.Teams {
		team := &old.snap.Teams[i]
		if next.snap.Team(team.Name) == nil {
			h.gone[team.Name] = seatCount(team, len(old.active))
		}
	}
	h.held = held
}

// moved reports whether the team's number of seats differs from what it last was.
func (h *handover) moved(old, next *view, team *document.Team) bool {
	count := seatCount(team, len(next.active))
	if was := old.snap.Team(team.Name); was != nil {
		return seatCount(was, len(old.active)) != count
	}
	last, existed := h.gone[team.Name]
	return existed && last != count
}

// before returns the fraction that the host may have spent under the old split. A team that did not exist has none
// that another host could still spend, unless it once sat on another number of seats.
func (h *handover) before(old, next *view, team *document.Team, to float64) float64 {
	if from, ok := h.held[team.Name]; ok {
		return from
	}
	if was := old.snap.Team(team.Name); was != nil {
		return fraction(h.self, was, old.active)
	}
	if h.moved(old, next, team) {
		return 0
	}
	// Without a change of seats nobody can hold more of a new team than its part.
	if sameSeats(old, next) {
		return to
	}
	return min(to, fraction(h.self, team, old.active))
}

func sameSeats(a, b *view) bool {
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

// fraction returns the part of the team that this host may spend now.
func (h *handover) fraction(v *view, team *document.Team) float64 {
	if h.fresh {
		return 0
	}
	to := fraction(h.self, team, v.active)
	if from, ok := h.held[team.Name]; ok {
		return min(from, to)
	}
	return to
}

// settled reports whether every seat has confirmed the current split.
func (h *handover) settled() bool { return !h.fresh && !h.all && len(h.unconfirmed) == 0 }

// settle ends the wait once every awaited seat has acknowledged.
func (h *handover) settle() {
	for name := range h.known {
		if _, ok := h.acks[name]; !ok {
			return
		}
	}
	if h.fresh || len(h.held) > 0 {
		h.gains++
	}
	h.fresh, h.all = false, false
	clear(h.unconfirmed)
	clear(h.held)
}

// bootstrap ends the wait for silent seats under the first document.
func (h *handover) bootstrap(now time.Time) {
	if !h.fresh || !h.first || len(h.contradicted) > 0 || now.Sub(h.changed) < firstWait {
		return
	}
	h.fresh, h.all = false, false
	h.gains++
}

// missing returns the seats whose acknowledgement is awaited.
func (h *handover) missing() []document.SeatHost {
	if h.settled() {
		return nil
	}
	var seats []document.SeatHost
	for name, seat := range h.known {
		if _, ok := h.acks[name]; !ok {
			seats = append(seats, seat)
		}
	}
	return seats
}

// ask returns the number of a new status request.
func (h *handover) ask() uint64 {
	h.asked++
	return h.asked
}

// forget drops an acknowledgement that another incarnation of the host gave, and those still under way.
func (h *handover) forget(host string, incarnation uint64) {
	if h.acks[host] == incarnation {
		return
	}
	delete(h.acks, host)
	d := doubt{upTo: h.asked, unless: incarnation}
	if earlier, ok := h.doubt[host]; ok && earlier.unless != incarnation {
		// Two incarnations were named, and nothing says which of them is the later one.
		d.unless = 0
	}
	h.doubt[host] = d
}

// answer returns this host's status for a peer.
func (h *handover) answer(peer string, incarnation uint64, now time.Time) *quotapb.StatusReply {
	h.answered[peer] = incarnation
	reply := &quotapb.StatusReply{
		Incarnation: h.incarnation, Split: h.split, Drained: now.Sub(h.changed) > 2*GrantValidity,
		Settled: !h.fresh && !h.all && len(h.unconfirmed) <= maxPending,
	}
	if reply.Settled {
		for team := range h.unconfirmed {
			reply.Pending = append(reply.Pending, team)
		}
	}
	for host, i := range h.answered {
		reply.Answered = append(reply.Answered, &quotapb.Answered{Host: host, Incarnation: i})
	}
	return reply
}

// learn takes over a peer's answer to the status request of this number.
func (h *handover) learn(peer string, number uint64, reply *quotapb.StatusReply) {
	for _, a := range reply.Answered {
		pair := notedPair{peer: peer, host: a.Host}
		if a.Host != h.self && h.noted[pair] != a.Incarnation {
			h.noted[pair] = a.Incarnation
			h.forget(a.Host, a.Incarnation)
		}
	}
	if reply.Split == h.split {
		delete(h.contradicted, peer)
	} else if reply.DocumentVersion > 0 {
		h.contradicted[peer] = true
	}
	doubted := number <= h.doubt[peer].upTo && reply.Incarnation != h.doubt[peer].unless
	if number <= h.floor || doubted || reply.Split != h.split || !reply.Drained {
		return
	}
	h.acks[peer] = reply.Incarnation
	if h.fresh && reply.Settled {
		h.vouched(reply.Pending)
	}
	h.settle()
}

// vouched takes up every part but those that the vouching peer does not hold itself.
func (h *handover) vouched(pending []string) {
	h.fresh, h.all = false, false
	h.gains++
	clear(h.unconfirmed)
	for _, team := range pending {
		h.held[team] = 0
		h.unconfirmed[team] = struct{}{}
	}
}
