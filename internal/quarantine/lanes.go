package quarantine

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// SuspectLimiter lets at most one suspect at a time run on each upstream that this host owns. It is safe for concurrent use.
type SuspectLimiter struct {
	mu    sync.Mutex
	lanes map[string]chan struct{}
}

// NewSuspectLimiter returns free lanes.
func NewSuspectLimiter() *SuspectLimiter {
	return &SuspectLimiter{lanes: map[string]chan struct{}{}}
}

// Acquire waits until no suspect runs on the upstream. The returned function ends the stay and must be called once.
func (l *SuspectLimiter) Acquire(ctx context.Context, upstream string) (func(), error) {
	lane := l.lane(upstream)
	select {
	case lane <- struct{}{}:
		var once sync.Once
		return func() { once.Do(func() { <-lane }) }, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait for the suspect that runs on %s", upstream)
	}
}

func (l *SuspectLimiter) lane(upstream string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	lane := l.lanes[upstream]
	if lane == nil {
		lane = make(chan struct{}, 1)
		l.lanes[upstream] = lane
	}
	return lane
}
