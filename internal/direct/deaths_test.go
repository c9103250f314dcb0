package direct

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/quarantine"
)

func TestOnlyTheDeathOfAnUpstreamIsAStrike(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want quarantine.Verdict
	}{
		{"it lives", nil, quarantine.Clear},
		{"refused", errors.Wrap(syscall.ECONNREFUSED, "connect"), quarantine.Suspect},
		{"silent", errors.Wrap(context.DeadlineExceeded, "connect"), quarantine.Clear},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			dials := 0
			d := &deaths{
				table: quarantine.NewTable(QuarantineLimits, clock, nil), clock: clock, log: zerolog.Nop(),
				running: map[catalog.UpstreamKey][]uint64{},
				dial: func(context.Context, string, string) (net.Conn, error) {
					dials++
					one, other := net.Pipe()
					other.Close()
					return one, tt.err
				},
			}
			u := &catalog.Upstream{ID: "u", Address: "10.0.0.1:80"}
			d.broke(u, 7)
			d.broke(u, 8) // shares the look
			d.look(u.Key())
			is.Equal(dials, 1)
			for _, fingerprint := range []uint64{7, 8} {
				verdict, _ := d.table.Check(fingerprint)
				is.Equal(verdict, tt.want)
			}
		})
	}
}

func TestARequestThatUpstreamsDiedOfIsHeldBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok)
	fingerprint := quarantine.Fingerprint("team", "/r/?x=1", []byte("body"))
	for _, upstream := range []string{"u1", "u2", "u3"} {
		h.quarantine.RecordCrash(fingerprint, upstream)
	}
	got := h.call(http.MethodPost, "/r/?x=1", "body")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(h.call(http.MethodPost, "/r/?x=1", "another body").status, 200)
}

func TestASuccessClearsARequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, fails, ok)
	fingerprint := quarantine.Fingerprint("team", "/r/", nil)
	h.quarantine.RecordCrash(fingerprint, "u1")
	h.quarantine.RecordCrash(fingerprint, "u2")
	is.Equal(h.call(http.MethodPost, "/r/", "").status, 500)
	is.Equal(len(h.quarantine.State()), 1)
	is.Equal(h.call(http.MethodPost, "/r/", "").status, 200)
	// The filter looks at the table after the answer was sent.
	for len(h.quarantine.State()) > 0 {
		time.Sleep(time.Millisecond)
	}
	h.quarantine.Take([]quarantine.Crash{{Fingerprint: fingerprint, Upstream: 9, At: time.Now().Add(-time.Second)}})
	is.Equal(len(h.quarantine.State()), 0) // strikes from before the success do not come back from others
}
