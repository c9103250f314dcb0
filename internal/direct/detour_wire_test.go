package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// raw sends the text to the server and returns its response.
func (h *harness) raw(method, text string) (*http.Response, string) {
	h.t.Helper()
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	writeText(c, text)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(br, &http.Request{Method: method})
	}
	if err != nil {
		h.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return resp, string(body)
}

func responds(text string) behaviour {
	return behaviour{"responds", func(c net.Conn, r *http.Request) bool {
		writeText(c, strings.Replace(text, "\r\n", "\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n", 1))
		return false
	}, true}
}

// Guards against requests or responses that another host changes on the way: what the upstream receives and the caller gets is the
// same as without it.
func TestDetourChangesNothing(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nConnection: close"
	for name, tt := range map[string]struct{ method, request, response string }{
		"HEAD":             {"HEAD", "HEAD /r/" + head + "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
		"no content":       {"POST", "POST /r/" + head + "\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 204 No Content\r\n\r\n"},
		"not modified":     {"GET", "GET /r/" + head + "\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\nContent-Length: 9\r\n\r\n"},
		"HTTP/1.0":         {"GET", "GET /r/ HTTP/1.0\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
		"chunks":           {"POST", "POST /r/" + head + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nab\r\n0\r\nX-T: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		"expects 100":      {"POST", "POST /r/" + head + "\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"named headers":    {"GET", "GET /r/" + head + ", X-Team, Oriole-Detour, X-Remaining-Ms, X-Drop\r\nX-Drop: 1\r\nTe: trailers\r\nUpgrade: x\r\nKeep-Alive: timeout=1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\nConnection: X-Gone\r\nX-Gone: 1\r\n\r\n"},
		"repeated headers": {"GET", "GET /r/" + head + "\r\nX-A: 1\r\nX-A: 2\r\nCookie: a\r\nCookie: b\r\n\r\n", "HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 0\r\n\r\n"},
		"no length":        {"GET", "GET /r/" + head + "\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nuntil the end"},
		"target":           {"GET", "GET /r//x%2fy/../%41?a=%zz&;b#" + head + "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"absolute target":  {"GET", "GET http://h.example/r/?q" + head + "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"other method":     {"GET", "M-SEARCH /r/?" + head + "\r\n\r\n", "HTTP/1.1 207 Multi\r\nContent-Length: 1\r\nContent-Encoding: x\r\n\r\nz"},
		"own failure":      {"GET", "DELETE /r/" + head + "\r\n\r\n", "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\nDate: x\r\n\r\nz"},
		"no type, no date": {"GET", "GET /r/" + head + "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n<html> </html>"},
		"order and report": {"GET", "GET /r/" + head + "\r\nOriole-Detour: {}\r\noriole-detour: {}\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nOriole-Detour: {\"outcome\":\"not-sent\"}\r\n\r\nz"},
		"long body":        {"POST", "POST /r/" + head + "\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("0123456789", 50000), "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("0123456789", 50000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got [2]string
			for i := range got {
				h := newHarness(t, catalog.Unsafe, false, responds(tt.response))
				if i == 1 {
					h.cutOffBeside(h.startPeer())
				}
				resp, body := h.raw(tt.method, tt.request)
				resp.Header.Del("Date")
				resp.Header.Del("Oriole-Detour") // the hosts' own
				seen, bodies, _, _ := h.record()
				got[i] = fmt.Sprintf("%d %d %v %v %q", resp.StatusCode, resp.ContentLength, resp.TransferEncoding, resp.Header, body)
				for j, r := range seen {
					r.Header.Del("Oriole-Detour")
					for _, name := range []string{"X-Instance", "X-Remaining-Ms"} { // differ by chance
						is.True(r.Header.Get(name) != "")
						r.Header.Del(name)
					}
					got[i] += fmt.Sprintf("; %s %s %s %s %d %v %v %q", r.Method, r.RequestURI, r.Host, r.Proto, r.ContentLength, r.TransferEncoding, r.Header, bodies[j])
				}
			}
			is.Equal(got[1], got[0])
		})
	}
}

// Guards against requests whose head another host does not take because the order makes it longer.
func TestDetourTakesLongestHead(t *testing.T) {
	for _, byDetour := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(t, catalog.Unsafe, false, ok)
		if byDetour {
			h.cutOffBeside(h.startPeer())
		}
		const own = 200
		resp, _ := h.raw("GET", "GET /r/ HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\nX-Key: key\r\nX-Long: "+strings.Repeat("x", maxHeaderBytes+4096-own)+"\r\n\r\n")
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}
