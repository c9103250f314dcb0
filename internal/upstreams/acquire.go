package upstreams

import (
	"context"
	"net/http"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/health"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

// The waits for a place that senders ask for.
const (
	// FirstChoiceWait is how long a request waits at its first choice, where its prefix is cached, before another upstream
	// is asked.
	FirstChoiceWait = 500 * time.Millisecond
	// MaxQueueWait is the longest that a request waits when every upstream is full.
	MaxQueueWait = 5 * time.Second
)

// Request is what asks for a place.
type Request struct {
	Upstream string
	Team     string
	// Weight is the team's part in fair queueing; 0 means 1.
	Weight   int
	Deadline time.Time
	// MaxWait is how long the request may wait for a place instead of being refused.
	MaxWait time.Duration
}

// waiter is a request in the queue. Done receives nil when it has a place, or the refusal.
type waiter struct {
	team string
	// last means that no other upstream has a place, so that the request counts in the mean that will be carried.
	last bool
	done chan error
	// state is where the place was granted; set before done receives nil.
	state *state
}

// Acquire takes a place at the upstream. The error is an *outcome.Refusal of a request that did not run. When the
// context ends, a waiting request gives up its place in the queue.
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

// admit takes a place or a waiter for one. The caller holds mu.
func (s *Set) admit(req Request) (*state, *waiter, error) {
	now := s.Clock.Now()
	s.noticeSleep(now)
	up, ok := s.takesWork(req.Upstream)
	if !ok {
		return nil, nil, refuseOut(req.Upstream)
	}
	st := s.stateOf(up, now)
	st.usedAt = now
	if !st.health.AllowsRequest(st.inFlight) {
		return nil, nil, refuseDown(st, now)
	}
	if st.queue.Len() == 0 && s.hasPlace(st, now) {
		s.take(st, now)
		return st, nil, nil
	}
	if req.MaxWait <= 0 {
		return nil, nil, refuseFull(st)
	}
	w, err := s.enqueue(st, req, s.limit(st, now), now)
	return st, w, err
}

// takesWork returns the upstream if the newest document lets it take work.
func (s *Set) takesWork(name string) (document.PoolUpstream, bool) {
	snap := s.Configuration.Current()
	if snap == nil {
		return document.PoolUpstream{}, false
	}
	up, ok := snap.Upstream(name)
	return up, ok && snap.TakesWork(up.Upstream)
}

func (s *Set) take(st *state, now time.Time) {
	st.change(1, now)
	st.total++
	s.changed(st, 1, 0)
}

// enqueue puts the request into the queue, or refuses it at once if it would wait too long. The caller holds mu.
func (s *Set) enqueue(st *state, req Request, limit int, now time.Time) (*waiter, error) {
	ahead := st.queue.ItemsAhead(req.Team, req.Weight)
	expected := time.Duration(ahead+1) * st.duration / time.Duration(max(1, min(limit, st.up.Capacity)))
	if expected > s.patience(req, now) {
		s.metrics.early.Inc(1)
		return nil, refuseWait(st, req, expected)
	}
	w := &waiter{team: req.Team, last: req.MaxWait >= MaxQueueWait, done: make(chan error, 1)}
	evicted, ok := st.queue.Push(req.Team, req.Weight, w)
	if !ok {
		s.metrics.evicted.Inc(1)
		return nil, refuseWait(st, req, expected)
	}
	s.waits(st, w, 1)
	for _, e := range evicted {
		s.metrics.evicted.Inc(1)
		s.waits(st, e, -1)
		e.done <- refuseBusy(st, expected)
	}
	s.metrics.queued.Inc(1)
	return w, nil
}

// patience is how long the request may wait.
func (s *Set) patience(req Request, now time.Time) time.Duration {
	return min(req.MaxWait, req.Deadline.Sub(now))
}

// wait waits until the request has a place.
func (s *Set) wait(ctx context.Context, st *state, w *waiter, req Request) error {
	start := s.Clock.Now()
	timer := s.Clock.NewTimer(s.patience(req, start))
	defer timer.Stop()
	defer func() { s.metrics.waited.Record(s.Clock.Since(start)) }()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return s.giveUp(st, w, outcome.Unavailable(step, CodeBusy, "the caller went away").WithPeer(st.up.Name, ctx.Err()))
	case <-timer.Chan():
		return s.giveUp(st, w, refuseWait(st, req, s.Clock.Since(start)))
	}
}

// giveUp takes the request out of the queue, or gives back the place that it was just granted.
func (s *Set) giveUp(st *state, w *waiter, refusal error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.queue.Remove(w.team, w) {
		s.waits(st, w, -1)
		return refusal
	}
	if err := <-w.done; err != nil {
		return err
	}
	s.giveBack(w.state)
	return refusal
}

// giveBack frees a place and grants it to who waits. The caller holds mu.
func (s *Set) giveBack(st *state) {
	st.change(-1, s.Clock.Now())
	s.changed(st, -1, 0)
	s.drain(st, s.Clock.Now())
}

// drain grants places to waiting requests as far as the limit allows. The caller holds mu.
func (s *Set) drain(st *state, now time.Time) {
	for st.queue.Len() > 0 && st.health.AllowsRequest(st.inFlight) && s.hasPlace(st, now) {
		w, _ := st.queue.Pop()
		s.waits(st, w, -1)
		s.take(st, now)
		w.state = st
		w.done <- nil
	}
}

// flush refuses every waiting request, so that its sender tries another upstream. The caller holds mu.
func (s *Set) flush(st *state, refusal error) {
	for st.queue.Len() > 0 {
		w, _ := st.queue.Pop()
		s.waits(st, w, -1)
		w.done <- refusal
	}
}

func refuseOut(name string) error {
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

// refuseWait refuses a request whose wait is too long. One that would have waited for a short time only may be placed
// elsewhere, as with any full upstream.
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

// down reports whether the upstream gets no work because it fails.
func (st *state) down() bool { return st.health.Status() == health.Down }
