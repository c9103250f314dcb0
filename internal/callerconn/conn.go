package callerconn

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/framing"
)

const (
	// refusalWriteTime and lingerTime limit the writing of a refusal, and the wait for a caller that still sends after it.
	refusalWriteTime = 300 * time.Millisecond
	lingerTime       = 200 * time.Millisecond
)

// phase is what a connection is doing.
type phase int

const (
	// untracked is the phase before the first and after the last one.
	untracked phase = iota
	waitFirstByte
	readHead
	// inRequest lasts from the end of the head until the response has been written. Deadlines are those of the handler.
	inRequest
	phaseCount
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	tracker *Tracker
	// scanner has read the same bytes as net/http, and those of the present read.
	scanner framing.Scanner

	mu sync.Mutex
	// phase began at since. timer, if any, limits it.
	phase phase
	since time.Time
	timer clockwork.Timer
	// interrupted is why the phase was interrupted; empty if it was not. lateSince is when bytes were first looked for after
	// that.
	interrupted Cause
	lateSince   time.Time
	// failed is set once a read between requests has returned an error, after which net/http ends the connection.
	failed bool
	// refused is set once a head that is not whole is refused, after which nothing else may be written.
	refused bool
	// ambiguous is set once an ambiguous request has been reported.
	ambiguous bool
	// served is set once a request has been read.
	served bool
	// headBytes is the number of bytes of the head that have been read.
	headBytes int64
	// reserved is the part of headBytes that counts against the budget for heads.
	reserved int64
	// lastRead holds the last bytes that were read, of which net/http may have some still to use.
	lastRead [peekBytes]byte
	// deadline is the read deadline that net/http has asked for outside of requests, and deadlinesSet how often it has in the
	// present phase.
	deadline     time.Time
	deadlinesSet int
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.scanner.Reason() != "" {
		return c.readAmbiguous(p)
	}
	c.prepareRead(len(p))
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayHaveLateBytes() {
		n, err = c.readLateBytes(p)
	}
	if usable := c.scanner.Scan(p[:n]); usable < n {
		if usable == 0 {
			return c.readAmbiguous(p)
		}
		n, err = usable, nil
	}
	if cause := c.recordRead(p[:n], err); cause != "" {
		c.refuse(cause)
		n, err = 0, cmp.Or(err, net.ErrClosed)
	}
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection
}

// prepareRead records a head that has begun, and starts the timer of one that is not whole. net/http asks for so many bytes.
func (c *conn) prepareRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if buffered := readBytes - n; buffered > 0 && buffered < peekBytes {
		c.recordBuffered(buffered)
	}
	if c.phase == readHead && c.timer == nil {
		c.startTimer(c.limit())
	}
}

// recordRead records the result of a read. If no more of a head is to be read, the cause is returned.
func (c *conn) recordRead(read []byte, err error) Cause {
	c.mu.Lock()
	defer c.mu.Unlock()
	cause, since := c.interrupted, c.since
	c.keepLast(read)
	switch {
	case !c.waits():
		return ""
	case c.phase == waitFirstByte && len(read) > 0 && !beginsHead(read):
		return ""
	case len(read) == 0:
		c.failed = c.failed || err != nil
		if c.refused || c.phase != readHead || cause == "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			return ""
		}
		c.refused = true
		return cause
	case c.phase == waitFirstByte:
		c.beginHead()
	}
	c.headBytes += int64(len(read))
	if cause != "" {
		c.tracker.options.OnLateBytes(c.RemoteAddr(), cause, c.tracker.options.Clock.Since(since))
		c.setDeadline(c.interruptDeadline())
	}
	if cause := c.checkSize(int64(len(read))); cause != "" {
		c.interrupted, c.failed, c.refused = cause, true, true
		return cause
	}
	return ""
}

// beginsHead reports whether a head begins with the bytes. Line ends before a request are part of none.
func beginsHead(read []byte) bool { return len(bytes.Trim(read, "\r\n")) > 0 }

// keepLast updates lastRead. The caller holds mu.
func (c *conn) keepLast(read []byte) {
	read = read[max(0, len(read)-peekBytes):]
	copy(c.lastRead[:], c.lastRead[len(read):])
	copy(c.lastRead[peekBytes-len(read):], read)
}

// recordBuffered records that net/http waits for a request and holds n bytes or more that were read with the previous one, or
// while it was handled. The caller holds mu.
func (c *conn) recordBuffered(n int) {
	if c.phase == waitFirstByte && c.served && beginsHead(c.lastRead[peekBytes-n:]) {
		c.beginHead()
		c.headBytes = int64(n)
	}
}

// refuse responds to a head that is not whole. net/http would close the connection without a response, or take what has
// arrived for a malformed request.
func (c *conn) refuse(cause Cause) {
	var text bytes.Buffer
	resp := c.tracker.options.Refusal(cause)
	defer resp.Body.Close()
	if err := resp.Write(&text); err != nil {
		return // a bytes.Buffer takes everything
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	if _, err := c.Conn.Write(text.Bytes()); err == nil { // else the caller has left
		c.linger()
	}
}

// linger ends the connection for writing and discards what still arrives for a while. Bytes that are unread at the close, or
// arrive after it, would reset the connection, and the caller might lose a part of the response.
func (c *conn) linger() {
	if c.CloseWrite() != nil {
		return // the caller has left
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	responded := c.phase == inRequest && !c.tracker.cutOff.Load()
	c.mu.Unlock()
	if responded && c.hasUnread() {
		c.linger()
	}
	return c.Conn.Close() //nolint:wrapcheck // as the method of the interface
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p) //nolint:wrapcheck // net/http compares the errors of a connection
}

// CloseWrite lets net/http close the connection without losing its last response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "close caller's connection for writing")
	}
	return nil
}

// SetReadDeadline implements net.Conn. Between requests the limits of this package apply instead.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.phase != inRequest {
		c.deadlinesSet++
		if c.deadlinesSet > 1 {
			c.recordBuffered(peekBytes) // net/http sets one deadline before it peeks at the next request, and others after that
		}
		return nil
	}
	return errors.Wrap(c.Conn.SetReadDeadline(t), "set read deadline of caller's connection")
}

// beginRequest records that a head has been read. It is also called when a head could not be read.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return
	}
	c.served = true
	c.begin(inRequest)
	c.setDeadline(c.deadline)
}

// endRequest records that a response has been written.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(waitFirstByte)
	c.setDeadline(c.interruptDeadline())
}

// beginHead records that the first byte of a head has been read. The caller holds mu.
func (c *conn) beginHead() {
	c.begin(readHead)
	c.setDeadline(c.interruptDeadline())
	if c.tracker.cutOff.Load() {
		c.interrupt(CauseStop)
	}
}

// closed reports a head that was not read to its end.
func (c *conn) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.begin(untracked)
	if c.phase == readHead && c.interrupted != CauseAmbiguous {
		c.tracker.options.OnIncompleteHead(IncompleteHead{
			Peer: c.RemoteAddr(), Bytes: c.headBytes, Waited: c.tracker.options.Clock.Since(c.since), Cause: c.interrupted,
		})
	}
}

// begin enters a phase. The caller holds mu, or has the only reference.
func (c *conn) begin(p phase) {
	c.stopTimer()
	c.release()
	c.tracker.phases[p].Add(1)
	c.tracker.phases[c.phase].Add(-1)
	c.phase, c.since = p, c.tracker.options.Clock.Now()
	c.interrupted, c.lateSince = "", time.Time{}
	c.headBytes, c.deadlinesSet = 0, 0
	if p != waitFirstByte {
		return
	}
	c.startTimer(c.limit())
	if c.served && c.tracker.draining.Load() {
		c.interrupt(CauseStop)
	}
}

// waits reports whether a head is awaited or arriving. The caller holds mu.
func (c *conn) waits() bool { return c.phase == waitFirstByte || c.phase == readHead }

// limit returns how long the present phase may last. The caller holds mu.
func (c *conn) limit() time.Duration {
	limits := c.tracker.options.Limits()
	switch {
	case c.phase == readHead:
		return limits.Header
	case c.served:
		return limits.Idle
	case c.tracker.draining.Load():
		return firstRequestTime
	default:
		return max(limits.Idle, firstRequestTime)
	}
}

// startTimer interrupts the present phase after the time. The caller holds mu.
func (c *conn) startTimer(after time.Duration) {
	since := c.since
	c.timer = c.tracker.options.Clock.AfterFunc(after, func() { c.expire(since) })
}

func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// expire interrupts the phase that began at since, unless its limit has been raised meanwhile.
func (c *conn) expire(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.since.Equal(since) || !c.waits() {
		return
	}
	if left := c.limit() - c.tracker.options.Clock.Since(since); left > 0 {
		c.startTimer(left)
		return
	}
	switch {
	case c.phase == readHead:
		c.interrupt(CauseHeader)
	case c.tracker.draining.Load():
		c.interrupt(CauseStop)
	default:
		c.interrupt(CauseIdle)
	}
}

// interruptIdle interrupts the wait for the first byte of a request in a drain.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != waitFirstByte {
		return
	}
	if left := firstRequestTime - c.tracker.options.Clock.Since(c.since); !c.served && left > 0 {
		c.stopTimer()
		c.startTimer(left)
		return
	}
	c.interrupt(CauseStop)
}

// interruptHead ends the wait for the rest of a head at the end of a stop.
func (c *conn) interruptHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == readHead {
		c.interrupt(CauseStop)
	}
}

// interrupt ends the present wait. The caller holds mu.
func (c *conn) interrupt(cause Cause) {
	if c.interrupted == "" {
		c.interrupted = cause
		c.setDeadline(c.interruptDeadline())
	}
}

// interruptDeadline returns the read deadline of the present phase between requests.
func (c *conn) interruptDeadline() time.Time {
	if c.interrupted == "" {
		return time.Time{}
	}
	return time.Unix(1, 0)
}

// resetDeadline sets the deadline of the present phase between requests.
func (c *conn) resetDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDeadline(c.interruptDeadline())
}

// setDeadline sets the deadline of the socket. Connections without deadlines, as in tests, end when the caller closes them.
func (c *conn) setDeadline(t time.Time) { _ = c.Conn.SetReadDeadline(t) }
