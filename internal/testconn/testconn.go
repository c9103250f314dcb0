// Package testconn holds the ends of connections that tests play: callers that write requests in parts, and listeners.
package testconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// defaultWait is how long a caller waits for a response.
const defaultWait = 20 * time.Second

// Caller is a caller that writes its requests in parts.
type Caller struct {
	Conn   *net.TCPConn
	Reader *bufio.Reader
	// Wait is how long Status waits.
	Wait time.Duration
	t    testing.TB
}

// Dial returns a caller that is connected to the address until the end of the test.
func Dial(t testing.TB, address string) *Caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &Caller{Conn: c.(*net.TCPConn), Reader: bufio.NewReader(c), Wait: defaultWait, t: t}
}

// Write writes the text, or ends the test.
func (c *Caller) Write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// Status reads one response and returns its status, or 0 if the connection ends without a whole one.
func (c *Caller) Status() int {
	c.t.Helper()
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.Wait)); err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Listen passes the connections to the address to serve until the end of the test, and returns the address with its port.
func Listen(t testing.TB, address string, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}
