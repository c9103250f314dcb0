// Package rawsocket reaches the sockets of connections and listeners.
package rawsocket

import "syscall"

// Of returns the socket of a connection or a listener; ok is false if it has none.
func Of(c any) (socket syscall.RawConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	socket, err := sc.SyscallConn()
	return socket, err == nil
}
