package callerconn

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
)

// newBusyTracker returns a tracker of 10,000 connections with a request in progress.
func newBusyTracker() *Tracker {
	t := New(Options{Clock: clockwork.NewRealClock(), Limits: func() Limits { return Limits{Idle: idleLimit, Header: headerLimit} }})
	for range 10_000 {
		t.OnStateChange(t.newConn(&fakeConn{}), http.StateActive)
	}
	return t
}

func BenchmarkDrainLook(b *testing.B) {
	t := newBusyTracker()
	b.ReportAllocs()
	for b.Loop() {
		t.count()
	}
}

func BenchmarkState(b *testing.B) {
	t := newBusyTracker()
	b.ReportAllocs()
	for b.Loop() {
		t.State()
	}
}

func BenchmarkReadInRequest(b *testing.B) {
	f := newFixture()
	f.tracker.options.Clock = clockwork.NewRealClock()
	f.tracker.OnStateChange(f.conn, http.StateActive)
	p := make([]byte, readBytes)
	b.ReportAllocs()
	for b.Loop() {
		f.raw.pending = p
		_, _ = f.conn.Read(p)
	}
}
