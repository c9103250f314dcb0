package direct

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Pattern: a data centre is cut off without a reset. Once two of its upstreams have fallen silent, no request may wait
// for a response on a connection from before the cut.
func TestIdleConnectionsOfUnreachedDataCentreAreClosed(t *testing.T) {
	is := is.New(t)
	hang1, _ := hangs()
	hang2, _ := hangs()
	h := newHarness(t, catalog.Safe, false, ok, ok, ok, hang1, hang2, ok)
	filters := h.server.filters()
	send := func(n int, timeout time.Duration) attemptResult {
		req := &Request{
			RequestMetadata: RequestMetadata{ID: "1", APIKey: "key"}, HTTP: httptest.NewRequest(http.MethodGet, "/r/", http.NoBody),
			Deadline: time.Now().Add(timeout), Route: &h.config.Routes[0], response: callerResponse{writer: httptest.NewRecorder(), clock: h.server.Clock},
		}
		req.HTTP.Host = "h.example"
		return filters[len(filters)-1].(*dispatchFilter).attemptSend(context.Background(), req, h.store.Current().Upstreams["s"][n])
	}
	for n := range 3 {
		is.True(send(n, 10*time.Second).responded)
	}
	const short = 100 * time.Millisecond // half of it is the time for a response
	is.True(send(0, short).err != nil)
	is.True(send(1, short).err != nil)
	is.Equal(h.connCount(), 3)
	is.True(send(2, 10*time.Second).responded)
	is.Equal(h.connCount(), 4)
}
