package upconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const (
	unframedHead  = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	unframedText  = "order confirmed, 2000 sacks"
	unframedHalf  = "order confirmed"
	longBodyBytes = 16 << 20 // more than the socket buffers hold
)

// brokenConn is a connection that the upstream resets while the request is being written. The write receives the error, so
// that the read sees a normal end, as the kernel reports it.
type brokenConn struct {
	net.Conn
	text    *strings.Reader
	written chan struct{} // closed when the write begins
	once    sync.Once
	reset   chan struct{}
}

func (c *brokenConn) Read(p []byte) (int, error) {
	<-c.written
	n, err := c.text.Read(p)
	if err != nil {
		c.once.Do(func() { close(c.reset) })
	}
	return n, err
}

func (c *brokenConn) Write([]byte) (int, error) {
	close(c.written)
	<-c.reset
	time.Sleep(10 * time.Millisecond) // the read may see the end before the write has returned
	return 0, syscall.ECONNRESET
}

func (*brokenConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a response without a length that looks whole although the upstream was reset in the middle of it.
func TestResetThatTheWriteReceivesBreaksResponse(t *testing.T) {
	is := is.New(t)
	raw := &brokenConn{text: strings.NewReader(unframedHead + unframedHalf), written: make(chan struct{}), reset: make(chan struct{})}
	c := newConn(raw, "upstream")
	body := make([]byte, longBodyBytes)
	resp, err := c.RoundTrip(request(body), body, matchesID)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(string(text), unframedHalf)
}

// unframedServer answers requests without a length before it has read their bodies. It sends the parts of the response with
// a pause between them and calls end.
func unframedServer(t *testing.T, parts []string, end func(c *net.TCPConn)) string {
	return startServer(t, func(raw net.Conn) {
		c := raw.(*net.TCPConn)
		defer c.Close()
		_ = c.SetReadBuffer(8 << 10)
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(c, unframedHead)
		for _, part := range parts {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, part)
		}
		time.Sleep(5 * time.Millisecond)
		end(c)
	})
}

func reset(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }

// Guards against the same through the kernel, and against whole responses that are taken for broken ones because the
// request was still being written.
func TestEndOfUnframedResponseBesideRequest(t *testing.T) {
	const tries = 30
	for _, tt := range []struct {
		name  string
		parts []string
		end   func(c *net.TCPConn)
		whole bool
	}{
		{"reset in the middle", []string{unframedHalf}, reset, false},
		{"reset before the first byte", nil, reset, false},
		{"closed for writing, and the body read to its end", []string{unframedText}, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		{"closed for writing, and the body not read", []string{unframedText}, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}, true},
	} {
		for _, size := range []int{100, 64 << 10, 1 << 20, longBodyBytes} {
			t.Run(fmt.Sprintf("%s, %d bytes", tt.name, size), func(t *testing.T) {
				address := unframedServer(t, tt.parts, tt.end)
				p, body := NewPool(nil, clockwork.NewRealClock()), bytes.Repeat([]byte("x"), size)
				for range tries {
					c, err := p.Get(context.Background(), address)
					if err != nil {
						t.Fatal(err)
					}
					text, err := readUnframed(c, body)
					if tt.whole != (err == nil) || tt.whole && text != unframedText {
						t.Errorf("response %q, error %v", text, err)
					}
					c.Close()
				}
			})
		}
	}
}

// readUnframed sends the body and returns the response's body as far as it came.
func readUnframed(c *Conn, body []byte) (string, error) {
	resp, err := c.RoundTrip(request(body), body, matchesID)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
