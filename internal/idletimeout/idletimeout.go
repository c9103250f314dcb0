// Package idletimeout applies an idle timeout to response bodies.
package idletimeout

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrIdleTimeout is returned by Read when a response body delivered no data within its idle timeout.
var ErrIdleTimeout = errors.New("no response data within the idle timeout")

// WithIdleTimeout returns a body that is closed, and whose Read returns ErrIdleTimeout, when no byte arrives within the
// limit.
func WithIdleTimeout(body io.ReadCloser, limit time.Duration) io.ReadCloser {
	b := &idleTimeoutBody{body: body, limit: limit}
	b.timer = time.AfterFunc(limit, func() {
		b.expired.Store(true)
		// The pending Read returns the error of the closed body.
		_ = b.body.Close()
	})
	return b
}

type idleTimeoutBody struct {
	body    io.ReadCloser
	limit   time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.expired.Load() {
		return n, ErrIdleTimeout
	}
	if err == nil {
		b.timer.Reset(b.limit)
	}
	return n, err
}

// Close stops the timer and closes the body.
func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	return errors.Wrap(b.body.Close(), "close response body")
}

// OnClose returns a body that calls done after it has been closed.
func OnClose(body io.ReadCloser, done func()) io.ReadCloser {
	return &notifyingBody{ReadCloser: body, done: done}
}

type notifyingBody struct {
	io.ReadCloser
	done func()
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	defer b.done()
	return b.ReadCloser.Close()
}
