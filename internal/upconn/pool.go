// Package upconn pools connections to upstreams and carries one request at a time on each.
//
// It is built on net connections and net/http's message codec, not on http.Transport. Its callers must know whether a
// byte of a request may have been sent and must see responses that belong to no request, and no request may be retried
// without their knowledge.
package upconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Timeouts and limits of connections.
const (
	// connectTimeout limits the time to establish a connection whose context has no earlier deadline.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is closed. Retransmission
	// recovers from two consecutive packet losses after 600 ms.
	unackedTimeout = time.Second
	// longBodyTimeout is the same while a request is sent that may not fit into the peer's buffers. A peer whose process
	// stands still for a moment takes no more bytes then, and the kernel counts this time as well.
	longBodyTimeout = 3 * time.Second
	// maxShortBodyBytes is the largest body of a request to which longBodyTimeout does not apply.
	maxShortBodyBytes = 64 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive probes, which detect connections
	// whose peer no longer responds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the upstream's own idle timeout after which a connection is no longer
	// used.
	idleTimeoutFraction = 0.6
	// maxIdleTimeout limits the upstream's own idle timeout.
	maxIdleTimeout = time.Hour
	// MaxIdlePerUpstream limits the idle connections to one upstream.
	MaxIdlePerUpstream = 16
)

// Buffer sizes of a connection in bytes; responses arrive in pieces of about a hundred bytes.
const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 2 << 10
)

// Pool opens connections and keeps idle ones for reuse. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	clock  clockwork.Clock

	mu   sync.Mutex
	idle map[string][]*Conn
	// open holds the connections that are not closed, idle or not.
	open map[string]map[*Conn]struct{}
	// idleTimeouts holds how long connections may stay idle, for upstreams with open connections that have told it.
	idleTimeouts map[string]time.Duration
}

// NewPool returns an empty pool whose connections are bound to the local address, or to any if it is nil.
func NewPool(local net.Addr, clock clockwork.Clock) *Pool {
	return &Pool{
		clock: clock, idle: map[string][]*Conn{}, open: map[string]map[*Conn]struct{}{}, idleTimeouts: map[string]time.Duration{},
		dialer: net.Dialer{
			Timeout: connectTimeout, LocalAddr: local, Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unackedTimeout) },
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		},
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = optErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// Dial opens a connection outside the pool, with the same timeouts.
func (p *Pool) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := p.dialer.DialContext(ctx, network, address)
	return c, errors.Wrapf(err, "connect to %s", address)
}

// Get returns a connection to the address: an idle one that is still healthy, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	return p.get(ctx, address, func(*Conn) bool { return true })
}

// GetUnused is like Get for a connection that has carried no request.
func (p *Pool) GetUnused(ctx context.Context, address string) (*Conn, error) {
	return p.get(ctx, address, func(c *Conn) bool { return !c.WriteStarted })
}

func (p *Pool) get(ctx context.Context, address string, accepts func(*Conn) bool) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	for {
		c, expired := p.popIdle(address, accepts)
		if c == nil {
			break
		}
		if !expired && c.healthy() {
			c.Reused = c.WriteStarted
			return c, nil
		}
		c.Close()
	}
	return p.Connect(ctx, address)
}

// Connect opens a connection to the address.
func (p *Pool) Connect(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, address)
	p.add(c)
	return c, nil
}

// add records an open connection, until it is closed.
func (p *Pool) add(c *Conn) {
	c.pool, c.establishedAt = p, p.clock.Now()
	c.servedSince, c.idleSince = c.establishedAt, c.establishedAt
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address] == nil {
		p.open[c.address] = map[*Conn]struct{}{}
	}
	p.open[c.address][c] = struct{}{}
}

// remove forgets a connection that is closed.
func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
		delete(p.idleTimeouts, c.address)
	}
}

// maxElders limits the connections that are asked how long their process has served.
const maxElders = 8

// elders returns some open connections to the same address whose process has served for longer than is known of the
// connection's.
func (p *Pool) elders(c *Conn) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Conn
	for other := range p.open[c.address] {
		if other.servedSince.Before(c.servedSince) {
			list = append(list, other)
		}
		if len(list) == maxElders {
			break
		}
	}
	return list
}

// inherit records that the processes behind both connections are the same.
func (p *Pool) inherit(c, elder *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if elder.servedSince.Before(c.servedSince) {
		c.servedSince = elder.servedSince
	}
}

// PutUnused returns a connection on which nothing was sent to the pool.
func (p *Pool) PutUnused(c *Conn) {
	if !c.WriteStarted {
		c.reusable = true
	}
	p.Put(c, MaxIdlePerUpstream)
}

// Open opens a connection to the address and keeps it for reuse.
func (p *Pool) Open(ctx context.Context, address string) error {
	c, err := p.Connect(ctx, address)
	if err != nil {
		return err
	}
	p.PutUnused(c)
	return nil
}

func newConn(raw net.Conn, address string) *Conn {
	head, out := &headLimiter{Reader: raw}, &errorRecorder{Writer: raw}
	return &Conn{
		raw: raw, address: address, head: head, br: bufio.NewReaderSize(head, readBufferBytes),
		out: out, bw: bufio.NewWriterSize(out, writeBufferBytes), unackedTimeout: unackedTimeout,
	}
}

// setIdleTimeout records how long connections to the address may stay idle.
func (p *Pool) setIdleTimeout(address string, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open[address]) > 0 {
		p.idleTimeouts[address] = timeout
	}
}

// expired reports whether the connection has been idle for longer than it may. The caller holds mu.
func (p *Pool) expired(c *Conn, now time.Time) bool {
	timeout, ok := p.idleTimeouts[c.address]
	if !ok {
		timeout = defaultIdleTimeout
	}
	return now.Sub(c.idleSince) > timeout
}

// popIdle returns the idle connection to the address that was put back last among those that are accepted, and whether it has been
// idle for too long. It is nil if there is none.
func (p *Pool) popIdle(address string, accepts func(*Conn) bool) (c *Conn, expired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; accepts(c) {
			if p.idle[address] = slices.Delete(list, i, i+1); len(list) == 1 {
				delete(p.idle, address)
			}
			return c, p.expired(c, p.clock.Now())
		}
	}
	return nil, false
}

// Put returns a connection to the pool after its last response has been read to the end. It closes connections that
// cannot be reused, and those beyond maxIdle to the same upstream.
func (p *Pool) Put(c *Conn, maxIdle int) {
	if !c.reusable || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	full := len(p.idle[c.address]) >= min(maxIdle, MaxIdlePerUpstream)
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// CloseIdle closes the idle connections to the address after its upstream has failed or gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var stale []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.expired(c, now) {
				stale = append(stale, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}
