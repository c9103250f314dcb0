package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/framing/framingtest"
)

const (
	postHead = "POST /a HTTP/1.1\r\nHost: h\r\n"
	smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
)

// scanInPieces scans the text in pieces of the size and returns how many bytes may be used.
func scanInPieces(text string, size int) (usable int, s framing.Scanner) {
	s = framing.NewScanner()
	for usable < len(text) {
		piece := text[usable:min(usable+size, len(text))]
		n := s.Scan([]byte(piece))
		usable += n
		if n < len(piece) {
			break
		}
	}
	return usable, s
}

// Guards against requests after which two readers would see different requests on the connection.
func TestAmbiguousRequestsAreFound(t *testing.T) {
	tests := framingtest.Cases(postHead, smuggled)
	chunked := postHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct{ name, text string }{
		{"chunk without size", chunked + "\r\nhello"},
		{"chunk with extension only", chunked + ";a\r\nhello\r\n0\r\n\r\n"},
		{"signed size", chunked + "+5\r\nhello\r\n0\r\n\r\n"},
		{"size with prefix", chunked + "0x5\r\nhello\r\n0\r\n\r\n"},
		{"size of 16 digits", chunked + "0000000000000005\r\nhello\r\n0\r\n\r\n"},
		{"size ended by a line feed", chunked + "5\nhello\r\n0\r\n\r\n"},
		{"extension ended by a line feed", chunked + "5;a\nhello\r\n0\r\n\r\n"},
		{"size ended by a carriage return", chunked + "5\rhello\r\n0\r\n\r\n"},
		{"longer than its size", chunked + "5\r\nhello!\r\n0\r\n\r\n"},
		{"data ended by a carriage return", chunked + "5\r\nhello\r0\r\n\r\n"},
		{"space before the size", chunked + " 5\r\nhello\r\n0\r\n\r\n"},
	} {
		tests = append(tests, framingtest.Case{Name: tt.name, Request: tt.text, Reason: framing.Chunk})
	}
	tests = append(tests,
		framingtest.Case{Name: "folded trailer", Request: chunked + "0\r\nX-T: 1\r\n b\r\n\r\n", Reason: framing.FoldedLine},
		framingtest.Case{Name: "chunks in HTTP/1.0", Request: "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Reason: framing.TransferEncoding},
	)
	for _, tt := range tests {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			want, _ := scanInPieces(tt.Request, len(tt.Request))
			for size := 1; size <= len(tt.Request); size++ {
				usable, s := scanInPieces(tt.Request, size)
				is.Equal(s.Reason(), tt.Reason)
				is.Equal(usable, want)
				is.Equal(s.InBody(), strings.Contains(tt.Request[:usable], "\r\n\r\n"))
			}
		})
	}
}

// Guards against sound requests that are refused, and against a body that is taken for a head.
func TestSoundRequestsAreNotAmbiguous(t *testing.T) {
	lies := "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n\n x"
	for name, text := range map[string]string{
		"no body":             smuggled + smuggled,
		"length":              postHead + "Content-Length: 51\r\n\r\n" + lies[:51] + smuggled,
		"one length twice":    postHead + "Content-Length: 2\r\ncontent-length:2\r\n\r\nhi" + smuggled,
		"chunks":              postHead + "Transfer-Encoding: chunked\r\n\r\n33\r\n" + lies[:51] + "\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n" + smuggled,
		"space after size":    postHead + "Transfer-Encoding: chunked\r\n\r\n2 \r\nhi\r\n0\r\n\r\n" + smuggled,
		"trailer":             postHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\nX-T: 1\r\n\r\n" + smuggled,
		"line ends before":    "\r\n\r\n" + smuggled,
		"HTTP/1.0":            "GET / HTTP/1.0\r\n\r\n",
		"colons and white":    "GET / HTTP/1.1\r\nHost:\th : x \r\nX-Content-Length: odd\r\nTransfer-Encoding2: odd\r\n\r\n",
		"field with no value": "GET / HTTP/1.1\r\nHost: h\r\nX-Empty:\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(text); size++ {
				usable, s := scanInPieces(text, size)
				is.Equal(s.Reason(), framing.Reason(""))
				is.Equal(usable, len(text))
				is.True(!s.InBody())
			}
		})
	}
}

// Guards against ambiguous requests between hosts: the server must respond with 400 and not run the handler.
func TestListenerRefusesAmbiguousRequests(t *testing.T) {
	for _, tt := range framingtest.Cases(postHead, smuggled) {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			reasons := make(chan framing.Reason, 2)
			served := make(chan string, 2)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
			go func() { _ = server.Serve(framing.Listen(inner, func(_ net.Addr, r framing.Reason) { reasons <- r })) }()
			defer server.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, smuggled+tt.Request)
			is.NoErr(err)
			br := bufio.NewReader(c)
			for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
				resp, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, status)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
			}
			_, err = br.ReadByte()
			is.True(err != nil)
			is.Equal(<-reasons, tt.Reason)
			is.Equal(len(reasons), 0)
			is.Equal(<-served, "/smuggled") // the sound one before
			is.Equal(len(served), 0)
		})
	}
}

func TestResponseWithBothLengths(t *testing.T) {
	const both = "Content-Length: 2\r\ntransfer-encoding: chunked\r\n\r\n"
	for _, tt := range []struct {
		name, text string
		both       bool
	}{
		{"both", "HTTP/1.1 200 OK\r\n" + both, true},
		{"after an informational one", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + both, true},
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 49\r\n\r\n" + both, false},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"in two heads", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(framing.CheckResponse([]byte(tt.text)) != nil, tt.both)
		})
	}
}

// requestsOf returns the paths and bodies of the requests that net/http reads, and whether it read to the end.
func requestsOf(text string) (requests []string, whole bool) {
	br := bufio.NewReader(strings.NewReader(text))
	for {
		if _, err := br.Peek(1); err != nil {
			return requests, true
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return requests, false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return requests, false
		}
		requests = append(requests, r.URL.Path+" "+string(body))
	}
}

// FuzzScanner looks for requests whose end net/http sees elsewhere than the scanner.
func FuzzScanner(f *testing.F) {
	for _, tt := range framingtest.Cases(postHead, smuggled) {
		f.Add(tt.Request)
	}
	f.Add(postHead + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nX-T: 1\r\n\r\n" + smuggled)
	f.Add(postHead + "Content-Length: 2\r\n\r\nhi" + smuggled)
	f.Fuzz(func(t *testing.T, text string) {
		usable, s := scanInPieces(text, len(text)+1)
		for size := 1; size < 4; size++ {
			if n, _ := scanInPieces(text, size); n != usable {
				t.Fatalf("%q: %d bytes usable in pieces of %d, %d at once", text, n, size, usable)
			}
		}
		before, whole := requestsOf(text[:usable])
		if s.Reason() == "" {
			if whole && !s.AtStart() {
				t.Fatalf("%q: net/http read %q, and the scanner is within a request", text, before)
			}
			return
		}
		// No further request may be whole once the ambiguous byte is withheld.
		if all, _ := requestsOf(text[:usable] + "\r"); len(all) > len(before) {
			t.Fatalf("%q: a byte after the usable ones ends a request", text)
		}
	})
}
