package callerconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against a request that is reset because its connection has not been accepted when the address is closed.
func TestQueuedConnectionsAreAcceptedBeforeClose(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var callers []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "request")
		is.NoErr(err)
		callers = append(callers, c)
	}
	go func() {
		time.Sleep(acceptTime / 5) // as if the process were not scheduled
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, len("request")))
			_, _ = io.WriteString(c, "response")
			c.Close()
		}
	}()
	is.NoErr(CloseListener(l, clockwork.NewRealClock()))
	for _, c := range callers {
		raw, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(string(raw), "response")
	}
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}

// A listener whose connections nobody accepts is closed in time.
func TestCloseOfListenerIsBounded(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	start := time.Now()
	is.NoErr(CloseListener(l, clockwork.NewRealClock()))
	is.True(time.Since(start) < 10*acceptTime)
}
