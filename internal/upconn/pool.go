// Package upconn keeps the connections to upstreams and carries one request at a time on each.
//
// It is written on net connections and net/http's message codec, not on http.Transport, because the caller of an
// attempt must know whether a byte of the request may have left, must see answers that belong to no request, and must
// never have a request resent behind its back.
package upconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Times of a connection.
const (
	// connectTimeout bounds the opening of a connection whose context has no shorter limit.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as dead: two losses in
	// a row are made good after 600 ms.
	unackedTimeout = time.Second
	// probeIdle and probeInterval are the pace of keep-alive probes, which find connections that went silent.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// defaultIdle is how long an unused connection is kept if the upstream says nothing.
	defaultIdle = 4 * time.Second
	// idlePart is the part of the upstream's own idle time after which a connection is no longer used.
	idlePart = 0.6
	// maxIdlePerUpstream bounds the unused connections to one upstream.
	maxIdlePerUpstream = 16
)

// Sizes of the buffers of a connection, in bytes: answers come in pieces of about a hundred.
const (
	readBuffer  = 2 << 10
	writeBuffer = 2 << 10
)

// Pool opens connections and keeps unused ones. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	clock  clockwork.Clock

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool whose connections come from the local address, or from any if it is nil.
func NewPool(local net.Addr, clock clockwork.Clock) *Pool {
	return &Pool{
		clock: clock, idle: map[string][]*Conn{},
		dialer: net.Dialer{
			Timeout: connectTimeout, LocalAddr: local, Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// Dial opens a connection that is not pooled, with the same time-outs.
func (p *Pool) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := p.dialer.DialContext(ctx, network, address)
	return c, errors.Wrapf(err, "connect to %s", address)
}

// Get returns a connection to the address: an unused one that is still sound, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.sound(p.clock.Now()) {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{
		raw: raw, address: address, br: bufio.NewReaderSize(raw, readBuffer), bw: bufio.NewWriterSize(raw, writeBuffer),
		keep: defaultIdle,
	}, nil
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if len(list) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list[:len(list)-1]
	}
	return c
}

// Put gives back a connection whose last answer was read whole. Connections that may not be used again are closed.
func (p *Pool) Put(c *Conn) {
	if !c.reusable || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.since = p.clock.Now()
	p.mu.Lock()
	full := len(p.idle[c.address]) >= maxIdlePerUpstream
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// CloseIdle closes the unused connections to the address, whose upstream has failed or gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes connections that have been unused for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now) {
				old = append(old, c)
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
	for _, c := range old {
		c.Close()
	}
}
