package faults

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// trackingListener registers each accepted connection with the server, so that it can be silenced later.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	c := &conn{Conn: raw, server: l.server, silent: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// conn is a connection that can be silenced. Reads on a silenced connection block until it is closed; writes are
// discarded.
type conn struct {
	net.Conn
	server      *Server
	silent      chan struct{}
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

func (c *conn) silence() {
	c.silenceOnce.Do(func() { close(c.silent) })
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}
