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

func TestIdleConnections(t *testing.T) {
	const initialTimeout = 10 * time.Second
	tests := []struct {
		name        string
		steps       func(i *idleConns, c net.Conn, clock *clockwork.FakeClock, timeout *time.Duration)
		interrupted bool
		raced       bool
	}{
		{"idle past the timeout", func(_ *idleConns, _ net.Conn, clock *clockwork.FakeClock, _ *time.Duration) {
			clock.Advance(initialTimeout)
		}, true, false},
		{"idle within the timeout", func(_ *idleConns, _ net.Conn, clock *clockwork.FakeClock, _ *time.Duration) {
			clock.Advance(initialTimeout - 1)
		}, false, false},
		{"request within the timeout", func(i *idleConns, c net.Conn, clock *clockwork.FakeClock, _ *time.Duration) {
			clock.Advance(initialTimeout / 2)
			i.onStateChange(c, http.StateActive)
			clock.Advance(initialTimeout)
		}, false, false},
		{"timeout while a request is read", func(i *idleConns, c net.Conn, clock *clockwork.FakeClock, _ *time.Duration) {
			i.expire(c, clock.Now()) // the timeout has not passed yet
			clock.Advance(initialTimeout)
			i.onStateChange(c, http.StateActive)
		}, false, false},
		{"request read at the timeout", func(i *idleConns, c net.Conn, _ *clockwork.FakeClock, _ *time.Duration) {
			i.interruptReads()
			i.onStateChange(c, http.StateActive)
		}, false, true},
		{"timeout raised meanwhile", func(i *idleConns, _ net.Conn, clock *clockwork.FakeClock, timeout *time.Duration) {
			i.mu.Lock()
			*timeout *= 2
			i.mu.Unlock()
			clock.Advance(initialTimeout)
		}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock, timeout, raced := clockwork.NewFakeClock(), initialTimeout, false
			i := newIdleConns(clock, func() time.Duration { return timeout }, func(net.Conn, time.Duration) { raced = true })
			c := &deadlineConn{}
			i.onStateChange(c, http.StateIdle)
			since := clock.Now()
			tt.steps(i, c, clock, &timeout)
			i.expire(c, since) // the fake clock runs the scheduled call in the background
			i.mu.Lock()
			defer i.mu.Unlock()
			is.Equal(!c.deadline.IsZero(), tt.interrupted)
			is.True(!c.closed) // a request may have been read from it
			is.Equal(raced, tt.raced)
		})
	}
}
