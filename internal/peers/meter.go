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

// ByteCounterState is the meter's part of the state dump.
type ByteCounterState struct {
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

// Dial returns dial with its connections counted.
func (m *ByteCounter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// State returns the counts.
func (m *ByteCounter) State() ByteCounterState {
	return ByteCounterState{Sent: m.sent.Load(), Received: m.received.Load()}
}

type meteredConn struct {
	net.Conn
	meter *ByteCounter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	return n, err
}
