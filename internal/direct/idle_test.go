package direct

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// deadlineConn records its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
	closed   bool
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error { c.deadline = t; return nil }
func (c *deadlineConn) Close() error                      { c.closed = true; return nil }

func TestUnusedConnections(t *testing.T) {
	const first = 10 * time.Second
	tests := []struct {
		name  string
		steps func(i *idleConns, c net.Conn, clock *clockwork.FakeClock, limit *time.Duration)
		ended bool
	}{
		{"unused past the limit", func(_ *idleConns, _ net.Conn, clock *clockwork.FakeClock, _ *time.Duration) { clock.Advance(first) }, true},
		{"unused within the limit", func(_ *idleConns, _ net.Conn, clock *clockwork.FakeClock, _ *time.Duration) { clock.Advance(first - 1) }, false},
		{"used in time", func(i *idleConns, c net.Conn, clock *clockwork.FakeClock, _ *time.Duration) {
			clock.Advance(first / 2)
			i.state(c, http.StateActive)
			clock.Advance(first)
		}, false},
		{"its time ends while a request is read", func(i *idleConns, c net.Conn, clock *clockwork.FakeClock, _ *time.Duration) {
			i.expire(c, clock.Now()) // not over yet
			clock.Advance(first)
			i.state(c, http.StateActive)
		}, false},
		{"the limit grows meanwhile", func(i *idleConns, _ net.Conn, clock *clockwork.FakeClock, limit *time.Duration) {
			i.mu.Lock()
			*limit *= 2
			i.mu.Unlock()
			clock.Advance(first)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock, limit := clockwork.NewFakeClock(), first
			i := newIdleConns(clock, func() time.Duration { return limit })
			c := &deadlineConn{}
			i.state(c, http.StateIdle)
			since := clock.Now()
			tt.steps(i, c, clock, &limit)
			i.expire(c, since) // the fake clock runs its own call in the background
			i.mu.Lock()
			defer i.mu.Unlock()
			is.Equal(!c.deadline.IsZero(), tt.ended)
			is.True(!c.closed) // a request may have been read from it
		})
	}
}
