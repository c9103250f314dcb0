package callerconn

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/inbound"
)

// receiveLong lets n bytes of a head arrive and reports whether all were read.
func (f *fixture) receiveLong(n int) bool {
	f.raw.pending = append(f.raw.pending, make([]byte, n)...)
	for len(f.raw.pending) > 0 {
		if read, err := f.read(); err != nil {
			return read > 0
		}
	}
	return true
}

// connect adds a new connection beside the others.
func (f *fixture) connect() {
	f.raw = &fakeConn{}
	f.conn = f.tracker.newConn(f.raw)
}

// Guards against heads longer than the configuration allows that are held until they have arrived or their time is over.
func TestHeadBeyondLimitIsRefusedWhileItArrives(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.limits.HeaderBytes = 16 << 10
	is.True(f.receiveLong(16<<10 + readBytes)) // the rest of the last read may be a body
	is.True(!f.receiveLong(1))
	is.Equal(f.interruptedBy(), CauseHeadSize)
}

// Guards against heads that fill the memory while they arrive.
func TestHeadsBeyondTheirMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.tracker.options.Heads = inbound.NewByteBudget(8 << 10)
	is.True(f.receiveLong(freeHeadBytes + 8<<10))
	first := f.conn
	f.connect()
	is.True(f.receiveLong(freeHeadBytes)) // short heads do not count
	is.True(!f.receiveLong(1))
	is.Equal(f.interruptedBy(), CauseHeadsFull)
	_, err := f.conn.Write([]byte("x"))
	is.True(err != nil) // the refusal has been written
	f.tracker.OnStateChange(first, http.StateActive)
	f.connect()
	is.True(f.receiveLong(freeHeadBytes + 8<<10))
	f.tracker.OnStateChange(f.conn, http.StateClosed)
	f.connect()
	is.True(f.receiveLong(freeHeadBytes + 8<<10))
}

// Guards against connections without number, and against ending those that callers have kept.
func TestRequestOnConnectionBeyondLimitIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.tracker.options.MaxConns = 1
	served, raw := f.conn, f.raw
	f.connect()
	is.True(!f.receiveLong(1))
	is.Equal(f.interruptedBy(), CauseConnsFull)
	refused := f.conn
	f.conn, f.raw = served, raw
	is.True(f.receiveLong(2))
	f.tracker.OnStateChange(refused, http.StateClosed)
	f.tracker.OnStateChange(served, http.StateClosed)
	f.connect()
	is.True(f.receiveLong(1))
}
