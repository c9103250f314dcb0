package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
)

// responseTimeout bounds the time of a response that must come at once, on a loaded machine.
const responseTimeout = 2 * time.Second

// sendRaw sends raw bytes to the server and returns the statuses of all responses until it closes the connection or is
// silent for responseTimeout.
func (h *harness) sendRaw(raw string) (statuses []int) {
	h.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		h.t.Fatal(err)
	}
	br := bufio.NewReader(c)
	for {
		if err := c.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
			h.t.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, resp.StatusCode)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses
		}
	}
}

const rawHead = " HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: key\r\n"

// What follows the body of a request with two contradictory lengths must not be read as a second request.
func TestRestOfRequestWithTwoLengthsIsNotRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok, ok)
	smuggled := "GET /r/smuggled" + rawHead + "\r\n"
	statuses := h.sendRaw("POST /r/" + rawHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled)
	is.Equal(len(statuses), 1)
	seen, _, _, _ := h.record()
	is.True(len(seen) <= 1)
}

func TestRefusalsDoNotWaitForBody(t *testing.T) {
	tests := []struct {
		name, head string
		status     int
	}{
		{"a body of 100 GB", "POST /r/" + rawHead + "Content-Length: 100000000000\r\n", http.StatusRequestEntityTooLarge},
		{"a body beyond the limit", "POST /r/" + rawHead + "Content-Length: 5000000\r\n", http.StatusRequestEntityTooLarge},
		{"no route", "POST /none" + rawHead + "Content-Length: 1000\r\n", http.StatusNotFound},
		{"no key", "POST /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nContent-Length: 1000\r\n", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false)
			start := time.Now()
			is.Equal(h.sendRaw(tt.head+"\r\n"), []int{tt.status})
			is.True(time.Since(start) < responseTimeout)
		})
	}
}

// A caller that sends a head without end is refused before the head fills the memory.
func TestEndlessHeadOfCallerIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false)
	h.serve(allowance.RetryLimits{}, 1<<20)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
	is.NoErr(err)
	defer c.Close()
	go func() {
		_, _ = io.WriteString(c, "GET /r/ HTTP/1.1\r\nX-Long: ")
		block := strings.Repeat("x", 64<<10)
		for sent := 0; sent < 64<<20; sent += len(block) {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}()
	is.NoErr(c.SetReadDeadline(time.Now().Add(defaultHeaderTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a head beyond the configured limit that holds memory until all of it has arrived.
func TestHeadBeyondConfiguredLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false)
	h.setLimits(catalog.Limits{HeaderBytes: 16 << 10})
	start := time.Now()
	is.Equal(h.sendRaw("GET /r/"+rawHead+"X-Long: "+strings.Repeat("x", 32<<10)), []int{http.StatusRequestHeaderFieldsTooLarge})
	is.True(time.Since(start) < responseTimeout)
}

// Guards against a connection beyond the limit that is closed without a response.
func TestConnectionBeyondLimitIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Safe, false, ok)
	h.maxConns = 1
	h.serve(allowance.RetryLimits{}, 1<<20)
	h.publish("config")
	kept, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
	is.NoErr(err)
	defer kept.Close()
	_, err = io.WriteString(kept, "GET /r/"+rawHead+"\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	r := h.call(http.MethodGet, "/r/", "")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(r.body, `"code":"connections-full"`) && strings.Contains(r.body, `"outcome":"not-run"`))
	is.True(r.header.Get("Retry-After") != "")
}
