package direct

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// unfinishedBodies are the ends of heads with parts of bodies.
var unfinishedBodies = []struct{ name, framing string }{
	{"length, nothing of the body", "Content-Length: 4\r\n\r\n"},
	{"length, part of the body", "Content-Length: 4\r\n\r\nbo"},
	{"chunked, nothing of the body", "Transfer-Encoding: chunked\r\n\r\n"},
	{"chunked, part of a chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nbo"},
	{"chunked, no last chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
	{"chunked, end of the last chunk is missing", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"},
}

// Guards against a request that ends without a response because its body is still arriving at the end of a stop.
func TestBodyThatArrivesAtEndOfStopIsRefused(t *testing.T) {
	for _, tt := range unfinishedBodies {
		for _, begun := range []bool{false, true} {
			name := tt.name + ", before the stop begins"
			if begun {
				name = tt.name + ", after the stop has begun"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, catalog.Unsafe, false)
				begin := func() { h.server.BeginStop(time.Now().Add(time.Minute), time.Now().Add(time.Minute)) }
				if begun {
					begin()
				}
				c := newRawCaller(t, h)
				c.Write("POST /r/" + rawHead + tt.framing)
				for h.server.InFlight() == 0 {
					time.Sleep(time.Millisecond)
				}
				if !begun {
					begin()
				}
				time.Sleep(50 * time.Millisecond) // until the part of the body has been read
				h.server.CutOff()
				is.NoErr(c.Conn.SetReadDeadline(time.Now().Add(finalResponseTime)))
				resp, err := http.ReadResponse(c.Reader, nil)
				is.NoErr(err)
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.True(resp.Close)
				is.True(resp.Header.Get("Retry-After") != "")
				var body struct{ Code, Outcome string }
				is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
				is.Equal(body.Code, "stopping")
				is.Equal(body.Outcome, "not-run")
			})
		}
	}
}

// Guards against a request that waits for an upstream at the end of a stop and is refused without saying when to come back.
func TestRequestThatWaitsAtEndOfStopIsRefused(t *testing.T) {
	for _, sent := range []int{0, 1} {
		t.Run(fmt.Sprint("sends before the wait: ", sent), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false, slices.Repeat([]behaviour{shed}, 3*sent)...)
			h.setRoute(func(r *catalog.Route) { r.LatencyObjective, r.MaxAttempts = upstreamWaitDivisor*responseTimeout, 5 })
			if sent == 0 {
				for i, l := range h.listeners {
					h.publish(fmt.Sprintf("up/u%d/%s/leaving", i+1, l.Addr()))
				}
			}
			h.server.BeginStop(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
			replies := make(chan reply, 1)
			go func() { replies <- h.call(http.MethodPost, "/r/", "body") }()
			time.Sleep(200 * time.Millisecond) // until it waits
			is.Equal(h.server.InFlight(), int64(1))
			h.server.CutOff()
			r := <-replies
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(r.body, `"code":"stopping"`))
			is.True(strings.Contains(r.body, `"outcome":"not-run"`))
			is.True(r.header.Get("Retry-After") != "")
		})
	}
}

// finalResponseTime is how long a stopping process waits for its last responses.
const finalResponseTime = 300 * time.Millisecond

// Guards against an end of a stop that interrupts the connection of a request whose body has just been read, which would be
// taken for a caller that has left.
func TestBodyReadAtEndOfStopIsAnswered(t *testing.T) {
	for range 50 {
		is := is.New(t)
		h := newHarness(t, catalog.Unsafe, false, closes)
		h.server.BeginStop(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
		c := newRawCaller(t, h)
		c.Write("POST /r/" + rawHead + "Content-Length: 4\r\n\r\nbo")
		for h.server.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		go h.server.CutOff()
		c.Write("dy")
		status := c.Status()
		is.True(status == http.StatusServiceUnavailable || status == http.StatusBadGateway)
	}
}

// Guards against a body that is late at the request's deadline and whose connection ends without a response, since the error of
// the read does not tell that the time was over.
func TestLateBodyIsRefused(t *testing.T) {
	for _, tt := range unfinishedBodies {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, catalog.Unsafe, false)
			c := newRawCaller(t, h)
			c.Write("POST /r/" + rawHead + "X-Wait-Ms: 300\r\n" + tt.framing)
			is.New(t).Equal(c.Status(), http.StatusRequestTimeout)
		})
	}
}
