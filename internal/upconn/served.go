package upconn

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/orioleusher/orioleusher/internal/rawsocket"
)

// tcpEstablished is the state of a TCP connection that neither end has closed.
const tcpEstablished = 1

// ServedSince returns a time since which the process at the other end has served; at the latest, that is when the connection was
// established. If an older connection to the same address was heard of later, both lead to the same process, since connections
// end with their process.
func (c *Conn) ServedSince() time.Time {
	if c.pool == nil {
		return c.establishedAt
	}
	for _, elder := range c.pool.elders(c) {
		if elder.heardAfter(c.establishedAt) {
			c.pool.inherit(c, elder)
		}
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.servedSince
}

// heardAfter reports whether the other end is known to have had the connection open at the given time or later.
func (c *Conn) heardAfter(at time.Time) bool {
	socket, ok := rawsocket.Of(c.raw)
	if !ok {
		return false
	}
	now := c.pool.clock.Now()
	var info *unix.TCPInfo
	var err error
	controlErr := socket.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlErr != nil || err != nil || info.State != tcpEstablished {
		return false
	}
	silent := time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
	return now.Add(-silent - heardSlack).After(at)
}

// heardSlack is the accuracy of the kernel's times of what was last received.
const heardSlack = 10 * time.Millisecond
