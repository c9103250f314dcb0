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
	// maxTokenWait is the longest time that a request waits for a token.
	maxTokenWait = 250 * time.Millisecond
	// borrowInterval is the time between two borrow calls for one team, which bounds the number of messages. Requests
	// queue up meanwhile, and one call asks for tokens for all of them.
	borrowInterval = 50 * time.Millisecond
	// partialBorrowInterval is the interval after a call that did not serve every waiting request.
	partialBorrowInterval = 15 * time.Millisecond
	// maxBorrowInterval is the maximum interval after several calls without a token, as when the team exceeds its rate on
	// all hosts.
	maxBorrowInterval = 400 * time.Millisecond
	// lenderBackoff is how long a lender is not called after a failed call.
	lenderBackoff = time.Second
	// defaultRetryAfter is the retry time of a refusal when no host is known that could hold a token.
	defaultRetryAfter = 5 * time.Second
)

// LenderClient borrows tokens from another host.
type LenderClient interface {
	Borrow(ctx context.Context, host document.EntryHost, team string, want uint32) (*quotapb.BorrowReply, error)
}

// Liveness reports which hosts are considered live. It only affects which host is called.
type Liveness interface {
	Live(host string) bool
}

// Borrower admits requests with tokens of the host's own bucket or, if it is empty, with tokens borrowed from other
// hosts. It is safe for concurrent use.
type Borrower struct {
	limiter *Limiter
	lender  LenderClient
	live    Liveness
	clock   clockwork.Clock

	calls, failed, spent, dropped tally.Counter

	mu     sync.Mutex
	queues map[string]*queue
}

// NewBorrower returns a borrower for the limiter.
func NewBorrower(limiter *Limiter, lender LenderClient, live Liveness, clock clockwork.Clock, scope tally.Scope) *Borrower {
	return &Borrower{
		limiter: limiter, lender: lender, live: live, clock: clock, queues: map[string]*queue{},
		calls: scope.Counter("quota_borrow_calls"), failed: scope.Counter("quota_borrow_failed"),
		spent: scope.Counter("quota_borrowed_spent"), dropped: scope.Counter("quota_borrowed_dropped"),
	}
}

// queue holds the requests of one team that wait for a token, and the estimates of its lenders' buckets.
type queue struct {
	waiting  []*waiter
	running  bool
	lastCall time.Time
	// delay is the minimum time from lastCall to the next call.
	delay   time.Duration
	lenders map[string]*lenderEstimate
}

// waiter is one waiting request. Its result channel is buffered, so that sending never blocks on a cancelled caller.
type waiter struct {
	deadline time.Time
	result   chan Decision
}

// lenderEstimate is the state of a lender's bucket as of the end of the last call, which is the time at. If that call
// failed, failed is set to the same time.
type lenderEstimate struct {
	spare  float64
	rate   float64
	at     time.Time
	failed time.Time
}

// tokens returns the number of tokens that the lender is expected to hold now.
func (e *lenderEstimate) tokens(now time.Time, burst float64) float64 {
	return min(burst, e.spare+e.rate*now.Sub(e.at).Seconds())
}

// Admit spends a token for the request. It waits at most maxTokenWait for one.
func (b *Borrower) Admit(ctx context.Context, snap *document.Snapshot, team *document.Team) Decision {
	decision := b.limiter.Admit(snap, team)
	if decision.Admitted {
		return decision
	}
	w, refusal := b.enqueue(team, decision)
	if w == nil {
		return refusal
	}
	select {
	case decision = <-w.result:
		return decision
	case <-ctx.Done():
		// A token that still arrives is dropped together with the waiter.
		return Decision{RetryAfter: time.Second}
	}
}

// enqueue adds a waiter unless no token is expected in time or too many requests are already waiting.
func (b *Borrower) enqueue(team *document.Team, own Decision) (*waiter, Decision) {
	hosts, current, share := b.limiter.lenders(team.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[team.Name]
	if q == nil {
		b.dropUnused()
		q = &queue{delay: borrowInterval, lenders: map[string]*lenderEstimate{}}
		b.queues[team.Name] = q
	}
	now := b.clock.Now()
	wait := own.RetryAfter
	if current != nil {
		wait = min(wait, b.timeToToken(q, hosts, current, share, now))
	}
	maxWaiting := int(math.Ceil(team.RatePerSecond*maxTokenWait.Seconds())) + 1
	if wait > maxTokenWait || len(q.waiting) >= maxWaiting {
		return nil, refuse(team, wait, len(q.waiting))
	}
	w := &waiter{deadline: now.Add(maxTokenWait), result: make(chan Decision, 1)}
	q.waiting = append(q.waiting, w)
	if !q.running {
		q.running = true
		go b.run(team.Name, q)
	}
	return w, Decision{}
}

// dropUnused drops the queues of teams that the document no longer contains. The caller holds mu.
func (b *Borrower) dropUnused() {
	for name, q := range b.queues {
		if _, current, _ := b.limiter.lenders(name); current == nil && !q.running {
			delete(b.queues, name)
		}
	}
}

// refuse returns a refusal whose RetryAfter is when a token is expected after those for the requests ahead.
func refuse(team *document.Team, wait time.Duration, ahead int) Decision {
	if wait == never {
		return Decision{RetryAfter: defaultRetryAfter}
	}
	behind := time.Duration(float64(ahead) / team.RatePerSecond * float64(time.Second))
	return Decision{RetryAfter: wait + behind}
}

// timeToToken returns the time until any lender is expected to hold a whole token.
func (b *Borrower) timeToToken(q *queue, hosts []document.EntryHost, team *document.Team, share float64, now time.Time) time.Duration {
	next := never
	for _, s := range hosts {
		next = min(next, b.timeToLenderToken(q, s.Name, team, share, now))
	}
	return next
}

// timeToLenderToken returns the time until the host is expected to hold a whole token.
func (b *Borrower) timeToLenderToken(q *queue, host string, team *document.Team, share float64, now time.Time) time.Duration {
	if !b.live.Live(host) {
		return never
	}
	e := q.lenders[host]
	if e == nil {
		return 0
	}
	if backoff := e.failed.Add(lenderBackoff).Sub(now); !e.failed.IsZero() && backoff > 0 {
		return backoff
	}
	missing := 1 - e.tokens(now, max(1, team.Burst*share))
	switch {
	case missing <= 0:
		return 0
	case e.rate <= 0:
		// The host holds no share now. It may regain one in a handover.
		return max(0, e.at.Add(lenderBackoff).Sub(now))
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

// step serves the requests that can be served now. It returns the wait until the next step, and true if the queue is
// empty.
func (b *Borrower) step(team string, q *queue) (time.Duration, bool) {
	own := b.serveOwn(team, q)
	hosts, current, share := b.limiter.lenders(team)
	b.mu.Lock()
	now := b.clock.Now()
	next := own
	if current != nil {
		next = min(next, b.timeToToken(q, hosts, current, share, now))
	}
	b.expire(q, current, next, now)
	if len(q.waiting) == 0 {
		q.running = false
		b.mu.Unlock()
		return 0, true
	}
	host, ok := b.chooseLender(q, hosts, current, share, now)
	delay := q.lastCall.Add(q.delay).Sub(now)
	want := uint32(len(q.waiting))
	deadline := q.waiting[0].deadline
	if !ok || delay > 0 {
		b.mu.Unlock()
		return sleepTime(next, delay, own, deadline.Sub(now)), false
	}
	q.lastCall = now
	b.mu.Unlock()
	b.borrow(team, q, host, want)
	return 0, false
}

// sleepTime returns the time until the next step: when the next call is allowed and a lender's token is expected, but
// no later than the next token of this host or the first deadline.
func sleepTime(next, delay, own, deadline time.Duration) time.Duration {
	return max(time.Millisecond, min(max(next, delay), own, deadline))
}

// serveOwn spends tokens of the host's own bucket on waiting requests and returns the time until its next token.
func (b *Borrower) serveOwn(team string, q *queue) time.Duration {
	for {
		b.mu.Lock()
		empty := len(q.waiting) == 0
		b.mu.Unlock()
		if empty {
			return never
		}
		decision := b.limiter.admitNamed(team)
		if !decision.Admitted {
			return decision.RetryAfter
		}
		b.deliver(q, 1, Decision{Admitted: true, At: decision.At})
	}
}

// deliver passes tokens to the waiting requests and returns how many were used.
func (b *Borrower) deliver(q *queue, tokens uint32, decision Decision) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := min(tokens, uint32(len(q.waiting)))
	for _, w := range q.waiting[:taken] {
		w.result <- decision
	}
	q.waiting = q.waiting[taken:]
	return taken
}

// expire refuses the requests whose deadline has passed, and all requests if the team no longer exists.
func (b *Borrower) expire(q *queue, team *document.Team, next time.Duration, now time.Time) {
	for len(q.waiting) > 0 && (team == nil || !now.Before(q.waiting[0].deadline)) {
		decision := Decision{RetryAfter: defaultRetryAfter}
		if team != nil {
			decision = refuse(team, next, len(q.waiting)-1)
		}
		q.waiting[0].result <- decision
		q.waiting = q.waiting[1:]
	}
}

// chooseLender returns the host that is expected to hold the most tokens.
func (b *Borrower) chooseLender(q *queue, hosts []document.EntryHost, team *document.Team, share float64, now time.Time) (document.EntryHost, bool) {
	var best document.EntryHost
	mostTokens, found := 0.0, false
	for _, s := range hosts {
		if b.timeToLenderToken(q, s.Name, team, share, now) > 0 {
			continue
		}
		tokens := team.Burst * share
		if e := q.lenders[s.Name]; e != nil {
			tokens = e.tokens(now, tokens)
		}
		if !found || tokens > mostTokens {
			best, mostTokens, found = s, tokens, true
		}
	}
	return best, found
}

// borrow borrows tokens from the host and delivers them to waiting requests while they are valid.
func (b *Borrower) borrow(team string, q *queue, host document.EntryHost, want uint32) {
	b.calls.Inc(1)
	grant := NewGrant(b.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), GrantValidity)
	defer cancel()
	reply, err := b.lender.Borrow(ctx, host, team, want)
	now := b.clock.Now()
	b.mu.Lock()
	if err != nil {
		b.failed.Inc(1)
		q.lenders[host.Name] = &lenderEstimate{at: now, failed: now}
		b.mu.Unlock()
		return
	}
	q.lenders[host.Name] = &lenderEstimate{spare: reply.Spare, rate: reply.Rate, at: now}
	q.delay = nextDelay(q.delay, want, reply.Granted)
	b.mu.Unlock()
	taken := uint32(0)
	if now = b.clock.Now(); grant.Redeem(now) {
		taken = b.deliver(q, min(reply.Granted, want), Decision{Admitted: true, At: now, Borrowed: true})
	}
	b.spent.Inc(int64(taken))
	b.dropped.Inc(int64(reply.Granted - taken))
}

// nextDelay returns the delay of the next call: a short one while other lenders may serve the remaining requests, and
// an exponentially growing one while calls return no tokens.
func nextDelay(delay time.Duration, want, granted uint32) time.Duration {
	switch {
	case granted == 0:
		return min(2*delay, maxBorrowInterval)
	case granted < want:
		return partialBorrowInterval
	default:
		return borrowInterval
	}
}
