package callerconn

import (
	"net"

	"github.com/pkg/errors"
)

// maxIgnoredBytes limits what is read after an ambiguous request while the response to an earlier one is written.
const maxIgnoredBytes = 64 << 10

// ErrAmbiguousBody is the error of reading a body that can be understood in different ways.
var ErrAmbiguousBody = errors.New("the body's end is ambiguous")

// readAmbiguous takes the place of a read once a request is ambiguous. net/http has received a part of its head or body.
func (c *conn) readAmbiguous(p []byte) (int, error) {
	refused, running := c.recordAmbiguous()
	switch {
	case refused:
		c.refuse(CauseAmbiguous)
		return 0, net.ErrClosed
	case !running:
		return 0, net.ErrClosed
	case c.scanner.InBody():
		return 0, ErrAmbiguousBody
	}
	return c.ignoreBytes(p)
}

// recordAmbiguous reports whether the request must be refused now, and whether the handler of a request is running.
func (c *conn) recordAmbiguous() (refuse, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ambiguous {
		c.ambiguous = true
		c.tracker.options.OnAmbiguous(c.RemoteAddr(), c.scanner.Reason())
	}
	if c.phase == inRequest || c.refused {
		return false, c.phase == inRequest
	}
	if c.phase == waitFirstByte {
		c.begin(readHead)
	}
	c.interrupted, c.failed, c.refused = CauseAmbiguous, true, true
	return true, false
}

// ignoreBytes reads until the connection ends, as net/http does beside a handler that runs. The request before the ambiguous one is
// not affected.
func (c *conn) ignoreBytes(p []byte) (int, error) {
	for ignored := 0; ignored < maxIgnoredBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return 0, err //nolint:wrapcheck // net/http compares the errors of a connection
		}
		ignored += n
	}
	return 0, net.ErrClosed
}
