// Package callerconn limits how long callers' connections wait, by what each one waits for: the first byte of a request, or
// the rest of a head that has begun.
//
// net/http reports a connection as idle until the whole head of the next request has been read, so that a timeout or a drain
// that relies on this report interrupts heads that are arriving. This package follows the bytes instead. It interrupts waits, and
// what has arrived by then is read first; net/http closes the connections.
package callerconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/inbound"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

const (
	// drainPollInterval is how often Drain looks at the connections.
	drainPollInterval = 5 * time.Millisecond
	// firstRequestTime is the least time that a caller has for the first byte on a new connection, also in a drain.
	firstRequestTime = 2 * time.Second
)

// Limits are the longest waits. They may change while connections wait.
type Limits struct {
	// Idle limits the wait for the first byte of a request. A connection that waits already keeps the limit that it began
	// with if the new one is shorter.
	Idle time.Duration
	// Header limits the time from the first byte of a request's head to its end.
	Header time.Duration
	// HeaderBytes limits the bytes of a head; 0 if only net/http does.
	HeaderBytes int64
}

// Cause tells why a wait was ended.
type Cause string

// Causes of the end of a wait.
const (
	CauseIdle   Cause = "idle-timeout"
	CauseHeader Cause = "header-timeout"
	CauseStop   Cause = "stop"
	// CauseConnsFull is the first head on a connection beyond the limit on their number.
	CauseConnsFull Cause = "connections-full"
	// CauseHeadSize is a head that is too long, CauseHeadsFull one that arrives while others use up the memory for heads.
	CauseHeadSize  Cause = "head-size"
	CauseHeadsFull Cause = "heads-full"
	// CauseAmbiguous is a head whose end, or that of its body, can be understood in different ways.
	CauseAmbiguous Cause = "ambiguous"
)

// IncompleteHead describes a part of a request's head on a connection that ended before the rest had arrived. It got the refusal
// if there is a cause.
type IncompleteHead struct {
	Peer  net.Addr
	Bytes int64
	// Waited is the time since the first byte.
	Waited time.Duration
	// Cause is empty if the caller ended the connection.
	Cause Cause
}

// Options configures New. The functions must not use the tracker.
type Options struct {
	Clock  clockwork.Clock
	Limits func() Limits
	// MaxConns limits the number of connections; 0 if nothing does. The first request on one beyond it is refused.
	MaxConns int
	// Heads limits the bytes of all heads that are arriving, except the first ones of each. It is nil if nothing does.
	Heads *inbound.ByteBudget
	// Refusal returns the response to a head that is not whole when its wait ends.
	Refusal func(Cause) *http.Response
	// OnIncompleteHead is called for each connection that ends in the midst of a head, also if it got the refusal.
	OnIncompleteHead func(IncompleteHead)
	// OnAmbiguous is called for each request that can be read in different ways, once per connection.
	OnAmbiguous framing.Report
	// OnLateBytes is called when bytes arrived on a connection whose wait for them was just being ended.
	OnLateBytes func(peer net.Addr, cause Cause, waited time.Duration)
}

// Refuse returns the refusal of a request whose head is not whole when its wait ends, or that is ambiguous.
func Refuse(cause Cause, step string, retryAfter time.Duration) *outcome.Refusal {
	switch cause {
	case CauseStop:
		return outcome.Unavailable(step, "stopping", "the router stops before the head has arrived").WithRetryAfter(retryAfter)
	case CauseConnsFull:
		return outcome.Unavailable(step, "connections-full", "too many connections are open").WithRetryAfter(retryAfter)
	case CauseHeadsFull:
		return outcome.Unavailable(step, "heads-full", "too many heads are arriving").WithRetryAfter(retryAfter)
	case CauseHeadSize:
		return outcome.Refuse(step, http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the headers are too large")
	case CauseAmbiguous:
		return outcome.Refuse(step, http.StatusBadRequest, "ambiguous-request", "the end of the request can be understood in different ways")
	default:
		return outcome.Refuse(step, http.StatusRequestTimeout, "head-incomplete", "the head of the request did not arrive whole")
	}
}

// NewRefusal returns a response for Options.Refusal.
func NewRefusal(status int, header http.Header, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
}

// Tracker tracks the connections of one listener. It is safe for concurrent use.
type Tracker struct {
	options Options

	// draining is set once connections that wait for a request are ended.
	draining atomic.Bool
	// cutOff is set once heads that have not arrived whole are refused.
	cutOff atomic.Bool
	// phases counts the connections in each phase.
	phases [phaseCount]atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a tracker. The listener of Listen must be served with OnStateChange as the server's ConnState hook.
func New(o Options) *Tracker { return &Tracker{options: o, conns: map[*conn]struct{}{}} }

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http tells temporary errors by their type and goes on
	}
	return l.tracker.newConn(c), nil
}

// OnStateChange implements the ConnState hook of http.Server.
func (t *Tracker) OnStateChange(nc net.Conn, state http.ConnState) {
	c := tracked(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
		c.closed()
	}
}

// tracked returns the connection of this package that is nc or below it, or nil.
func tracked(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
}

// Drain interrupts all waits for the first byte of a request, also on connections that begin to wait later, and returns
// when no connection is open. Heads that have begun are read to their end. http.Server.Shutdown would close connections
// from which a request has been read.
func (t *Tracker) Drain(ctx context.Context) error {
	t.interruptIdle()
	for t.count() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for callers' connections")
		case <-t.options.Clock.After(drainPollInterval):
		}
	}
	return nil
}

// interruptIdle interrupts the waits for first bytes, also those that begin later.
func (t *Tracker) interruptIdle() {
	t.draining.Store(true)
	for _, c := range t.open() {
		c.interruptIdle()
	}
}

// CutOff ends the waits for the rest of heads, also of those that begin later.
func (t *Tracker) CutOff() {
	t.cutOff.Store(true)
	for _, c := range t.open() {
		c.interruptHead()
	}
}

func (t *Tracker) open() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// State counts the open connections by what they are doing.
type State struct {
	WaitingForRequest int `json:"waiting_for_request"`
	ReadingHead       int `json:"reading_head"`
	InRequest         int `json:"in_request"`
}

// State returns the number of open connections. One that enters another state meanwhile may be counted twice.
func (t *Tracker) State() State {
	return State{
		WaitingForRequest: int(t.phases[waitFirstByte].Load()), ReadingHead: int(t.phases[readHead].Load()),
		InRequest: int(t.phases[inRequest].Load()),
	}
}

func (t *Tracker) newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, tracker: t, scanner: framing.NewScanner()}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.begin(waitFirstByte) // a drain that begins now sees the connection, or this sees the drain
	t.conns[c] = struct{}{}
	return c
}

func (t *Tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// full reports whether more connections are open than there may be.
func (t *Tracker) full() bool { return t.options.MaxConns > 0 && t.count() > t.options.MaxConns }

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}
