package direct

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/detour"
	"github.com/orioleusher/orioleusher/internal/framing"
)

// Guards against a second run of a request at the same time: a host that has stood still finds the order of a host that has left and
// sent the request elsewhere since.
func TestOrderOfHostThatHasLeftIsNotSent(t *testing.T) {
	for range 50 { // net/http may notice the close in time
		is := is.New(t)
		reply := httptest.NewRecorder()
		h := newHarness(t, catalog.Unsafe, false, ok)
		p := h.startPeer()
		is.Equal(p.call(http.MethodPost, "/r/", "").status, http.StatusOK) // leaves a connection, so that the order needs no time
		front := newDetourServer(p.server)
		handler, done := front.Handler, make(chan struct{})
		front.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			defer close(done)
			handler.ServeHTTP(reply, r)
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		req, err := http.NewRequest(http.MethodPost, "http://h.example/r/", nil)
		is.NoErr(err)
		req.Header.Set("X-Id", "id-1")
		is.NoErr(detour.SetOrder(req.Header, detour.NewOrder(h.store.Current().Upstreams["s"][0], time.Minute)))
		is.NoErr(req.Write(c))
		is.NoErr(c.Close())
		scanned := framing.Listen(l, framing.NewReport("detour", zerolog.Nop(), tally.NoopScope))
		go func() { _ = front.Serve(scanned) }() // as a process that goes on
		<-done
		front.Close()
		report, err := detour.TakeReport(reply.Header())
		is.NoErr(err)
		is.Equal(report.Outcome, detour.NotSent)
	}
}
