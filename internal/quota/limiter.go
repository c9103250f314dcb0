package quota

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

// Decision is the result of one admission.
type Decision struct {
	Admitted bool
	// At is when the token of an admitted request was spent.
	At time.Time
	// Borrowed is set when the token came from another host.
	Borrowed bool
	// RetryAfter is the time until a token for this request is expected.
	RetryAfter time.Duration
}

// Limiter holds one token bucket for each team in use. It makes no remote calls and is safe for concurrent use.
type Limiter struct {
	host        string
	incarnation uint64
	clock       clockwork.Clock

	mu sync.Mutex
	// fillStart is when an unused bucket starts to fill: after the start of the process or the last growth of a share.
	fillStart time.Time
	// gains is the handover's gains count that the buckets reflect.
	gains    uint64
	view     *view
	handover *handover
	buckets  map[string]*bucket
}

// NewLimiter returns a limiter for the named host. Its buckets are empty and fill once the process holds its share and
// every token that an earlier process of the host may have lent has expired.
func NewLimiter(host string, incarnation uint64, clock clockwork.Clock) *Limiter {
	return &Limiter{
		host: host, incarnation: incarnation, clock: clock, fillStart: clock.Now().Add(2 * GrantValidity),
		handover: newHandover(host, incarnation), buckets: map[string]*bucket{},
	}
}

// Apply replaces the limiter's document unless the limiter already has a newer one.
func (l *Limiter) Apply(snap *document.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(snap, l.clock.Now())
}

// newer reports whether b replaces a. Of two documents with the same version the greater hash wins, as in the config
// store.
func newer(a, b *document.Snapshot) bool {
	return b.Version > a.Version || b.Version == a.Version && b.Hash > a.Hash
}

func (l *Limiter) apply(snap *document.Snapshot, now time.Time) {
	old := l.view
	if old != nil && (old.snap == snap || !newer(old.snap, snap)) {
		return
	}
	l.view = newView(snap)
	l.handover.apply(old, l.view, now)
	l.applyGains(now)
	if old != nil {
		l.resizeAll(old, now)
	}
}

// applyGains reports whether the host's shares have grown since the last call. If so, buckets that are not yet in use
// start empty now.
func (l *Limiter) applyGains(now time.Time) bool {
	if l.gains == l.handover.gains {
		return false
	}
	l.gains = l.handover.gains
	if now.After(l.fillStart) {
		l.fillStart = now
	}
	return true
}

// resizeAll resizes every bucket to its share under the new document. Buckets of deleted teams are removed, and those
// of new teams start empty.
func (l *Limiter) resizeAll(old *view, now time.Time) {
	for name, b := range l.buckets {
		b.refill(now)
		team := l.view.snap.Team(name)
		if team == nil {
			b.resize(0, 0)
			if b.outstanding() == 0 {
				delete(l.buckets, name)
			}
			continue
		}
		l.resize(b, team)
	}
	for i := range l.view.snap.Teams {
		team := &l.view.snap.Teams[i]
		if old.snap.Team(team.Name) == nil {
			l.bucket(team, now)
		}
	}
}

func (l *Limiter) resize(b *bucket, team *document.Team) {
	f := l.handover.fraction(l.view, team)
	b.resize(f*team.RatePerSecond, f*team.Burst)
}

// bucket returns the team's bucket, refilled to now.
func (l *Limiter) bucket(team *document.Team, now time.Time) *bucket {
	b := l.buckets[team.Name]
	if b == nil {
		b = &bucket{refilled: l.fillStart}
		l.resize(b, team)
		l.buckets[team.Name] = b
	}
	b.refill(now)
	return b
}

// Admit spends one token of this host's bucket of the team. It uses the limiter's document if that is newer than snap.
func (l *Limiter) Admit(snap *document.Snapshot, team *document.Team) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.view == nil || l.view.snap != snap {
		l.apply(snap, now)
		if team = l.view.snap.Team(team.Name); team == nil {
			return Decision{RetryAfter: never}
		}
	}
	b := l.bucket(team, now)
	if b.spend() {
		return Decision{Admitted: true, At: now}
	}
	return Decision{RetryAfter: b.wait(1)}
}

// admitNamed spends one token of the named team under the document in force.
func (l *Limiter) admitNamed(name string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return Decision{RetryAfter: never}
	}
	team := l.view.snap.Team(name)
	if team == nil {
		return Decision{RetryAfter: never}
	}
	now := l.clock.Now()
	b := l.bucket(team, now)
	return Decision{Admitted: b.spend(), At: now, RetryAfter: b.wait(1)}
}

// Lend takes up to want tokens of the team for a borrower.
func (l *Limiter) Lend(team string, want uint32) *quotapb.BorrowReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &quotapb.BorrowReply{Incarnation: l.incarnation}
	if l.view == nil {
		return reply
	}
	reply.DocumentVersion = l.view.snap.Version
	t := l.view.snap.Team(team)
	if t == nil {
		return reply
	}
	now := l.clock.Now()
	b := l.bucket(t, now)
	reply.Granted = b.lend(want, now)
	reply.Spare, reply.Rate = max(0, b.tokens), b.rate
	return reply
}

// Grant is a borrow request in flight. Its tokens may be spent once, until GrantValidity after the request was sent.
type Grant struct {
	sent time.Time
	used bool
}

// NewGrant returns the grant of a borrow request that is sent now.
func NewGrant(now time.Time) *Grant { return &Grant{sent: now} }

// Redeem reports whether the tokens of the reply may be spent now; those of a repeated reply may not. It checks both
// clocks, since the monotonic clock stops while a host is suspended and the wall clock may be set back.
func (g *Grant) Redeem(now time.Time) bool {
	if g.used {
		return false
	}
	g.used = true
	return now.Sub(g.sent) <= GrantValidity && now.Round(0).Sub(g.sent.Round(0)) <= GrantValidity
}

// lenders returns the other hosts that hold a share of the team, the team, and the size of one share as a fraction.
func (l *Limiter) lenders(name string) (hosts []document.EntryHost, team *document.Team, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return nil, nil, 0
	}
	team = l.view.snap.Team(name)
	if team == nil {
		return nil, nil, 0
	}
	all := teamHosts(team, l.view.active)
	for _, s := range all {
		if s.Name != l.host {
			hosts = append(hosts, s)
		}
	}
	return hosts, team, 1 / float64(max(1, len(all)))
}

// Status returns the reply to a peer that queries which split this host applies.
func (l *Limiter) Status(peer string, incarnation uint64) *quotapb.StatusReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := l.handover.statusReply(peer, incarnation, l.clock.Now())
	if l.view == nil {
		reply.Drained, reply.Settled = false, false
		return reply
	}
	reply.DocumentVersion = l.view.snap.Version
	return reply
}

// StatusQuery is a status request to one host.
type StatusQuery struct {
	Host   document.EntryHost
	number uint64
}

// PendingStatusQueries returns the status requests whose replies are required before the host holds its full shares.
func (l *Limiter) PendingStatusQueries() []StatusQuery {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return nil
	}
	now := l.clock.Now()
	l.handover.bootstrap(now)
	l.resizeGained(now)
	var queries []StatusQuery
	for _, host := range l.handover.unacknowledged() {
		queries = append(queries, StatusQuery{Host: host, number: l.handover.nextQuery()})
	}
	slices.SortFunc(queries, func(a, b StatusQuery) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return queries
}

// HandleStatusReply processes the reply to a status request.
func (l *Limiter) HandleStatusReply(q StatusQuery, reply *quotapb.StatusReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handover.handleReply(q.Host.Name, q.number, reply)
	l.resizeGained(l.clock.Now())
}

// resizeGained resizes every bucket to the current share of the host if its shares have grown.
func (l *Limiter) resizeGained(now time.Time) {
	if !l.applyGains(now) {
		return
	}
	for name, b := range l.buckets {
		b.refill(now)
		if team := l.view.snap.Team(name); team != nil {
			l.resize(b, team)
		}
	}
}

// maxStartWait is how long a starting process may count as not ready because it holds no share yet.
const maxStartWait = 3 * time.Second

// Starting reports whether the process still waits for its first shares. It returns false after maxStartWait, since an
// isolated host can serve open routes and, once it reaches others, use borrowed tokens.
func (l *Limiter) Starting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handover.starting && (l.view == nil || l.clock.Since(l.handover.changed) < maxStartWait)
}

// TeamState is one team's bucket in the state dump.
type TeamState struct {
	Team   string  `json:"team"`
	Rate   float64 `json:"rate_per_second"`
	Burst  float64 `json:"burst"`
	Tokens float64 `json:"tokens"`
	// Lent is the number of tokens that borrowers may still spend.
	Lent float64 `json:"lent"`
}

// State is the limiter's section of the state dump.
type State struct {
	// Starting is true until this process may spend any share.
	Starting bool `json:"fresh"`
	// ReducedTeams is the number of teams of which the host may spend less than the document gives it.
	ReducedTeams int `json:"held"`
	// AwaitedHosts lists the hosts whose acknowledgement is awaited.
	AwaitedHosts []string    `json:"missing,omitempty"`
	Teams        []TeamState `json:"teams"`
}

// State returns the state of the limiter and of every bucket for the state dump.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	state := State{Starting: l.handover.starting, ReducedTeams: len(l.handover.reduced), Teams: make([]TeamState, 0, len(l.buckets))}
	for _, host := range l.handover.unacknowledged() {
		state.AwaitedHosts = append(state.AwaitedHosts, host.Name)
	}
	for name, b := range l.buckets {
		b.refill(now)
		state.Teams = append(state.Teams, TeamState{
			Team: name, Rate: b.rate, Burst: b.burst, Tokens: b.tokens, Lent: b.outstanding(),
		})
	}
	slices.Sort(state.AwaitedHosts)
	slices.SortFunc(state.Teams, func(a, b TeamState) int { return strings.Compare(a.Team, b.Team) })
	return state
}
