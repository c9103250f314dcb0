package upconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
)

// textConn is a connection to an upstream that sends a text and closes.
type textConn struct {
	net.Conn
	io.Reader
}

func (c textConn) Read(p []byte) (int, error)       { return c.Reader.Read(p) }
func (textConn) Write(p []byte) (int, error)        { return len(p), nil }
func (textConn) Close() error                       { return nil }
func (textConn) SetReadDeadline(time.Time) error    { return nil }
func (textConn) SetWriteDeadline(t time.Time) error { return nil }

// readPlainly reads the first response of the text that belongs to the request, without limits on its size.
func readPlainly(text string) (status int, body []byte, err error) {
	br := bufio.NewReader(strings.NewReader(text))
	for range maxUnmatchedResponses {
		resp, err := http.ReadResponse(br, request(nil))
		if err != nil {
			return 0, nil, err
		}
		informational := resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK
		matches := !informational && matchesID(0, resp.Header)
		body, err := io.ReadAll(resp.Body)
		if matches {
			return resp.StatusCode, body, err
		}
		if err != nil {
			return 0, nil, err
		}
	}
	return 0, nil, errors.New("no response belongs to the request")
}

// Whatever an upstream sends, a response is read as by net/http from the whole text, or is an error, however the bytes arrive.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		okResponse(""), okResponse("Transfer-Encoding: chunked\r\n"), "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse(""),
		strings.Replace(okResponse(""), "X-Id: 1", "X-Id: 2", 1) + okResponse(""), "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nrest",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2;e=f\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n" + okResponse(""), "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ncut",
		"HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n", "\x00\xff", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxHeadBytes),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		wantStatus, wantBody, wantErr := readPlainly(text)
		for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			status, body, err := 0, []byte(nil), error(nil)
			resp, err := newConn(textConn{Reader: reader}, "upstream").RoundTrip(request(nil), nil, matchesID)
			if err == nil {
				status = resp.StatusCode
				body, err = io.ReadAll(resp.Body)
			}
			switch {
			case err == nil && (wantErr != nil || status != wantStatus || !bytes.Equal(body, wantBody)):
				t.Fatalf("status %d, body %q; net/http: status %d, body %q, %v", status, body, wantStatus, wantBody, wantErr)
			case err != nil && wantErr == nil && len(text) <= maxHeadBytes:
				t.Fatalf("%v; net/http: status %d, body %q", err, wantStatus, wantBody)
			}
		}
	})
}
