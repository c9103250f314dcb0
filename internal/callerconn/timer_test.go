package callerconn

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitInterrupt waits until the connection has been interrupted, and returns the cause.
func (f *fixture) awaitInterrupt(t *testing.T) Cause {
	t.Helper()
	for start := time.Now(); f.interruptedBy() == ""; time.Sleep(time.Millisecond) {
		if time.Since(start) > waitLimit {
			t.Fatal("the wait has not ended")
		}
	}
	return f.interruptedBy()
}

// Guards against waits that have a limit and no timer.
func TestTimersEndWaits(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.clock.Advance(idleLimit)
	is.Equal(f.awaitInterrupt(t), CauseIdle)
	f = newFixture()
	f.receive("G")
	_, err := f.read() // nothing more has arrived
	is.True(err != nil)
	f.clock.Advance(headerLimit)
	is.Equal(f.awaitInterrupt(t), CauseHeader)
}

// Guards against deadlines of net/http that end waits between requests, or that are not set in a request.
func TestDeadlinesOfServerApplyInRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	deadline := time.Now().Add(time.Hour)
	is.NoErr(f.conn.SetReadDeadline(deadline))
	is.True(f.raw.deadline.IsZero())
	f.receive("GET / HTTP/1.1\r\n\r\n")
	f.tracker.OnStateChange(f.conn, http.StateActive)
	is.Equal(f.raw.deadline, deadline) // as asked for before
	is.NoErr(f.conn.SetReadDeadline(deadline.Add(time.Hour)))
	is.Equal(f.raw.deadline, deadline.Add(time.Hour))
	f.tracker.OnStateChange(f.conn, http.StateIdle)
	is.True(f.raw.deadline.IsZero())
}
