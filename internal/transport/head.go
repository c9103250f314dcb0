package transport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/orioleusher/orioleusher/internal/framing"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// keepHeads returns a dialFunc whose connections keep the heads of responses.
func keepHeads(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: c}, nil
	}
}

// headConn keeps what it has read of the present response's head, since net/http does not tell that a head had both lengths.
type headConn struct {
	net.Conn

	mu sync.Mutex
	// head is what was read between begin and check.
	head   []byte
	inHead bool
}

// begin is called before a request is written.
func (c *headConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.inHead = nil, true
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		c.head = append(c.head, p[:n]...)
	}
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection
}

// check is called when net/http has read a response's head. If that has both lengths, it closes the connection and returns
// framing.ErrBothLengths.
func (c *headConn) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := framing.CheckResponse(c.head)
	if err != nil {
		c.Close()
	}
	c.head, c.inHead = nil, false
	return err //nolint:wrapcheck // the caller adds the upstream
}

// usedConn is the connection that a request has been given, if any.
type usedConn struct {
	conn atomic.Pointer[headConn]
}

// record is the GotConn hook.
func (u *usedConn) record(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*headConn); ok {
		c.begin()
		u.conn.Store(c)
	}
}

// sent reports whether bytes of the request may have been sent.
func (u *usedConn) sent() bool { return u.conn.Load() != nil }

// check returns an error if the response that has begun on the connection has both lengths.
func (u *usedConn) check() error {
	if c := u.conn.Load(); c != nil {
		return c.check()
	}
	return nil
}
