package transport

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrSilent is returned by an answer's body that stayed silent for too long.
var ErrSilent = errors.New("answer stayed silent for too long")

// silenceGuard closes an answer's body when no byte arrives for the allowed time, which ends the pending Read.
type silenceGuard struct {
	body  io.ReadCloser
	limit time.Duration
	timer *time.Timer
	fired chan struct{}
}

func newSilenceGuard(body io.ReadCloser, limit time.Duration) *silenceGuard {
	g := &silenceGuard{body: body, limit: limit, fired: make(chan struct{})}
	g.timer = time.AfterFunc(limit, func() {
		close(g.fired)
		g.body.Close()
	})
	return g
}

// Read returns ErrSilent after the guard has closed the body.
func (g *silenceGuard) Read(p []byte) (int, error) {
	n, err := g.body.Read(p)
	select {
	case <-g.fired:
		return n, ErrSilent
	default:
	}
	if err == nil {
		g.timer.Reset(g.limit)
	}
	return n, err
}

// Close stops the guard and closes the body.
func (g *silenceGuard) Close() error {
	g.timer.Stop()
	return errors.Wrap(g.body.Close(), "close answer")
}

// cancellingBody ends its request's context when the answer is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
