// Package silence ends answers on connections that went silent.
package silence

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrIdleTimeout is returned by an answer's body that stayed silent for too long.
var ErrIdleTimeout = errors.New("answer stayed silent for too long")

// WithIdleTimeout returns a body that is closed, and whose Read returns ErrSilent, when no byte arrives for the limit.
func WithIdleTimeout(body io.ReadCloser, limit time.Duration) io.ReadCloser {
	g := &guard{body: body, limit: limit}
	g.timer = time.AfterFunc(limit, func() {
		g.fired.Store(true)
		// The pending Read returns the error of the closed body.
		_ = g.body.Close()
	})
	return g
}

type guard struct {
	body  io.ReadCloser
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// Read implements io.Reader.
func (g *guard) Read(p []byte) (int, error) {
	n, err := g.body.Read(p)
	if g.fired.Load() {
		return n, ErrIdleTimeout
	}
	if err == nil {
		g.timer.Reset(g.limit)
	}
	return n, err
}

// Close stops the guard and closes the body.
func (g *guard) Close() error {
	g.timer.Stop()
	return errors.Wrap(g.body.Close(), "close answer")
}

// OnClose returns a body that calls done after it was closed.
func OnClose(body io.ReadCloser, done func()) io.ReadCloser {
	return &closing{ReadCloser: body, done: done}
}

type closing struct {
	io.ReadCloser
	done func()
}

// Close implements io.Closer.
func (c *closing) Close() error {
	defer c.done()
	return c.ReadCloser.Close()
}
