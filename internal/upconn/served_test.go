package upconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// echo sends back what it reads.
func echo(c net.Conn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

// exchange sends a byte and waits for its echo.
func exchange(t *testing.T, c *Conn) {
	t.Helper()
	if _, err := c.raw.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c.raw, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against a process that counts as having served for less time than it has: connections to it that are still answered
// are older.
func TestConnectionsToOneProcessServeEquallyLong(t *testing.T) {
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, echo)
	first := get(t, p, address)
	second := get(t, p, address)
	for deadline := time.Now().Add(5 * time.Second); ; {
		exchange(t, first)
		if second.ServedSince().Equal(first.ServedSince()) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the second connection's process counts as a younger one")
		}
	}
	third := get(t, p, address)
	first.Close()
	exchange(t, third)
	since := second.ServedSince()
	second.Close()
	is.New(t).Equal(second.ServedSince(), since) // known for good
}

// Guards against a process that counts as the one before it at the same address: the connections to that one were reset, or
// nothing has been heard on them since.
func TestNextProcessDoesNotInheritTime(t *testing.T) {
	for _, how := range []string{"reset", "closed", "silent"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(nil, clockwork.NewRealClock())
			accepted := make(chan net.Conn, 2)
			address := startServer(t, func(c net.Conn) { accepted <- c })
			first := get(t, p, address)
			c := (<-accepted).(*net.TCPConn)
			defer c.Close()
			switch how {
			case "reset":
				is.NoErr(c.SetLinger(0))
				is.NoErr(c.Close())
			case "closed":
				is.NoErr(c.Close())
			}
			if how != "silent" {
				_, err := first.raw.Read(make([]byte, 1)) // the end has arrived
				is.True(err != nil)
			}
			second := get(t, p, address)
			defer (<-accepted).Close()
			for range 20 {
				is.True(second.ServedSince().After(first.ServedSince()))
				time.Sleep(heardSlack / 4)
			}
		})
	}
}

// Guards against a connection to which nothing was sent and that is closed, or counts as used, once it is put back.
func TestUnusedConnectionIsKept(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, echo)
	c := get(t, p, address)
	p.PutUnused(c)
	again := get(t, p, address)
	is.True(c == again)
	is.True(!again.Reused)
	c.Close()
	is.Equal(len(p.open), 0)
}
