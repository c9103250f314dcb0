package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// endPoll is how often a stop looks whether unused connections have ended.
const endPoll = 5 * time.Millisecond

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
	i.endWait(c)
}

// endWait ends the wait for the next request; the caller holds mu.
func (i *idleConns) endWait(c net.Conn) {
	// A connection that takes no deadline ends with its caller.
	_ = c.SetReadDeadline(i.clock.Now().Add(-time.Second))
}

// end ends the waits of all unused connections, those too that are unused later, and returns when each has ended or has
// read a request. http.Server.Shutdown would close connections from which a request was read already, but whose state
// does not say so yet.
func (i *idleConns) end(ctx context.Context) {
	for ctx.Err() == nil && i.endWaits() > 0 {
		select {
		case <-ctx.Done():
		case <-i.clock.After(endPoll):
		}
	}
}

// endWaits ends the waits of the connections that are unused now and returns their number. It is called again and again,
// since net/http sets a deadline of its own after a connection has become unused.
func (i *idleConns) endWaits() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.since {
		i.endWait(c)
	}
	return len(i.since)
}
