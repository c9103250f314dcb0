package quarantine

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// SuspectLimiter allows at most one suspect request at a time on each upstream that this host owns. It is safe for
// concurrent use.
type SuspectLimiter struct {
	mu    sync.Mutex
	slots map[string]chan struct{}
}

// NewSuspectLimiter returns a limiter with all slots free.
func NewSuspectLimiter() *SuspectLimiter {
	return &SuspectLimiter{slots: map[string]chan struct{}{}}
}

// Acquire waits until no suspect runs on the upstream. The returned function releases the slot and must be called.
func (l *SuspectLimiter) Acquire(ctx context.Context, upstream string) (func(), error) {
	slot := l.slot(upstream)
	select {
	case slot <- struct{}{}:
		var releaseOnce sync.Once
		return func() { releaseOnce.Do(func() { <-slot }) }, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait for another suspect request to end on %s", upstream)
	}
}

func (l *SuspectLimiter) slot(upstream string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slots[upstream]
	if slot == nil {
		slot = make(chan struct{}, 1)
		l.slots[upstream] = slot
	}
	return slot
}
