// Package rawsocket reaches the sockets of connections and listeners.
package rawsocket

import (
	"syscall"

	"github.com/pkg/errors"
)

// HasEnded reports whether the other end of the connection has closed or reset it, and everything that it sent has been read.
func HasEnded(c any) bool {
	socket, ok := Of(c)
	if !ok {
		return false
	}
	ended := false
	err := socket.Control(func(fd uintptr) { // Read would wait for a pending one
		var one [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && recvErr == nil || errors.Is(recvErr, syscall.ECONNRESET) || errors.Is(recvErr, syscall.ETIMEDOUT)
	})
	return err == nil && ended
}

// Of returns the socket of a connection or a listener; ok is false if it has none.
func Of(c any) (socket syscall.RawConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	socket, err := sc.SyscallConn()
	return socket, err == nil
}
