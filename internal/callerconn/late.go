package callerconn

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/orioleusher/orioleusher/internal/rawsocket"
)

// lateBytesTime limits how long bytes are looked for after an interrupt, so that a head that trickles ends.
const lateBytesTime = time.Second

// mayHaveLateBytes reports whether bytes may have arrived before the connection was interrupted: a deadline that has passed
// hides them, for instance after this process has stood still.
func (c *conn) mayHaveLateBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted == "" || c.failed {
		return false
	}
	now := c.tracker.options.Clock.Now()
	if c.lateSince.IsZero() {
		c.lateSince = now
	}
	return now.Sub(c.lateSince) < lateBytesTime
}

// readLateBytes reads what has arrived, without waiting.
func (c *conn) readLateBytes(p []byte) (int, error) {
	c.setDeadline(time.Time{})
	defer c.resetDeadline()
	socket, ok := rawsocket.Of(c.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	var n int
	var readErr error
	err := socket.Read(func(fd uintptr) bool {
		n, readErr = ignoreInterrupts(func() (int, error) { return unix.Read(int(fd), p) })
		return true
	})
	switch {
	case err != nil:
		return 0, errors.Wrap(err, "read from interrupted connection")
	case errors.Is(readErr, unix.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// hasUnread reports whether bytes have arrived and have not been read.
func (c *conn) hasUnread() bool {
	socket, ok := rawsocket.Of(c.Conn)
	if !ok {
		return false
	}
	unread := false
	err := socket.Control(func(fd uintptr) {
		var one [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = recvErr == nil && n > 0
	})
	return err == nil && unread
}

// ignoreInterrupts repeats a system call while a signal interrupts it.
func ignoreInterrupts(call func() (int, error)) (int, error) {
	for {
		if n, err := call(); !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}
