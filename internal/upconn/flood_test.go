package upconn

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// maxFloodBytes bounds what a flooding upstream may send before the connection is closed: a head, the socket buffers of
// both ends, and what is discarded of a response to another request.
const maxFloodBytes = 8 << 20

// floodLimit ends a flood that nothing else has ended.
const floodLimit = 256 << 20

// flood returns a server that sends the prefix and then repeats the text until the connection fails, and the number of
// bytes that it has sent.
func flood(prefix, text string) (func(net.Conn), *atomic.Int64) {
	var sent atomic.Int64
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	return func(c net.Conn) {
		defer c.Close()
		if _, err := c.Read(make([]byte, 1<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(c, prefix)
		for sent.Load() < floodLimit {
			n, err := io.WriteString(c, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}, &sent
}

func TestUpstreamThatSendsWithoutEndIsCutOff(t *testing.T) {
	const matching = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct{ name, prefix, text string }{
		{"status line", "HTTP/1.1 200 O", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		{"bytes that are no HTTP", "", "\x00\xff"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"header lines of an informational response", "HTTP/1.1 103 Early Hints\r\n", "X-Many: 1\r\n"},
		{"chunk extension", matching + "\r\n2;", "e"},
		{"trailer", matching + "Trailer: X-T\r\n\r\n0\r\n", "X-T: 1\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok"},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serve, sent := flood(tt.prefix, tt.text)
			p := NewPool(nil, clockwork.NewRealClock())
			c, err := p.Get(context.Background(), startServer(t, serve))
			is.NoErr(err)
			resp, err := c.RoundTrip(request(nil), nil, matchesID)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			is.True(err != nil)
			p.Put(c, MaxIdlePerUpstream)
			is.Equal(p.idleCount(c.address), 0)
			is.True(sent.Load() <= maxFloodBytes)
		})
	}
}

// What follows the discarded part of a long response to another request is not the head of the next response.
func TestRestOfLongUnmatchedResponseIsNotReadAsResponse(t *testing.T) {
	is := is.New(t)
	forged := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\nforged"
	long := strings.Repeat("x", maxUnmatchedBytes) + forged
	p := NewPool(nil, clockwork.NewRealClock())
	c, err := p.Get(context.Background(), startServer(t, respondWith("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1048633\r\n\r\n"+long)))
	is.NoErr(err)
	defer c.Close()
	_, err = c.RoundTrip(request(nil), nil, matchesID)
	is.True(errors.Is(err, ErrResponseTooLarge))
}

func TestHeadWithinLimitIsRead(t *testing.T) {
	is := is.New(t)
	large := "X-Large: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n"
	p := NewPool(nil, clockwork.NewRealClock())
	address := startServer(t, respondWith(okResponse(large), okResponse(large), okResponse(large)))
	for i := range 3 { // the limit applies to each head, not to the connection
		is.Equal(roundTrip(t, p, address, nil), i > 0)
	}
}

// A second copy of a response arrives after the idle connection was checked and before the next request's response.
func TestLateSecondCopyIsNotTheNextResponse(t *testing.T) {
	for _, tt := range []struct{ name, stray string }{
		{"with its ID", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nstray"},
		{"without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"},
		{"of a chunked response", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(nil, clockwork.NewRealClock())
			address := startServer(t, respondWith(okResponse(""), tt.stray+okResponse("")))
			roundTrip(t, p, address, nil)
			c, err := p.Get(context.Background(), address)
			is.NoErr(err)
			is.True(c.Reused)
			resp, err := c.RoundTrip(request(nil), nil, matchesID)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
		})
	}
}

func TestDiscardClosesConnectionOfLongOrSlowBody(t *testing.T) {
	tests := []struct {
		name, response string
		reused         bool
	}{
		{"short", okResponse(""), true},
		{"long", "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100_000), false},
		{"stalled", "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nx", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(nil, clockwork.NewRealClock())
			address := startServer(t, func(c net.Conn) {
				respondWith(tt.response, okResponse(""))(c)
			})
			c, err := p.Get(context.Background(), address)
			is.NoErr(err)
			resp, err := c.RoundTrip(request(nil), nil, matchesID)
			is.NoErr(err)
			start := time.Now()
			is.Equal(c.Discard(resp), tt.reused)
			is.True(time.Since(start) < time.Second)
			p.Put(c, MaxIdlePerUpstream)
			is.Equal(p.idleCount(address) == 1, tt.reused)
		})
	}
}

// Guards against a faulty upstream that fills the memory with the texts of errors, which quote what it sent and wait in the
// log's queue.
func TestErrorDoesNotQuoteAllThatUpstreamSent(t *testing.T) {
	long := strings.Repeat("\xff", maxHeadBytes-1<<10)
	for _, tt := range []struct{ name, head string }{
		{"status line", long},
		{"status code", "HTTP/1.1 2" + long},
		{"header line", "HTTP/1.1 200 OK\r\n" + long},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: " + strings.ReplaceAll(long, "\xff", `"`)},
		{"transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.ReplaceAll(long, "\xff", `"`)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(nil, clockwork.NewRealClock())
			c, err := p.Get(context.Background(), startServer(t, respondWith(tt.head+"\r\n\r\n")))
			is.NoErr(err)
			defer c.Close()
			_, err = c.RoundTrip(request(nil), nil, matchesID)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.address))
			const line = 1 << 10
			is.True(len(err.Error()) <= line)
		})
	}
}
