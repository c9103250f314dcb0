package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is lost because its connection, on which the response before it was sent after a stop had begun,
// ends without notice.
func TestResponsesInStopEndTheirConnections(t *testing.T) {
	for _, tt := range []struct {
		name    string
		respond func(w http.ResponseWriter)
		before  bool // the response begins before the stop
	}{
		{"with a status", func(w http.ResponseWriter) { w.WriteHeader(http.StatusTeapot) }, false},
		{"with a body", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "body") }, false},
		{"without a status", func(http.ResponseWriter) {}, false},
		{"after an acknowledgement", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusProcessing)
			w.WriteHeader(http.StatusOK)
		}, false},
		{"stream", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "body")
			_ = http.NewResponseController(w).Flush()
		}, false},
		{"begun before", func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var stopping atomic.Bool
			tracker := &requestTracker{stopping: &stopping}
			server := httptest.NewServer(tracker.handler(time.Now, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.before {
					tt.respond(w)
				}
				stopping.Store(true)
				if !tt.before {
					tt.respond(w)
				}
			})))
			defer server.Close()
			resp, err := http.Get(server.URL)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.Close, !tt.before)
		})
	}
}
