package direct

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/published"
)

// An answer is lost on a kept connection after the request was written. The work has run: it must not run again, and the
// caller must not be told that it has not run.
func TestLostAnswerOnKeptConnection(t *testing.T) {
	for _, lost := range []behaviour{closes, resets, truncated} {
		t.Run(lost.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false, ok, lost)
			is.Equal(h.call(http.MethodPost, "/r/", "first").status, 200)
			r := h.call(http.MethodPost, "/r/", "second")
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(r.header.Get("Retry-After"), "")
			_, bodies, ran, _ := h.record()
			is.Equal(bodies, []string{"first", "second"})
			is.Equal(ran, 2)
		})
	}
}

// An upstream that is silent for a while loses its entry, or is taken for one that leaves. What runs there goes on.
func TestRunningStreamOutlivesEntryOfItsUpstream(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(h *harness, id, address string)
	}{
		{"entry removed", func(h *harness, id, address string) {
			h.revision++
			h.store.Apply([]published.Item{{Key: "up/" + id + "/" + address, Revision: h.revision, Removed: true}})
		}},
		{"leaving", func(h *harness, id, address string) { h.publish("up/" + id + "/" + address + "/leaving") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			begun, resume := make(chan struct{}), make(chan struct{})
			slow := behaviour{"slow stream", func(c net.Conn, r *http.Request) bool {
				streamFrom(c, r, 2)
				close(begun)
				<-resume
				for id := 3; id <= streamEvents; id++ {
					writeText(c, chunk(event(id)))
				}
				writeText(c, "0\r\n\r\n")
				return true
			}, true}
			h := newHarness(t, catalog.Stream, true, slow)
			replies := make(chan reply, 1)
			go func() { replies <- h.call(http.MethodPost, "/r/", "") }()
			<-begun
			for i, l := range h.listeners {
				tt.change(h, fmt.Sprintf("u%d", i+1), l.Addr().String())
			}
			close(resume)
			r := <-replies
			is.NoErr(r.err)
			is.Equal(r.body, wholeStream())
			_, _, ran, _ := h.record()
			is.Equal(ran, 1)
		})
	}
}
