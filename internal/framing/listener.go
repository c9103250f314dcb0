package framing

import (
	"net"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Report is called with the peer and the reason of an ambiguous request.
type Report func(peer net.Addr, reason Reason)

// NewReport returns a function that logs and counts the ambiguous requests to a server.
func NewReport(server string, log zerolog.Logger, scope tally.Scope) Report {
	return func(peer net.Addr, reason Reason) {
		scope.Tagged(map[string]string{"server": server, "reason": string(reason)}).Counter("ambiguous_requests").Inc(1)
		log.Warn().Str("event", "ambiguous-request").Str("server", server).Stringer("peer", peer).Str("reason", string(reason)).
			Str("outcome", "not-run").Send()
	}
}

// Listen returns a listener on whose connections reads fail at an ambiguous request, so that net/http responds with 400 to a head
// and closes the connection.
func Listen(l net.Listener, report Report) net.Listener {
	return &listener{Listener: l, report: report}
}

type listener struct {
	net.Listener
	report Report
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http tells temporary errors by their type and goes on
	}
	return &conn{Conn: c, scanner: NewScanner(), report: l.report}, nil
}

// conn is a connection whose requests are scanned.
type conn struct {
	net.Conn
	scanner  Scanner
	report   Report
	reported bool
}

// NetConn returns the connection that is scanned, as that of a tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.scanner.Reason() != "" {
		return 0, c.fail()
	}
	n, err := c.Conn.Read(p)
	usable := c.scanner.Scan(p[:n])
	switch {
	case usable == n:
		return n, err //nolint:wrapcheck // net/http compares the errors of a connection
	case usable > 0:
		return usable, nil
	default:
		return 0, c.fail()
	}
}

func (c *conn) fail() error {
	if !c.reported {
		c.reported = true
		c.report(c.RemoteAddr(), c.scanner.Reason())
	}
	return errors.Errorf("read request of %s: ambiguous: %s", c.RemoteAddr(), c.scanner.Reason())
}

// CloseWrite lets net/http close the connection without losing its last response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "close connection for writing")
	}
	return nil
}
