// Package idletimeout applies an idle timeout to response bodies.
package idletimeout

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrIdleTimeout is returned by Read when a response body delivered no data within its idle timeout.
var ErrIdleTimeout = errors.New("no response data within the idle timeout")

// WithIdleTimeout returns a body that is closed, and whose Read returns ErrIdleTimeout, when a Read gets no byte within the
// limit. The time between reads does not count, in which a slow receiver takes what has been read.
func WithIdleTimeout(body io.ReadCloser, limit time.Duration) io.ReadCloser {
	return &idleTimeoutBody{body: body, limit: limit}
}

type idleTimeoutBody struct {
	body  io.ReadCloser
	limit time.Duration

	mu sync.Mutex
	// reads counts the reads, and timer is that of the present one; nil between reads.
	reads   int
	timer   *time.Timer
	expired bool
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	b.begin()
	n, err := b.body.Read(p)
	if b.end() && !errors.Is(err, io.EOF) {
		return n, ErrIdleTimeout
	}
	return n, err
}

// begin starts the timer of a read.
func (b *idleTimeoutBody) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads++
	read := b.reads
	b.timer = time.AfterFunc(b.limit, func() { b.expire(read) })
}

// expire closes the body if the read has not returned. The read returns the error of the closed body.
func (b *idleTimeoutBody) expire(read int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer != nil && b.reads == read {
		b.expired = true
		_ = b.body.Close()
	}
}

// end stops the timer of a read, and reports whether one has expired.
func (b *idleTimeoutBody) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer.Stop()
	b.timer = nil
	return b.expired
}

// Close closes the body.
func (b *idleTimeoutBody) Close() error {
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
