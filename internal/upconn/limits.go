package upconn

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Limits on what an upstream may send besides the body of the response.
const (
	// maxHeadBytes limits the status line and the headers of one response, and of an informational one.
	maxHeadBytes = 64 << 10
	// maxErrorBytes limits the text of an error that quotes the upstream.
	maxErrorBytes = 512
	// maxUnmatchedBytes limits the bytes that are read and discarded of one response that belongs to another request.
	maxUnmatchedBytes = 1 << 20
	// maxUnmatchedResponses limits how many responses are read in search of the one that belongs to the request.
	maxUnmatchedResponses = 4
	// maxDiscardBytes and maxDiscardTime limit the reading of a body that is not needed, after which the connection
	// could be reused. A new connection costs less than a longer wait.
	maxDiscardBytes = 16 << 10
	maxDiscardTime  = 50 * time.Millisecond
)

// ErrResponseTooLarge is the cause of the error for a response that exceeds a limit. Whether the upstream executed the
// request is unknown.
var ErrResponseTooLarge = errors.New("response exceeds a size limit")

// shortError returns the error, or one with the beginning of its text if that is long. net/http quotes whole lines of what it
// cannot parse.
func shortError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.Errorf("%s... (%d bytes)", text[:maxErrorBytes], len(text))
	}
	return err
}

// headLimiter is a reader that fails once more than maxHeadBytes have been read since begin, until end is called.
type headLimiter struct {
	io.Reader
	active bool
	left   int
	// seen is what was read since begin, after the bytes that had been read before.
	seen []byte
}

func (l *headLimiter) begin(before []byte) {
	l.active, l.left, l.seen = true, maxHeadBytes, append(l.seen[:0], before...)
}

func (l *headLimiter) end() {
	l.active = false
	if cap(l.seen) > readBufferBytes {
		l.seen = nil
	}
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.Reader.Read(p)
	}
	if l.left == 0 {
		return 0, errors.Wrapf(ErrResponseTooLarge, "head is longer than %d bytes", maxHeadBytes)
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.seen = append(l.seen, p[:n]...)
	return n, err
}

// discardUnmatched reads the body of a response to another request to its end, which is where the next response begins.
func discardUnmatched(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		err = errors.Wrapf(ErrResponseTooLarge, "body is longer than %d bytes", maxUnmatchedBytes)
	}
	return err
}

// Discard reads a body that is not needed, so that the connection can be reused. It reports whether the whole body was
// read within the limits; otherwise the connection must be closed.
func (c *Conn) Discard(resp *http.Response) bool {
	if resp.ContentLength > maxDiscardBytes {
		return false
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes+1))
	return err == nil && n <= maxDiscardBytes && c.raw.SetReadDeadline(time.Time{}) == nil
}
