// Package replylimit cancels a request whose connection brings no reply in time, and tells for certain whether it has.
package replylimit

import (
	"sync/atomic"
	"time"
)

// Limit is the limit on one request. It is safe for concurrent use.
type Limit struct {
	state atomic.Int32
	timer *time.Timer
}

// The states of a limit. The first change is final.
const (
	running int32 = iota
	lifted
	expired
)

// Start returns a limit that calls cancel after the time unless it is lifted before.
func Start(after time.Duration, cancel func()) *Limit {
	l := &Limit{}
	l.timer = time.AfterFunc(after, func() {
		if l.state.CompareAndSwap(running, expired) {
			cancel()
		}
	})
	return l
}

// Lift ends the limit. It returns false if the request has been, or is just being, cancelled: a reply that has come all the same
// cannot be read to its end.
func (l *Limit) Lift() bool {
	if l.state.CompareAndSwap(running, lifted) {
		l.timer.Stop()
	}
	return l.state.Load() == lifted
}
