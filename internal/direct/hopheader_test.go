package direct

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against a request that reaches an upstream without its team, because its caller's Connection header names the
// headers that the router sets.
func TestConnectionHeaderOfCallerRemovesOnlyItsOwnHeaders(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, ok)
	r := h.call(http.MethodPost, "/r/", "order", "X-Team", "forged", "X-Resumes", "id-0", "X-Last", "7", "X-Hop", "1", "X-End", "1",
		"Connection", "close, x-team, X-Instance, X-Remaining-Ms, X-Id, X-Last, X-Resumes, X-Key, X-Hop, Content-Length, Host")
	is.Equal(r.status, http.StatusOK)
	seen, bodies, _, _ := h.record()
	is.Equal(bodies, []string{"order"})
	got := seen[0].Header
	is.Equal(got["X-Team"], []string{"team"})
	is.True(got.Get("X-Instance") != "" && got.Get("X-Remaining-Ms") != "")
	is.Equal([]string{got.Get("X-Id"), got.Get("X-Resumes"), got.Get("X-Last"), got.Get("X-End")}, []string{"id-1", "id-0", "7", "1"})
	is.Equal([]string{got.Get("X-Key"), got.Get("X-Hop"), got.Get("Connection")}, []string{"", "", ""})
	is.Equal(seen[0].Host, "h.example")
}

// Guards against a response that reaches its caller without its request's ID and signature, because the upstream's
// Connection header names them.
func TestConnectionHeaderOfUpstreamRemovesOnlyItsOwnHeaders(t *testing.T) {
	for _, tt := range []struct {
		name, head, text string
		kind             catalog.Kind
	}{
		{"response", "Content-Length: 5\r\n", "whole", catalog.Safe},
		{"stream", "Content-Type: text/event-stream\r\n", event(1), catalog.Stream},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.kind, tt.kind == catalog.Stream, behaviour{"names headers", func(c net.Conn, r *http.Request) bool {
				writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\nX-Hop: 1\r\n"+
					"Connection: x-id, X-Signed, X-Hop, Content-Length\r\n"+tt.head+"\r\n"+tt.text)
				return false
			}, true})
			r := h.call(http.MethodGet, "/r/", "")
			is.NoErr(r.err)
			is.Equal([]string{r.body, r.header.Get("X-Id"), r.header.Get("X-Signed"), r.header.Get("X-Hop")}, []string{tt.text, "id-1", "1", ""})
		})
	}
}
