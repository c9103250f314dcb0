package direct

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// idleConns ends callers' connections that stay unused for longer than the limit in force.
//
// It never closes a connection: a request may have been read from it already. It lets the wait for the next request run
// into a deadline, which net/http lifts when that request has come.
type idleConns struct {
	clock clockwork.Clock
	// limit returns how long a connection may stay unused, as the configuration in force says.
	limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns(clock clockwork.Clock, limit func() time.Duration) *idleConns {
	return &idleConns{clock: clock, limit: limit, since: map[net.Conn]time.Time{}}
}

// state is the server's ConnState hook.
func (i *idleConns) state(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, was := i.since[c]
	delete(i.since, c)
	switch {
	case state == http.StateIdle:
		now := i.clock.Now()
		i.since[c] = now
		i.clock.AfterFunc(i.limit(), func() { i.expire(c, now) })
	case state == http.StateActive && was:
		// expire may have come between the request and this hook. A connection without deadlines needs none lifted.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// expire ends the wait of a connection that has been unused since then, or looks again when the limit has grown.
func (i *idleConns) expire(c net.Conn, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if at, idle := i.since[c]; !idle || !at.Equal(since) {
		return
	}
	if left := i.limit() - i.clock.Since(since); left > 0 {
		i.clock.AfterFunc(left, func() { i.expire(c, since) })
		return
	}
	// A connection that takes no deadline ends with its caller.
	_ = c.SetReadDeadline(i.clock.Now().Add(-time.Second))
}
