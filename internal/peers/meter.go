package peers

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Meter counts the bytes on the connections that it dials.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// MeterState is the meter's part of the state dump.
type MeterState struct {
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

// Dial returns dial with its connections counted.
func (m *Meter) Dial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// State returns the counts.
func (m *Meter) State() MeterState {
	return MeterState{Sent: m.sent.Load(), Received: m.received.Load()}
}

type meteredConn struct {
	net.Conn
	meter *Meter
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
