package upconn

import (
	"context"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against idle connections that are forgotten when another one to the same address is taken or has been looked at.
func TestIdleConnectionsOfOneAddressAreKept(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, respondWith(okResponse(""), okResponse("")))
	var conns [3]*Conn
	for i := range conns {
		c, err := p.Get(context.Background(), address)
		is.NoErr(err)
		resp, err := c.RoundTrip(request(nil), nil, matchesID)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		conns[i] = c
	}
	for _, c := range conns {
		p.Put(c, MaxIdlePerUpstream)
	}
	p.CloseExpired()
	is.Equal(p.idleCount(address), len(conns))
	for range conns {
		c, err := p.Get(context.Background(), address)
		is.NoErr(err)
		is.True(c.Reused)
	}
}
