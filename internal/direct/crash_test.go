package direct

import (
	"context"
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

func TestOnlyRefusedProbeCountsAsCrash(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want quarantine.Verdict
	}{
		{"still running", nil, quarantine.Clear},
		{"refused", errors.Wrap(syscall.ECONNREFUSED, "connect"), quarantine.Suspect},
		{"silent", errors.Wrap(context.DeadlineExceeded, "connect"), quarantine.Clear},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			dials := 0
			d := &crashDetector{
				quarantine: quarantine.NewTable(QuarantineLimits, clock, nil), clock: clock, log: zerolog.Nop(),
				suspects: map[catalog.UpstreamKey][]suspect{},
				refuses: func(context.Context, *catalog.Upstream) bool {
					dials++
					return isRefusal(tt.err)
				},
			}
			u := &catalog.Upstream{ID: "u", Address: "10.0.0.1:80"}
			d.recordBrokenResponse(u, suspect{fingerprint: 7})
			d.recordBrokenResponse(u, suspect{fingerprint: 8}) // shares the probe
			d.probe(u)
			is.Equal(dials, 1)
			for _, fingerprint := range []uint64{7, 8} {
				verdict, _ := d.quarantine.Check(fingerprint)
				is.Equal(verdict, tt.want)
			}
		})
	}
}

func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
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

func TestSuccessLiftsQuarantine(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, fails, ok)
	fingerprint := quarantine.Fingerprint("team", "/r/", nil)
	h.quarantine.RecordCrash(fingerprint, "u1")
	h.quarantine.RecordCrash(fingerprint, "u2")
	is.Equal(h.call(http.MethodPost, "/r/", "").status, 500)
	is.Equal(len(h.quarantine.State()), 1)
	is.Equal(h.call(http.MethodPost, "/r/", "").status, 200)
	// The filter checks the table after the response has been sent.
	for len(h.quarantine.State()) > 0 {
		time.Sleep(time.Millisecond)
	}
	h.quarantine.Merge(quarantine.Records{Crashes: []quarantine.Crash{{Fingerprint: fingerprint, Upstream: 9, At: time.Now().Add(-time.Second)}}})
	is.Equal(len(h.quarantine.State()), 0) // older crashes received from other hosts do not reinstate the quarantine
}
