package upconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is one connection to an upstream. It serves one request at a time.
type Conn struct {
	raw     net.Conn
	address string
	br      *bufio.Reader
	bw      *bufio.Writer
	// Reused is set if the connection carried a request before.
	Reused bool
	// WriteStarted is set once a byte of the present request may have left.
	WriteStarted bool
	reusable     bool
	// keep is how long the connection may stay unused.
	keep  time.Duration
	since time.Time
}

// inlineBody is the largest body that is written before the answer is awaited: it fits the socket's buffer, so that the
// write does not wait for the upstream.
const inlineBody = 8 << 10

// maxStrayBytes bounds the answers to other requests that are read past.
const maxStrayBytes = 1 << 20

// maxStray bounds how many answers to other requests are read past.
const maxStray = 4

// Close closes the connection; pending reads and writes fail.
func (c *Conn) Close() { _ = c.raw.Close() }

// expired reports whether the connection was unused for too long.
func (c *Conn) expired(now time.Time) bool { return now.Sub(c.since) > c.keep }

// sound reports whether an unused connection can take a request: the upstream has neither closed it nor sent anything.
func (c *Conn) sound(now time.Time) bool {
	if c.expired(now) {
		return false
	}
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = sc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// ResponseMatcher says whether an answer is that of the request.
type ResponseMatcher func(status int, header http.Header) bool

// RoundTrip sends the request and returns the first answer that belongs to it. The answer's body must be read to its
// end before Put; Started tells whether any byte may have left.
func (c *Conn) RoundTrip(req *http.Request, body []byte, belongs ResponseMatcher) (*http.Response, error) {
	c.WriteStarted, c.reusable = true, false
	var writing atomic.Bool
	if len(body) <= inlineBody {
		if err := c.write(req); err != nil {
			return nil, err
		}
	} else {
		writing.Store(true)
		go func() {
			// A failed write shows as a failed read of the answer.
			if c.write(req) == nil {
				writing.Store(false)
			}
		}()
	}
	resp, err := c.read(req, belongs)
	if err != nil {
		return nil, err
	}
	c.noteKeepAlive(resp)
	resp.Body = &wholeBody{ReadCloser: resp.Body, done: func() { c.reusable = !resp.Close && !writing.Load() }}
	return resp, nil
}

func (c *Conn) write(req *http.Request) error {
	if err := req.Write(c.bw); err != nil {
		return errors.Wrapf(err, "send to %s", c.address)
	}
	return errors.Wrapf(c.bw.Flush(), "send to %s", c.address)
}

// read returns the next answer that belongs to the request, past those that do not.
func (c *Conn) read(req *http.Request, belongs ResponseMatcher) (*http.Response, error) {
	for range maxStray {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, errors.Wrapf(err, "read answer of %s", c.address)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if belongs(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, errors.Wrapf(err, "read past another answer of %s", c.address)
		}
	}
	return nil, errors.Errorf("read answer of %s: only answers to other requests", c.address)
}

// noteKeepAlive keeps how long the upstream leaves an unused connection open.
func (c *Conn) noteKeepAlive(resp *http.Response) {
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.keep = time.Duration(idlePart * seconds * float64(time.Second))
		}
	}
}

// wholeBody tells when an answer was read to its end.
type wholeBody struct {
	io.ReadCloser
	done func()
}

func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.done()
	}
	return n, err
}
