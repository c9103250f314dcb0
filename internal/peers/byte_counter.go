package peers

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ByteCounter counts the bytes on the connections that it dials.
type ByteCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// ByteCounterState is the counter's section of the state dump.
type ByteCounterState struct {
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

// Dial wraps dial so that the bytes on its connections are counted.
func (c *ByteCounter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, counter: c}, nil
	}
}

// State returns the counts.
func (c *ByteCounter) State() ByteCounterState {
	return ByteCounterState{Sent: c.sent.Load(), Received: c.received.Load()}
}

type countingConn struct {
	net.Conn
	counter *ByteCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
