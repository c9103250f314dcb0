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

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// newTargetHarness serves one route with the prefix "/".
func newTargetHarness(t testing.TB) *harness {
	t.Helper()
	h := newHarness(t, catalog.Safe, false)
	config := *h.config
	config.Routes = []catalog.Route{config.Routes[0]}
	config.Routes[0].Prefix, config.Version = "/", 2
	h.config = &config
	h.publish("config")
	return h
}

// targetClient sends requests with any target on one connection, and opens another one when the server has closed it.
type targetClient struct {
	h    *harness
	conn net.Conn
	br   *bufio.Reader
}

// send returns the status of the response and the targets that the upstreams received meanwhile.
func (c *targetClient) send(t *testing.T, method, target string) (status int, received []string) {
	t.Helper()
	c.h.mu.Lock()
	c.h.script, c.h.seen, c.h.bodies = []behaviour{ok}, nil, nil
	c.h.mu.Unlock()
	if c.conn == nil {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.h.front.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	if _, err := io.WriteString(c.conn, method+" "+target+rawHead+"\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatalf("target %q: %v", target, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("target %q: %v", target, err)
	}
	if resp.Close {
		c.close()
	}
	seen, _, _, _ := c.h.record()
	for _, r := range seen {
		received = append(received, r.RequestURI)
	}
	return resp.StatusCode, received
}

func (c *targetClient) close() {
	if c.conn != nil {
		resetConn(c.conn) // leaves no connection in TIME_WAIT
		c.conn = nil
	}
}

// Guards against a request that reaches an upstream with another target than its caller sent, as "//x/y" did.
func TestTargetReachesUpstreamUnchanged(t *testing.T) {
	client := &targetClient{h: newTargetHarness(t)}
	defer client.close()
	for _, target := range []string{
		"/", "//", "///", "//x/y", "//x/y?q=//z", "///x//y/", "//h.example/r", "//user@h.example:80/r", "//x:y/z", "/x//y", "//x%2fy/%2F",
		"/./x", "/../x", "//../x", "/x/..", "/x/../../y", "/x/%2e%2E/y", "/x/.%2e/", "/x/...", "/.",
		"/x%2Fy", "/x%2fy", "/%2F%2f", "/x%5cy", "/x\\y", "/%00", "/%0d%0a", "/%20", "/%25", "/%41%7E", "/~A", "/+%2B",
		"/?", "/x?", "/x??", "/x?a=?", "/x?a=%zz&b", "/x?%", "/x?a;b", "/x?&&=", "/x?a=1&a=2", "/x?http://h/", "//?", "//x?",
		"/;", "/x;y=1/z;", "/x;a,b", "/;/..;/x", "/x#y", "/x?y#z", "/x:80", "/:", "/@", "/*", "/[x]", "/x|y", "/\"<>^`{}", "/\xc3\xa9", "/\xff",
		"/http://h.example/r", "http://h.example/", "http://h.example//x/y", "http://h.example/x?", "http://h.example/a/../b%2Fc;d?e",
		"HTTP://H.example:80/x", "https://h.example/x", "http:/x", "http://user@h.example/x",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			status, received := client.send(t, http.MethodGet, target)
			is.Equal(received, []string{target})
			is.Equal(status, http.StatusOK)
		})
	}
}

// Guards against a target that no upstream can receive unchanged and that is answered as if it had been served.
func TestTargetThatCannotBeForwardedIsRefused(t *testing.T) {
	client := &targetClient{h: newTargetHarness(t)}
	defer client.close()
	for _, tt := range []struct{ method, target string }{
		{http.MethodGet, ""}, {http.MethodGet, "*"}, {http.MethodOptions, "*"}, {http.MethodGet, "x"}, {http.MethodGet, "?x"}, {http.MethodGet, "#"},
		{http.MethodGet, "%2Fx"}, {http.MethodGet, "h.example:80"}, {http.MethodConnect, "h.example:80"}, {http.MethodGet, "http:x"},
		{http.MethodGet, "http://h.example"}, {http.MethodGet, "http://h.example?x"}, {http.MethodGet, "://h.example/x"},
		{http.MethodGet, "/x y"}, {http.MethodGet, "/x\ty"}, {http.MethodGet, "/x\x00"}, {http.MethodGet, "/x\x7f"}, {http.MethodGet, "/x\r"},
		{http.MethodGet, "/%"}, {http.MethodGet, "/%zz"}, {http.MethodGet, "/%2"}, {http.MethodGet, "//x/\xc3\xa9"}, {http.MethodGet, "//x|y"},
	} {
		t.Run(tt.method+" "+tt.target, func(t *testing.T) {
			is := is.New(t)
			status, received := client.send(t, tt.method, tt.target)
			is.Equal(len(received), 0)
			is.Equal(status, http.StatusBadRequest)
		})
	}
}

// FuzzTarget checks that the target that an upstream reads is the caller's, byte for byte, or the caller is refused.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/", "//x/y", "/a/../b", "/%2F", "/x?", "/;", "http://h.example//x", "*", "//x|y", "/x?a#b", "http:/x"} {
		f.Add(target)
	}
	client := &targetClient{h: newTargetHarness(f)}
	f.Cleanup(client.close)
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, " \n") || len(target) > 4<<10 {
			t.Skip("not one target")
		}
		status, received := client.send(t, http.MethodGet, target)
		switch {
		case status == http.StatusOK && len(received) == 1 && received[0] == target:
		case status == http.StatusBadRequest && len(received) == 0:
		case status == http.StatusNotFound && len(received) == 0 && !strings.HasPrefix(target, "/"): // of another host
		default:
			t.Fatalf("target %q: status %d, the upstreams received %q", target, status, received)
		}
	})
}
