package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// drainPollInterval is how often await checks whether connections have ended.
const drainPollInterval = 5 * time.Millisecond

// idleConns ends callers' connections that stay idle for longer than the current limit.
//
// It never closes a connection, since a request may already have been read from it. It sets a read deadline in the
// past, which interrupts the wait for the next request; net/http clears the deadline once that request has arrived.
type idleConns struct {
	clock clockwork.Clock
	// timeout returns the idle timeout of the current configuration.
	timeout func() time.Duration
	// onRace is called when a request has arrived, in whole or in part, on a connection that was being ended.
	onRace func(c net.Conn, idle time.Duration)

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// interrupted holds the connections of idleSince whose read was interrupted.
	interrupted map[net.Conn]bool
	// open is the number of connections.
	open int
	// onUnansweredHead is called when a connection has ended after a part of a request's head had arrived.
	onUnansweredHead func(unansweredHead)
}

// unansweredHead describes a part of a request's head that got no response of the handler.
type unansweredHead struct {
	peer  net.Addr
	bytes int64
	// sinceIdle is the time since the connection became idle, and sinceByte the time since the first byte of the head.
	sinceIdle, sinceByte time.Duration
	// interrupted is set if the idle timeout or a planned stop ended the connection.
	interrupted bool
}

func newIdleConns(clock clockwork.Clock, timeout func() time.Duration, onRace func(c net.Conn, idle time.Duration)) *idleConns {
	return &idleConns{
		clock: clock, timeout: timeout, onRace: onRace, idleSince: map[net.Conn]time.Time{}, interrupted: map[net.Conn]bool{},
		onUnansweredHead: func(unansweredHead) {},
	}
}

// listener accepts callers' connections that count the bytes they receive.
type listener struct {
	net.Listener
	clock clockwork.Clock
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept caller's connection")
	}
	return &callerConn{Conn: c, clock: l.clock}, nil
}

// callerConn is a caller's connection. It counts the bytes received since the last request was read.
type callerConn struct {
	net.Conn
	clock clockwork.Clock

	mu        sync.Mutex
	received  int64
	firstByte time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.received == 0 {
			c.firstByte = c.clock.Now()
		}
		c.received += int64(n)
	}
	return n, err
}

// reset begins to count for the next request.
func (c *callerConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = 0
}

// reportUnansweredHead reports the part of a head that has been received on the connection, if there is one.
func (i *idleConns) reportUnansweredHead(c *callerConn, idleSince time.Time, interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received > 0 {
		i.onUnansweredHead(unansweredHead{
			peer: c.RemoteAddr(), bytes: c.received, sinceIdle: i.clock.Since(idleSince), sinceByte: i.clock.Since(c.firstByte),
			interrupted: interrupted,
		})
	}
}

// onStateChange is the server's ConnState hook.
func (i *idleConns) onStateChange(c net.Conn, connState http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	since, wasIdle := i.idleSince[c]
	wasInterrupted := i.interrupted[c]
	delete(i.idleSince, c)
	delete(i.interrupted, c)
	if tracked, ok := c.(*callerConn); ok {
		if connState == http.StateClosed && wasIdle {
			i.reportUnansweredHead(tracked, since, wasInterrupted)
		}
		tracked.reset()
	}
	switch {
	case connState == http.StateNew:
		i.open++
	case connState == http.StateClosed || connState == http.StateHijacked:
		i.open--
	case connState == http.StateIdle:
		now := i.clock.Now()
		i.idleSince[c] = now
		i.clock.AfterFunc(i.timeout(), func() { i.expire(c, now) })
	case connState == http.StateActive && wasIdle:
		// expire may have set a deadline between the arrival of the request and this hook. A connection that does not
		// support deadlines has none to clear.
		_ = c.SetReadDeadline(time.Time{})
		if wasInterrupted {
			i.onRace(c, i.clock.Since(since))
		}
	}
}

// expire interrupts a connection that has been idle since the given time, or reschedules itself if the timeout has
// increased meanwhile.
func (i *idleConns) expire(c net.Conn, idleSince time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if at, idle := i.idleSince[c]; !idle || !at.Equal(idleSince) {
		return
	}
	if left := i.timeout() - i.clock.Since(idleSince); left > 0 {
		i.clock.AfterFunc(left, func() { i.expire(c, idleSince) })
		return
	}
	i.interruptRead(c)
}

// interruptRead interrupts the wait for the next request. The caller holds mu.
func (i *idleConns) interruptRead(c net.Conn) {
	i.interrupted[c] = true
	// Some connections do not support deadlines; these end when the caller closes them.
	_ = c.SetReadDeadline(i.clock.Now().Add(-time.Second))
}

// await interrupts all idle connections, including those that become idle later, and returns when no connection is open.
// http.Server.Shutdown would close connections from which a request has been read.
func (i *idleConns) await(ctx context.Context) error {
	for i.interruptReads() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for callers' connections")
		case <-i.clock.After(drainPollInterval):
		}
	}
	return nil
}

// interruptReads interrupts the connections that are idle now and returns the number of open ones. It must be called
// repeatedly, since net/http sets its own deadline after a connection has become idle.
func (i *idleConns) interruptReads() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.idleSince {
		i.interruptRead(c)
	}
	return i.open
}
