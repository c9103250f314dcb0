package upstreams

import (
	"context"
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/health"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// Queue waits that senders ask for.
const (
	// FirstChoiceWait is how long a request queues at its first-choice upstream, where its prefix is cached, before the
	// sender tries another upstream.
	FirstChoiceWait = 500 * time.Millisecond
	// MaxQueueWait is the longest that a request queues when every upstream is full.
	MaxQueueWait = 5 * time.Second
)

// Request asks for a slot at an upstream.
type Request struct {
	Upstream string
	Team     string
	// Weight is the team's weight in fair queueing; 0 means 1.
	Weight   int
	Deadline time.Time
	// MaxWait is how long the request may queue for a slot before it is refused.
	MaxWait time.Duration
}

// waiter is a queued request. Its done channel receives nil once a slot has been granted, or the refusal.
type waiter struct {
	team string
	// lastResort means that no other upstream has a free slot, so that the request counts as waiting load of this
	// upstream in the pool's mean.
	lastResort bool
	done       chan error
	// state is the upstream at which the slot was granted. It is set before done receives nil.
	state *state
}

// Acquire takes a slot at the upstream, queueing for up to MaxWait. Any error is an *outcome.Refusal of a request that
// was not run. When the context ends, a queued request leaves the queue.
func (s *Set) Acquire(ctx context.Context, req Request) (*Slot, error) {
	s.mu.Lock()
	st, w, err := s.admit(req)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := s.wait(ctx, st, w, req); err != nil {
			return nil, err
		}
		st = w.state
	}
	s.metrics.granted.Inc(1)
	return &Slot{set: s, state: st, start: s.Clock.Now()}, nil
}

// admit takes a slot, or queues the request and returns its waiter. The caller holds mu.
func (s *Set) admit(req Request) (*state, *waiter, error) {
	now := s.Clock.Now()
	s.detectPause(now)
	up, ok := s.availableUpstream(req.Upstream)
	if !ok {
		return nil, nil, refuseOutOfService(req.Upstream)
	}
	st := s.stateOf(up, now)
	st.lastUsedAt = now
	if !st.health.AllowsRequest(st.inFlight) {
		return nil, nil, refuseDown(st, now)
	}
	if st.queue.Len() == 0 && s.hasSlot(st, now) {
		s.takeSlot(st, now)
		return st, nil, nil
	}
	if req.MaxWait <= 0 {
		return nil, nil, refuseFull(st)
	}
	w, err := s.enqueue(st, req, s.limit(st, now), now)
	return st, w, err
}

// availableUpstream returns the upstream, and true if the document in force allows it new work.
func (s *Set) availableUpstream(name string) (document.PoolUpstream, bool) {
	snap := s.Configuration.Current()
	if snap == nil {
		return document.PoolUpstream{}, false
	}
	up, ok := snap.Upstream(name)
	return up, ok && snap.AcceptsNewWork(up.Upstream)
}

func (s *Set) takeSlot(st *state, now time.Time) {
	st.addInFlight(1, now)
	st.total++
	s.addPoolLoad(st, 1, 0)
}

// enqueue queues the request, or refuses it immediately if its expected wait exceeds its maximum. The caller holds mu.
func (s *Set) enqueue(st *state, req Request, limit int, now time.Time) (*waiter, error) {
	ahead := st.queue.ItemsAhead(req.Team, req.Weight)
	expected := time.Duration(ahead+1) * st.meanDuration / time.Duration(max(1, min(limit, st.up.Capacity)))
	if expected > s.maxWait(req, now) {
		s.metrics.refusedEarly.Inc(1)
		return nil, refuseWait(st, req, expected)
	}
	w := &waiter{team: req.Team, lastResort: req.MaxWait >= MaxQueueWait, done: make(chan error, 1)}
	evicted, ok := st.queue.Push(req.Team, req.Weight, w)
	if !ok {
		s.metrics.evicted.Inc(1)
		return nil, refuseWait(st, req, expected)
	}
	s.countWaiting(st, w, 1)
	for _, e := range evicted {
		s.metrics.evicted.Inc(1)
		s.countWaiting(st, e, -1)
		e.done <- refuseBusy(st, expected)
	}
	s.metrics.queued.Inc(1)
	return w, nil
}

// maxWait returns how long the request may queue.
func (s *Set) maxWait(req Request, now time.Time) time.Duration {
	return min(req.MaxWait, req.Deadline.Sub(now))
}

// wait blocks until the request has a slot, is refused, or has reached its maximum queueing time.
func (s *Set) wait(ctx context.Context, st *state, w *waiter, req Request) error {
	start := s.Clock.Now()
	timer := s.Clock.NewTimer(s.maxWait(req, start))
	defer timer.Stop()
	defer func() { s.metrics.queueWait.Record(s.Clock.Since(start)) }()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	case <-timer.Chan():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.queue.Remove(w.team, w) {
		s.countWaiting(st, w, -1)
		return waitEnded(ctx, st, req, s.Clock.Since(start))
	}
	// The result came as the wait ended.
	if err := <-w.done; err != nil {
		return err
	}
	if ctx.Err() == nil && s.Clock.Now().Before(req.Deadline) {
		return nil
	}
	s.releaseSlot(w.state)
	return waitEnded(ctx, st, req, s.Clock.Since(start))
}

// waitEnded returns the refusal of a request whose wait has ended without a slot.
func waitEnded(ctx context.Context, st *state, req Request, wait time.Duration) error {
	if err := ctx.Err(); err != nil {
		return outcome.Unavailable(step, CodeBusy, "the caller went away").WithPeer(st.up.Name, err)
	}
	return refuseWait(st, req, wait)
}

// releaseSlot frees a slot and grants it to a queued request. The caller holds mu.
func (s *Set) releaseSlot(st *state) {
	st.addInFlight(-1, s.Clock.Now())
	s.addPoolLoad(st, -1, 0)
	s.grantQueued(st, s.Clock.Now())
}

// grantQueued grants slots to queued requests up to the limit. The caller holds mu.
func (s *Set) grantQueued(st *state, now time.Time) {
	for st.queue.Len() > 0 && st.health.AllowsRequest(st.inFlight) && s.hasSlot(st, now) {
		w, _ := st.queue.Pop()
		s.countWaiting(st, w, -1)
		s.takeSlot(st, now)
		w.state = st
		w.done <- nil
	}
}

// refuseQueued refuses every queued request, so that its sender tries another upstream. The caller holds mu.
func (s *Set) refuseQueued(st *state, refusal error) {
	for st.queue.Len() > 0 {
		w, _ := st.queue.Pop()
		s.countWaiting(st, w, -1)
		w.done <- refusal
	}
}

func refuseOutOfService(name string) error {
	return outcome.Unavailable(step, CodeOut, "the upstream takes no new work").WithPeer(name, nil)
}

func refuseDown(st *state, now time.Time) error {
	return outcome.Unavailable(step, CodeDown, "the upstream fails").WithPeer(st.up.Name, nil).
		WithRetryAfter(max(time.Second, st.health.RetryAfter(now)))
}

func refuseFull(st *state) error {
	if st.ramp.Cold() {
		return outcome.Unavailable(step, CodeCold, "the upstream is in cold start").WithPeer(st.up.Name, nil)
	}
	return outcome.Unavailable(step, CodeFull, "the upstream is at its load bound").WithPeer(st.up.Name, nil)
}

// refuseWait refuses a request whose wait would be too long. A request that allowed only a short wait is refused as by
// a full upstream, so that its sender may try another one.
func refuseWait(st *state, req Request, wait time.Duration) error {
	if req.MaxWait < MaxQueueWait {
		return refuseFull(st)
	}
	return refuseBusy(st, wait)
}

func refuseBusy(st *state, wait time.Duration) error {
	return outcome.Refuse(step, http.StatusServiceUnavailable, CodeBusy, "no place at the upstream in time").
		WithPeer(st.up.Name, nil).WithRetryAfter(max(time.Second, wait))
}

// down reports whether the upstream is marked down and receives no work.
func (st *state) down() bool { return st.health.Status() == health.Down }
