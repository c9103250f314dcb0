package direct

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/testconn"
)

func newRawCaller(t *testing.T, h *harness) *testconn.Caller {
	t.Helper()
	c := testconn.Dial(t, strings.TrimPrefix(h.front.URL, "http://"))
	c.Wait = responseTimeout
	return c
}

// setLimits brings a configuration with the limits into force.
func (h *harness) setLimits(limits catalog.Limits) {
	next := *h.config
	next.Version++
	next.Limits = limits
	h.config = &next
	h.publish("config")
}

// headCuts are places at which a request arrives in two parts.
var headCuts = []struct {
	name        string
	first, rest string
}{
	{"after the first byte", "G", "ET /r/second" + rawHead + "\r\n"},
	{"after the fourth byte", "GET ", "/r/second" + rawHead + "\r\n"},
	{"in the Host field", "GET /r/second HTTP/1.1\r\nHost: h.ex", "ample\r\nX-Id: 1\r\nX-Key: key\r\n\r\n"},
	{"before the last byte", "GET /r/second" + rawHead + "\r", "\n"},
	{"in the body", "POST /r/second" + rawHead + "Content-Length: 4\r\n\r\nbo", "dy"},
}

// Guards against a request that ends without a response because its connection counts as idle until the whole head has
// arrived.
func TestHeadThatBeganBeforeIdleTimeoutIsAnswered(t *testing.T) {
	const idleTimeout = 400 * time.Millisecond
	for _, tt := range headCuts {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, catalog.Unsafe, false, ok, ok)
			h.setLimits(catalog.Limits{IdleTimeout: idleTimeout})
			c := newRawCaller(t, h)
			c.Write("GET /r/first" + rawHead + "\r\n")
			is := is.New(t)
			is.Equal(c.Status(), http.StatusOK)
			limit := h.server.connLimits().Idle
			time.Sleep(limit - idleTimeout/2)
			c.Write(tt.first)
			time.Sleep(idleTimeout)
			c.Write(tt.rest)
			is.Equal(c.Status(), http.StatusOK)
		})
	}
}

// Guards against a request that ends without a response because a part of its head came with the request before it, or while
// that was handled, and its connection counts as idle.
func TestHeadThatBeganBeforePreviousResponseIsAnswered(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	pipelinedCuts := append(slices.Clone(headCuts), struct{ name, first, rest string }{
		"at the end of a line", "GET /r/second HTTP/1.1\r\n", strings.TrimPrefix(rawHead, " HTTP/1.1\r\n") + "\r\n",
	})
	slow := behaviour{"slow", func(c net.Conn, r *http.Request) bool {
		time.Sleep(idleTimeout)
		return ok.serve(c, r)
	}, true}
	for _, tt := range pipelinedCuts {
		for _, together := range []bool{true, false} {
			for _, stops := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, together %t, stops %t", tt.name, together, stops), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					h := newHarness(t, catalog.Unsafe, false, slow, ok)
					h.setLimits(catalog.Limits{IdleTimeout: idleTimeout})
					c := newRawCaller(t, h)
					first := "POST /r/first" + rawHead + "Content-Length: 4\r\n\r\nbody"
					if together {
						c.Write(first + tt.first)
					} else {
						c.Write(first)
						time.Sleep(idleTimeout / 2)
						c.Write(tt.first)
					}
					is.Equal(c.Status(), http.StatusOK)
					if stops {
						ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
						defer cancel()
						stopped := make(chan error, 1)
						go func() { stopped <- h.server.AwaitConns(ctx) }()
						defer func() { is.NoErr(<-stopped) }()
						time.Sleep(idleTimeout)
					} else {
						time.Sleep(h.server.connLimits().Idle + idleTimeout)
					}
					_, _ = io.WriteString(c.Conn, tt.rest) // fails if the connection has ended
					is.Equal(c.Status(), http.StatusOK)
					is.NoErr(c.Conn.Close())
				})
			}
		}
	}
}

// Guards against a request that its caller sends within the idle limit, and that is delayed on the way until after it.
func TestRequestDelayedPastIdleTimeoutIsAnswered(t *testing.T) {
	is := is.New(t)
	const idleTimeout, delay = 100 * time.Millisecond, 700 * time.Millisecond // a packet that is lost twice
	h := newHarness(t, catalog.Unsafe, false, ok, ok)
	h.setLimits(catalog.Limits{IdleTimeout: idleTimeout})
	c := newRawCaller(t, h)
	c.Write("GET /r/first" + rawHead + "\r\n")
	is.Equal(c.Status(), http.StatusOK)
	time.Sleep(idleTimeout + delay)
	c.Write("GET /r/second" + rawHead + "\r\n")
	is.Equal(c.Status(), http.StatusOK)
}

// Guards against a request that ends without a response because its head arrives in parts while the router stops.
func TestHeadThatBeganBeforePlannedStopIsAnswered(t *testing.T) {
	for _, tt := range headCuts {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false, ok, ok)
			c := newRawCaller(t, h)
			c.Write("GET /r/first" + rawHead + "\r\n")
			is.Equal(c.Status(), http.StatusOK)
			c.Write(tt.first)
			time.Sleep(50 * time.Millisecond) // until the first part has been received
			ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- h.server.AwaitConns(ctx) }()
			time.Sleep(200 * time.Millisecond) // longer than an idle connection lasts in a planned stop
			c.Write(tt.rest)
			is.Equal(c.Status(), http.StatusOK)
			is.NoErr(c.Conn.Close())
			is.NoErr(<-stopped)
		})
	}
}

// Guards against a head that does not arrive whole in time and is ended without a response, or with one that calls a proper
// request malformed.
func TestLateHeadIsRefused(t *testing.T) {
	for _, tt := range headCuts[:4] {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, ok)
			c := newRawCaller(t, h)
			c.Write(tt.first)
			c.Wait = defaultHeaderTimeout + responseTimeout
			is.Equal(c.Status(), http.StatusRequestTimeout)
			is.Equal(c.Status(), 0) // one response only, and the end of the connection
		})
	}
}

// Guards against a request that ends without a response because its head is still arriving at the end of a stop.
func TestRequestThatArrivesAtEndOfStopIsRefused(t *testing.T) {
	for _, tt := range headCuts[:4] {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, ok)
			c := newRawCaller(t, h)
			c.Write(tt.first)
			for h.server.Conns().ReadingHead == 0 {
				time.Sleep(time.Millisecond)
			}
			h.server.BeginStop(time.Now(), time.Now())
			h.server.CutOff()
			is.Equal(c.Status(), http.StatusServiceUnavailable)
			is.Equal(c.Status(), 0)
		})
	}
}

// Guards against a head that is ended by another limit than the one that the configuration names.
func TestConfiguredHeaderTimeoutIsObeyed(t *testing.T) {
	const pause = defaultHeaderTimeout + 200*time.Millisecond // longer than a head may take without a configured limit
	for _, tt := range []struct {
		name  string
		limit time.Duration
		first bool // the head is the first of its connection
		want  int
	}{
		{"first head within a long limit", 2 * pause, true, http.StatusOK},
		{"later head within a long limit", 2 * pause, false, http.StatusOK},
		{"head beyond a short limit", time.Millisecond, false, http.StatusRequestTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, ok, ok)
			h.setLimits(catalog.Limits{HeaderTimeout: tt.limit})
			c := newRawCaller(t, h)
			if !tt.first {
				c.Write("GET /r/first" + rawHead + "\r\n")
				is.Equal(c.Status(), http.StatusOK)
			}
			c.Write("GET /r/second")
			time.Sleep(pause)
			_, _ = io.WriteString(c.Conn, rawHead+"\r\n") // fails if the connection has ended
			is.Equal(c.Status(), tt.want)
		})
	}
}

// Guards against a connection that ends in the midst of a head without a trace in the log.
func TestHeadWithoutResponseIsLogged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	logged := &lockedLog{}
	h.server.Log = zerolog.New(logged)
	c := newRawCaller(t, h)
	c.Write("GET /r/first" + rawHead + "\r\n")
	is.Equal(c.Status(), http.StatusOK)
	c.Write("GET /r/")
	is.NoErr(c.Conn.Close())
	var line map[string]any
	for start := time.Now(); line == nil && time.Since(start) < responseTimeout; time.Sleep(time.Millisecond) {
		line = logged.event(t, "head-incomplete")
	}
	is.Equal(line["bytes"], float64(len("GET /r/")))
	is.Equal(line["cause"], "")
}
