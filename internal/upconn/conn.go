package upconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/rawsocket"
)

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	raw     net.Conn
	address string
	head    *headLimiter
	br      *bufio.Reader // reads from head
	out     *errorRecorder
	bw      *bufio.Writer // writes to out
	// Reused is set if the connection has carried a request before.
	Reused bool
	// WriteStarted is set once a byte of the current request may have been sent.
	WriteStarted bool
	reusable     bool
	// unackedTimeout is the connection's present TCP_USER_TIMEOUT.
	unackedTimeout time.Duration
	// idleSince is when the last response had been read, or else the connection had been established.
	idleSince time.Time
	// pool is nil outside a pool. It guards servedSince.
	pool *Pool
	// establishedAt is when the connection had been established, and servedSince a time since which the process at its other end
	// has served.
	establishedAt, servedSince time.Time
}

// maxInlineBodyBytes is the largest body that is written before the response is read. It fits into the socket's send
// buffer, so that the write does not block on the upstream.
const maxInlineBodyBytes = 8 << 10

// Address is the address to which the connection leads.
func (c *Conn) Address() string { return c.address }

// Close closes the connection; pending reads and writes fail.
func (c *Conn) Close() {
	_ = c.raw.Close()
	if c.pool != nil {
		c.pool.remove(c)
	}
}

// healthy reports whether an idle connection can carry a request: the upstream has neither closed it nor sent
// anything.
func (c *Conn) healthy() bool {
	socket, ok := rawsocket.Of(c.raw)
	if !ok {
		return false
	}
	noData := false
	err := socket.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// ResponseMatcher reports whether a response belongs to the request.
type ResponseMatcher func(status int, header http.Header) bool

// RoundTrip sends the request and returns the first response that belongs to it. The response's body must be read to
// its end before Put. After an error, WriteStarted shows whether any byte may have been sent.
func (c *Conn) RoundTrip(req *http.Request, body []byte, matches ResponseMatcher) (*http.Response, error) {
	if err := c.adjustTimeout(len(body)); err != nil {
		return nil, err
	}
	c.WriteStarted, c.reusable = true, false
	w := &requestWrite{done: make(chan struct{})}
	if len(body) <= maxInlineBodyBytes {
		if err := c.write(req); err != nil {
			return nil, err
		}
		close(w.done)
	} else {
		go func() {
			w.err = c.write(req)
			close(w.done)
		}()
	}
	resp, err := c.read(req, matches)
	if err != nil {
		return nil, err
	}
	c.recordKeepAlive(resp)
	if endsWithConnection(resp) {
		resp.Body = &endChecker{ReadCloser: resp.Body, check: func() error { return c.checkEnd(w) }}
	}
	resp.Body = &eofNotifier{ReadCloser: resp.Body, onEOF: func() { c.endResponse(!resp.Close && w.succeeded()) }}
	return resp, nil
}

// adjustTimeout sets the TCP_USER_TIMEOUT that a request with a body of the size needs.
func (c *Conn) adjustTimeout(size int) error {
	timeout := unackedTimeout
	if size > maxShortBodyBytes {
		timeout = longBodyTimeout
	}
	conn, ok := c.raw.(syscall.Conn)
	if !ok || timeout == c.unackedTimeout {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, timeout)
	}
	if err != nil {
		return errors.Wrapf(err, "prepare request to %s", c.address)
	}
	c.unackedTimeout = timeout
	return nil
}

// requestWrite is the writing of a request, which may go on while the response is read.
type requestWrite struct {
	done chan struct{}
	err  error // set before done is closed
}

// succeeded reports whether the whole request has been written.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// endsWithConnection reports whether the end of the connection is all that tells the end of the response's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkEnd returns an error if the connection was broken off rather than closed, once its end has been read. The kernel reports
// a broken connection once: if the write has received that error, the read sees a normal end.
func (c *Conn) checkEnd(w *requestWrite) error {
	// A write that still waits for the upstream ends at once and says whether it received an error before.
	if err := c.raw.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrapf(err, "end the request to %s", c.address)
	}
	<-w.done
	if w.err == nil || errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errors.Wrapf(w.err, "response of %s ended with a broken connection", c.address)
}

func (c *Conn) write(req *http.Request) error {
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if c.out.err != nil {
		err = c.out.err // net/http hides the cause of the error
	}
	return errors.Wrapf(err, "send to %s", c.address)
}

// errorRecorder is a writer that keeps its first error.
type errorRecorder struct {
	io.Writer
	err error
}

// Write implements io.Writer.
func (r *errorRecorder) Write(p []byte) (int, error) {
	n, err := r.Writer.Write(p)
	if r.err == nil {
		r.err = err
	}
	return n, err
}

// read returns the next response that belongs to the request and discards those that do not.
func (c *Conn) read(req *http.Request, matches ResponseMatcher) (*http.Response, error) {
	for range maxUnmatchedResponses {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, errors.Wrapf(shortError(err), "read response from %s", c.address)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if err := discardUnmatched(resp.Body); err != nil {
			return nil, errors.Wrapf(err, "discard a response of %s to another request", c.address)
		}
	}
	return nil, errors.Errorf("read response from %s: received only responses to other requests", c.address)
}

// readHead returns the next response. The raw head is checked too, because net/http does not tell that it had both lengths.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller adds the upstream
	}
	c.head.begin(buffered)
	defer c.head.end()
	resp, err := http.ReadResponse(c.br, req)
	if err == nil {
		err = framing.CheckResponse(c.head.seen)
	}
	return resp, err //nolint:wrapcheck // the caller adds the upstream
}

// endResponse records that the response has been read to its end.
func (c *Conn) endResponse(reusable bool) {
	c.reusable = reusable
	if c.pool != nil {
		c.idleSince = c.pool.clock.Now()
	}
}

// recordKeepAlive derives the idle timeout from the timeout in the response's Keep-Alive header, if there is one.
func (c *Conn) recordKeepAlive(resp *http.Response) {
	if c.pool == nil {
		return
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.ParseFloat(value, 64)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			seconds = min(seconds, maxIdleTimeout.Seconds())
			c.pool.setIdleTimeout(c.address, time.Duration(idleTimeoutFraction*seconds*float64(time.Second)))
		}
	}
}

// endChecker returns the error of check in place of the end of a response body.
type endChecker struct {
	io.ReadCloser
	check func() error
}

// Read implements io.Reader.
func (b *endChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := b.check(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// eofNotifier calls onEOF when a response body has been read to its end.
type eofNotifier struct {
	io.ReadCloser
	onEOF func()
}

func (b *eofNotifier) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEOF()
	}
	return n, err
}
