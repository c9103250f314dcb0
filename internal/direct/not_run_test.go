package direct

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// ownStatus returns the behaviour of an upstream that executes the request and responds with the status, with the headers and a
// body.
func ownStatus(status int, headers, body string) behaviour {
	return behaviour{fmt.Sprint(status), func(c net.Conn, r *http.Request) bool {
		writeText(c, fmt.Sprintf("HTTP/1.1 %d Own\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), headers, len(body), body))
		return true
	}, true}
}

// Guards against callers that are told that a request was not executed although an upstream has executed it and refused it with
// a status of its own.
func TestOwnRefusalOfUpstreamIsNotPassedOnAsPromise(t *testing.T) {
	long := string(make([]byte, maxBufferedBytes+1))
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, u := range map[string]behaviour{
			"signed":      ownStatus(status, "X-Signed: 1\r\n", "busy"),
			"unsigned":    ownStatus(status, "", "busy"),
			"retry later": ownStatus(status, "X-Signed: 1\r\nRetry-After: 1\r\n", ""),
			"long":        ownStatus(status, "X-Signed: 1\r\n", long),
		} {
			for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Safe, catalog.Stream} {
				t.Run(fmt.Sprintf("%d %s %s", status, name, kind), func(t *testing.T) {
					is := is.New(t)
					script := []behaviour{u}
					if kind == catalog.Safe {
						script = append(script, u) // may be executed twice
					}
					got := newHarness(t, kind, false, script...).call(http.MethodPost, "/r/", "hello")
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(got.header.Get("X-Signed"), "") // the upstream did not give this status
					is.Equal(got.header.Get("Retry-After"), "")
				})
			}
		}
	}
}

// Guards against requests that are executed twice, or refused although they were executed, because a send counted as not
// executed without a statement of the upstream about this request.
func TestOnlyStatementAboutRequestProvesThatItWasNotExecuted(t *testing.T) {
	unnamed := func(status int) behaviour {
		return behaviour{fmt.Sprint(status, " without ID"), func(c net.Conn, _ *http.Request) bool {
			writeText(c, fmt.Sprintf("HTTP/1.1 %d Own\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status))
			return false
		}, true}
	}
	for _, u := range []behaviour{ownStatus(http.StatusMisdirectedRequest, "", ""), unnamed(http.StatusServiceUnavailable), unnamed(http.StatusMisdirectedRequest)} {
		for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Stream} {
			t.Run(u.name+" "+string(kind), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, kind, false, u)
				got := h.call(http.MethodPost, "/r/", "hello")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
				_, _, ran, _ := h.record()
				is.Equal(ran, 1)
			})
		}
		t.Run(u.name+" to a request without ID", func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Unsafe, false, u, ok)
			is.Equal(h.call(http.MethodPost, "/r/", "hello", "X-Id", "").status, http.StatusBadGateway)
			_, _, ran, _ := h.record()
			is.Equal(ran, 1)
		})
		t.Run(u.name+" safe", func(t *testing.T) {
			is := is.New(t)
			got := newHarness(t, catalog.Safe, false, u, ok).call(http.MethodGet, "/r/", "")
			is.Equal(got.status, http.StatusOK)
		})
	}
}

// Guards against a request that is executed twice, or refused although it is being executed, because a late copy of the
// statement about its first send arrives at its second send, on the same connection.
func TestLateCopyOfStatementDoesNotSpeakOfNextSend(t *testing.T) {
	for _, tt := range []struct {
		name, status, next string
		first              behaviour
	}{
		{"another ID at the address", "421 Misdirected", "up/u4/%s", otherInstance},
		{"the same ID, started again", "503 Busy", "up/u1/%s/started-2", shed},
	} {
		for _, byDetour := range []bool{false, true} {
			for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Stream} {
				t.Run(fmt.Sprintf("%s %s, by detour %t", tt.name, kind, byDetour), func(t *testing.T) {
					is := is.New(t)
					var h *harness
					var first net.Conn
					states := behaviour{tt.first.name, func(c net.Conn, r *http.Request) bool {
						first = c
						h.publish(fmt.Sprintf(tt.next, c.LocalAddr()))
						return tt.first.serve(c, r)
					}, false}
					runs := behaviour{"runs", func(c net.Conn, r *http.Request) bool {
						writeText(first, strings.Replace(refusalTo(r.Header.Get("X-Id")), "503 Busy", tt.status, 1))
						time.Sleep(20 * time.Millisecond)
						writeText(c, response200(r.Header.Get("X-Id"), event(1)))
						return true
					}, true}
					h = newHarness(t, kind, false, states, runs, runs)
					h.leaveOnly()
					if byDetour {
						h.cutOffBeside(h.startPeer())
					}
					got := h.call(http.MethodPost, "/r/", "hello")
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusOK)
					_, _, ran, _ := h.record()
					is.Equal(ran, 1)
				})
			}
		}
	}
}

// Guards against a request that may have been executed on a route whose requests may be repeated, and is sent again although the
// route that matches it now does not allow that.
func TestRequestIsNotRepeatedOnRouteThatForbidsIt(t *testing.T) {
	for name, change := range map[string]func(r *catalog.Route){
		"kind changed":  func(r *catalog.Route) { r.Kind = catalog.Unsafe },
		"route removed": func(r *catalog.Route) { r.Name, r.Prefix, r.Kind = "wider", "/", catalog.Unsafe },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h *harness
			breaks := behaviour{"breaks off", func(net.Conn, *http.Request) bool {
				config := *h.config
				config.Version, config.Routes = config.Version+1, slices.Clone(config.Routes)
				change(&config.Routes[0])
				h.config = &config
				h.publish("config")
				return false
			}, true}
			h = newHarness(t, catalog.Safe, false, breaks, ok)
			is.Equal(h.call(http.MethodGet, "/r/", "").status, http.StatusBadGateway)
			_, _, ran, _ := h.record()
			is.Equal(ran, 1)
		})
	}
}
