package direct

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

// errStopped is the cause with which requests are cancelled at the end of a planned stop.
var errStopped = errors.New("the router has stopped")

// plannedStop is the router's planned stop, if one has begun.
type plannedStop struct {
	schedule atomic.Pointer[stopSchedule]
	// ended is cancelled at the end of the stop.
	ended context.Context
	end   context.CancelFunc
}

type stopSchedule struct {
	// refuseFrom is when the router ceases to take requests that may outlast the stop.
	refuseFrom time.Time
	// cutOff is when the requests that are left are cut off.
	cutOff time.Time
}

func newPlannedStop() *plannedStop {
	p := &plannedStop{}
	p.ended, p.end = context.WithCancel(context.Background())
	return p
}

// begun reports whether the stop has begun.
func (p *plannedStop) begun() bool { return p.schedule.Load() != nil }

// check returns a refusal of a request whose response cannot be expected before the end of the stop: it was received too
// late, or less than its latency objective is left. A request that may have been executed is sent again all the same if its
// route allows that.
func (p *plannedStop) check(req *Request, now time.Time) error {
	s := p.schedule.Load()
	if s == nil || req.outcomeUnknown || req.response.headerSent {
		return nil
	}
	inTime := req.receivedAt.Before(s.refuseFrom) && s.cutOff.Sub(now) >= req.Route.LatencyObjective
	if p.ended.Err() == nil && (inTime || !req.Deadline.After(s.cutOff)) {
		return nil
	}
	return refuseStopping("the router stops before the deadline")
}

// refuseStopping returns the refusal of a request that was not run because of the stop.
func refuseStopping(message string) *outcome.Refusal {
	return outcome.Unavailable(stepStop, "stopping", message).WithRetryAfter(defaultRetryAfter)
}

// onEnd calls f at the end of the stop, unless the returned function is called before. That function reports whether f was
// called, and waits for its end.
func (p *plannedStop) onEnd(f func()) (release func() bool) {
	done := make(chan struct{})
	stop := context.AfterFunc(p.ended, func() {
		defer close(done)
		f()
	})
	return func() bool {
		if stop() {
			return false
		}
		<-done
		return true
	}
}

// bound returns the deadline, or the end of the stop if that is earlier.
func (p *plannedStop) bound(deadline time.Time) time.Time {
	if s := p.schedule.Load(); s != nil && s.cutOff.Before(deadline) {
		return s.cutOff
	}
	return deadline
}

// BeginStop begins a planned stop: all further responses carry "Connection: close", and from refuseFrom on requests are
// refused that may not have ended at cutOff.
func (s *Server) BeginStop(refuseFrom, cutOff time.Time) {
	s.stop.schedule.Store(&stopSchedule{refuseFrom: refuseFrom, cutOff: cutOff})
}

// CutOff ends the requests in flight and those whose head is still arriving. Callers whose response has not begun are told
// that the outcome is unknown, or that the request was not run.
func (s *Server) CutOff() {
	s.stop.end()
	s.conns.CutOff()
}

// AwaitConns ends callers' connections that wait for a request, and waits until all connections and the requests of other hosts
// have ended or the context is done, in which case it returns an error.
func (s *Server) AwaitConns(ctx context.Context) error {
	if err := s.conns.Drain(ctx); err != nil {
		return err
	}
	for s.Detours() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests of other hosts")
		case <-s.Clock.After(detourPollInterval):
		}
	}
	return nil
}

// detourPollInterval is how often a stopping process checks whether requests of other hosts are left.
const detourPollInterval = 10 * time.Millisecond
