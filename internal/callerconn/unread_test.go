package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response that is cut because its connection is closed while a further request waits on it unread.
func TestResponseBeforeUnreadBytesIsWhole(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 3 << 20 // more than the caller's socket takes
	tracker := newTracker(Limits{Idle: time.Minute, Header: time.Minute})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	received := make(chan struct{})
	server := &http.Server{ConnState: tracker.OnStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		<-received
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	})}
	go func() { _ = server.Serve(tracker.Listen(l)) }()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	for tracker.State().InRequest == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	close(received)
	time.Sleep(50 * time.Millisecond) // the caller is slow
	is.NoErr(c.SetReadDeadline(time.Now().Add(waitLimit)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(bodyBytes))
}
