package callerconn

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/orioleusher/orioleusher/internal/rawsocket"
)

const (
	// acceptTime limits the wait until the connections in the accept queue have been accepted.
	acceptTime = 100 * time.Millisecond
	// acceptPollInterval is how often the accept queue is looked at.
	acceptPollInterval = time.Millisecond
)

// CloseListener closes the listener once the connections in its accept queue have been accepted. The kernel resets those that
// have not, although their requests may have arrived whole.
func CloseListener(l net.Listener, clock clockwork.Clock) error {
	for start := clock.Now(); hasQueued(l) && clock.Since(start) < acceptTime; {
		clock.Sleep(acceptPollInterval)
	}
	return errors.Wrapf(l.Close(), "close address %s", l.Addr())
}

// hasQueued reports whether a connection waits to be accepted.
func hasQueued(l net.Listener) bool {
	socket, ok := rawsocket.Of(l)
	if !ok {
		return false
	}
	queued := false
	err := socket.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		queued = pollErr == nil && n > 0
	})
	return err == nil && queued
}
