package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/framing/framingtest"
)

const (
	ambiguousHead = "POST /r/" + rawHead
	smuggledGet   = "GET /r/smuggled" + rawHead + "\r\n"
)

// Guards against requests that this router delimits in one way and whoever forwarded them in another: none may reach an upstream.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	for _, tt := range framingtest.Cases(ambiguousHead, smuggledGet) {
		for size, how := range map[int]string{1: "by bytes", len(tt.Request): "at once"} {
			t.Run(tt.Name+" "+how, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, catalog.Safe, false, ok, ok)
				log := &lockedLog{}
				scope := tally.NewTestScope("", nil)
				h.server.Log, h.server.Scope = zerolog.New(log), scope
				c, err := net.Dial("tcp", strings.TrimPrefix(h.front.URL, "http://"))
				is.NoErr(err)
				defer c.Close()
				go func() {
					for from := 0; from < len(tt.Request); from += size {
						if _, err := io.WriteString(c, tt.Request[from:min(from+size, len(tt.Request))]); err != nil {
							return // refused
						}
					}
				}()
				is.NoErr(c.SetReadDeadline(time.Now().Add(responseTimeout)))
				br := bufio.NewReader(c)
				resp, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusBadRequest)
				is.True(strings.Contains(string(body), `"outcome":"not-run"`))
				is.True(strings.Contains(string(body), `"code":"ambiguous-request"`))
				is.True(resp.Close)
				_, err = br.ReadByte()
				is.True(err != nil) // nothing follows
				seen, _, _, _ := h.record()
				is.Equal(len(seen), 0)
				is.True(log.count(fmt.Sprintf(`"event":"ambiguous-request","server":"callers","peer":%q,"reason":%q`, c.LocalAddr(), tt.Reason)) > 0)
				counts := scope.Snapshot().Counters()
				is.Equal(counts["ambiguous_requests+reason="+string(tt.Reason)+",server=callers"].Value(), int64(1))
			})
		}
	}
}

// Guards against an ambiguous request that ends the sound one before it on the connection.
func TestRequestBeforeAmbiguousOneIsServed(t *testing.T) {
	for _, tt := range framingtest.Cases(ambiguousHead, smuggledGet) {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, ok, ok)
			is.Equal(h.sendRaw("GET /r/first"+rawHead+"\r\n"+tt.Request), []int{http.StatusOK, http.StatusBadRequest})
			seen, _, _, _ := h.record()
			is.Equal(len(seen), 1)
		})
	}
}

// Guards against a chunked body that a reader less strict delimits differently.
func TestAmbiguousChunksAreRefused(t *testing.T) {
	for _, chunks := range []string{"5\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "5\r\nhello!0\r\n\r\n", "5;a\nb\r\nhello\r\n0\r\n\r\n"} {
		t.Run(fmt.Sprintf("%q", chunks), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, ok, ok)
			statuses := h.sendRaw(ambiguousHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + smuggledGet)
			is.Equal(statuses, []int{http.StatusBadRequest})
			seen, _, _, _ := h.record()
			is.Equal(len(seen), 0)
		})
	}
}

// Guards against a response that this router delimits in one way and other readers in another: it is a broken response, and the
// connection carries no other request.
func TestResponseWithBothLengthsIsBroken(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Unsafe, false, behaviour{"both lengths", func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", r.Header.Get("X-Id"))
		return true
	}, true}, ok)
	r := h.call(http.MethodPost, "/r/", "")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.True(strings.Contains(r.body, `"outcome":"unknown"`))
	for end := time.Now().Add(responseTimeout); h.openConnCount() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(h.openConnCount(), 0)
}
