package direct

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Guards against a request that ends without a response and without a trace in the log and the metrics.
func TestPanicOfFilterIsLoggedAndCounted(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cause  any
		counts int64
	}{
		{"fault", "index out of range", 1},
		{"aborted response", http.ErrAbortHandler, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var logged bytes.Buffer
			scope, clock, log := tally.NewTestScope("", nil), clockwork.NewFakeClock(), zerolog.New(&logged)
			s := New(Options{Store: catalog.NewStore(nil, clock, log), Codec: testCodec{}, Clock: clock, Log: log, Scope: scope})
			s.chain = func(context.Context, *Request) error { panic(tt.cause) }
			func() {
				defer func() { is.Equal(recover(), tt.cause) }()
				s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/r/", http.NoBody))
			}()
			is.Equal(scope.Snapshot().Counters()["requests_panicked+"].Value(), tt.counts)
			is.Equal(strings.Contains(logged.String(), "request-panicked"), tt.counts > 0)
		})
	}
}
