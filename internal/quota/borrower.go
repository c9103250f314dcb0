package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/rpc/quotapb"
)

const (
	// maxWait is the longest time that a request waits for a token.
	maxWait = 250 * time.Millisecond
	// callGap is the time between two loans of one team, which bounds the messages: meanwhile requests gather, and one
	// call asks for all of them.
	callGap = 50 * time.Millisecond
	// partialGap is the gap after a loan that did not serve every waiting request.
	partialGap = 15 * time.Millisecond
	// maxCallGap is the gap after several loans that brought nothing, as when the team is above its rate everywhere.
	maxCallGap = 400 * time.Millisecond
	// failurePause is how long a lender that did not answer is left alone.
	failurePause = time.Second
	// unknownRetry is told when no seat is known that could hold a token.
	unknownRetry = 5 * time.Second
)

// Lender asks another seat for tokens.
type Lender interface {
	Borrow(ctx context.Context, seat document.SeatHost, team string, want uint32) (*quotapb.BorrowReply, error)
}

// Liveness says which hosts are believed live; it only steers which seat is asked.
type Liveness interface {
	Live(host string) bool
}

// Borrower admits requests from the own bucket and, when that is empty, on tokens of other seats. It is safe for
// concurrent use.
type Borrower struct {
	limiter *Limiter
	lender  Lender
	live    Liveness
	clock   clockwork.Clock

	calls, failed, spent, dropped tally.Counter

	mu     sync.Mutex
	queues map[string]*queue
}

// NewBorrower returns a borrower for the limiter.
func NewBorrower(limiter *Limiter, lender Lender, live Liveness, clock clockwork.Clock, scope tally.Scope) *Borrower {
	return &Borrower{
		limiter: limiter, lender: lender, live: live, clock: clock, queues: map[string]*queue{},
		calls: scope.Counter("quota_borrow_calls"), failed: scope.Counter("quota_borrow_failed"),
		spent: scope.Counter("quota_borrowed_spent"), dropped: scope.Counter("quota_borrowed_dropped"),
	}
}

// queue holds the requests of one team that wait for a token, and what is known of its lenders.
type queue struct {
	waiting []*waiter
	running bool
	called  time.Time
	// gap is the time from called to the next call.
	gap     time.Duration
	lenders map[string]*estimate
}

// waiter is one waiting request. Its result is buffered, so that nobody waits for a caller that left.
type waiter struct {
	deadline time.Time
	result   chan Decision
}

// estimate is what a lender last said of its bucket.
type estimate struct {
	spare  float64
	rate   float64
	at     time.Time
	failed time.Time
}

// tokens returns the whole bucket that the lender can be expected to hold now.
func (e *estimate) tokens(now time.Time, burst float64) float64 {
	return min(burst, e.spare+e.rate*now.Sub(e.at).Seconds())
}

// Admit spends a token for the request. It waits at most maxWait for one.
func (b *Borrower) Admit(ctx context.Context, snap *document.Snapshot, team *document.Team) Decision {
	d := b.limiter.Admit(snap, team)
	if d.Admitted {
		return d
	}
	w, refusal := b.enqueue(team, d)
	if w == nil {
		return refusal
	}
	select {
	case d = <-w.result:
		return d
	case <-ctx.Done():
		// The token that may still come is dropped with the waiter.
		return Decision{RetryAfter: time.Second}
	}
}

// enqueue adds a waiter, unless more requests wait already than tokens can come in time.
func (b *Borrower) enqueue(team *document.Team, own Decision) (*waiter, Decision) {
	seats, current, part := b.limiter.lenders(team.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[team.Name]
	if q == nil {
		q = &queue{gap: callGap, lenders: map[string]*estimate{}}
		b.queues[team.Name] = q
	}
	now := b.clock.Now()
	wait := own.RetryAfter
	if current != nil {
		wait = min(wait, b.nextToken(q, seats, current, part, now))
	}
	most := int(math.Ceil(team.RatePerSecond*maxWait.Seconds())) + 1
	if wait > maxWait || len(q.waiting) >= most {
		return nil, refuse(team, wait, len(q.waiting))
	}
	w := &waiter{deadline: now.Add(maxWait), result: make(chan Decision, 1)}
	q.waiting = append(q.waiting, w)
	if !q.running {
		q.running = true
		go b.run(team.Name, q)
	}
	return w, Decision{}
}

// refuse returns a refusal that says when a token can be expected behind the requests that wait already.
func refuse(team *document.Team, wait time.Duration, ahead int) Decision {
	if wait == never {
		return Decision{RetryAfter: unknownRetry}
	}
	behind := time.Duration(float64(ahead) / team.RatePerSecond * float64(time.Second))
	return Decision{RetryAfter: wait + behind}
}

// nextToken returns the time until some lender can be expected to hold a whole token.
func (b *Borrower) nextToken(q *queue, seats []document.SeatHost, team *document.Team, part float64, now time.Time) time.Duration {
	next := never
	for _, s := range seats {
		next = min(next, b.lenderWait(q, s.Name, team, part, now))
	}
	return next
}

// lenderWait returns the time until the seat can be expected to hold a whole token.
func (b *Borrower) lenderWait(q *queue, seat string, team *document.Team, part float64, now time.Time) time.Duration {
	if !b.live.Live(seat) {
		return never
	}
	e := q.lenders[seat]
	if e == nil {
		return 0
	}
	if pause := e.failed.Add(failurePause).Sub(now); !e.failed.IsZero() && pause > 0 {
		return pause
	}
	missing := 1 - e.tokens(now, max(1, team.Burst*part))
	switch {
	case missing <= 0:
		return 0
	case e.rate <= 0:
		// The seat holds nothing for now; its part may come back with a handover.
		return max(0, e.at.Add(failurePause).Sub(now))
	default:
		return time.Duration(missing / e.rate * float64(time.Second))
	}
}

// run serves the queue until it is empty.
func (b *Borrower) run(team string, q *queue) {
	for {
		pause, done := b.step(team, q)
		if done {
			return
		}
		if pause > 0 {
			b.clock.Sleep(pause)
		}
	}
}

// step serves what can be served now and returns the wait until the next step.
func (b *Borrower) step(team string, q *queue) (time.Duration, bool) {
	own := b.serveOwn(team, q)
	seats, current, part := b.limiter.lenders(team)
	b.mu.Lock()
	now := b.clock.Now()
	next := own
	if current != nil {
		next = min(next, b.nextToken(q, seats, current, part, now))
	}
	b.expire(q, current, next, now)
	if len(q.waiting) == 0 {
		q.running = false
		b.mu.Unlock()
		return 0, true
	}
	seat, ok := b.choose(q, seats, current, part, now)
	gap := q.called.Add(q.gap).Sub(now)
	want := uint32(len(q.waiting))
	deadline := q.waiting[0].deadline
	if !ok || gap > 0 {
		b.mu.Unlock()
		return shortest(next, gap, own, deadline.Sub(now)), false
	}
	q.called = now
	b.mu.Unlock()
	b.borrow(team, q, seat, want)
	return 0, false
}

// shortest returns how long the queue sleeps: until the next call is allowed and a token can be expected, but no
// longer than until an own token or the first deadline.
func shortest(next, gap, own, deadline time.Duration) time.Duration {
	return max(time.Millisecond, min(max(next, gap), own, deadline))
}

// serveOwn spends the own bucket on waiting requests and returns the time until it holds a token again.
func (b *Borrower) serveOwn(team string, q *queue) time.Duration {
	for {
		b.mu.Lock()
		empty := len(q.waiting) == 0
		b.mu.Unlock()
		if empty {
			return never
		}
		d := b.limiter.admitNamed(team)
		if !d.Admitted {
			return d.RetryAfter
		}
		b.hand(q, 1, Decision{Admitted: true, At: d.At})
	}
}

// hand gives tokens to the waiting requests and returns how many were taken.
func (b *Borrower) hand(q *queue, tokens uint32, d Decision) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := min(tokens, uint32(len(q.waiting)))
	for _, w := range q.waiting[:taken] {
		w.result <- d
	}
	q.waiting = q.waiting[taken:]
	return taken
}

// expire refuses the requests that have waited for too long.
func (b *Borrower) expire(q *queue, team *document.Team, next time.Duration, now time.Time) {
	for len(q.waiting) > 0 && (team == nil || !now.Before(q.waiting[0].deadline)) {
		d := Decision{RetryAfter: unknownRetry}
		if team != nil {
			d = refuse(team, next, len(q.waiting)-1)
		}
		q.waiting[0].result <- d
		q.waiting = q.waiting[1:]
	}
}

// choose returns the seat that can be expected to hold the most tokens.
func (b *Borrower) choose(q *queue, seats []document.SeatHost, team *document.Team, part float64, now time.Time) (document.SeatHost, bool) {
	var best document.SeatHost
	most, found := 0.0, false
	for _, s := range seats {
		if b.lenderWait(q, s.Name, team, part, now) > 0 {
			continue
		}
		tokens := team.Burst * part
		if e := q.lenders[s.Name]; e != nil {
			tokens = e.tokens(now, tokens)
		}
		if !found || tokens > most {
			best, most, found = s, tokens, true
		}
	}
	return best, found
}

// borrow asks the seat for tokens and hands them on while they are valid.
func (b *Borrower) borrow(team string, q *queue, seat document.SeatHost, want uint32) {
	b.calls.Inc(1)
	grant := NewGrant(b.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), GrantValidity)
	defer cancel()
	reply, err := b.lender.Borrow(ctx, seat, team, want)
	now := b.clock.Now()
	b.mu.Lock()
	if err != nil {
		b.failed.Inc(1)
		q.lenders[seat.Name] = &estimate{at: now, failed: now}
		b.mu.Unlock()
		return
	}
	q.lenders[seat.Name] = &estimate{spare: reply.Spare, rate: reply.Rate, at: now}
	q.gap = nextGap(q.gap, want, reply.Granted)
	b.mu.Unlock()
	taken := uint32(0)
	if now = b.clock.Now(); grant.Redeem(now) {
		taken = b.hand(q, min(reply.Granted, want), Decision{Admitted: true, At: now, Borrowed: true})
	}
	b.spent.Inc(int64(taken))
	b.dropped.Inc(int64(reply.Granted - taken))
}

// nextGap returns the gap to the next call: a short one while requests are left that other lenders may serve, and a
// growing one while calls bring nothing.
func nextGap(gap time.Duration, want, granted uint32) time.Duration {
	switch {
	case granted == 0:
		return min(2*gap, maxCallGap)
	case granted < want:
		return partialGap
	default:
		return callGap
	}
}
