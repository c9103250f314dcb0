package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/events"
)

const longBodyBytes = 4*maxBufferedBytes + 7

func longBody() string { return strings.Repeat("0123456", longBodyBytes/7+1)[:longBodyBytes] }

// longResponse returns a behaviour that sends the part of a long body, with or without its length.
func longResponse(withLength bool, part int) behaviour {
	return behaviour{"long response", func(c net.Conn, r *http.Request) bool {
		head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signed: 1\r\n"
		if withLength {
			writeText(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", longBodyBytes)+longBody()[:part])
			return part == longBodyBytes
		}
		writeText(c, head+"Transfer-Encoding: chunked\r\n\r\n"+chunk(longBody()[:part]))
		if part == longBodyBytes {
			writeText(c, "0\r\n\r\n")
		}
		return part == longBodyBytes
	}, true}
}

func TestLongResponseIsRelayedWhole(t *testing.T) {
	for _, withLength := range []bool{true, false} {
		t.Run(fmt.Sprintf("length=%v", withLength), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, longResponse(withLength, longBodyBytes))
			r := h.call(http.MethodGet, "/r/", "")
			is.NoErr(r.err)
			is.Equal(r.status, 200)
			is.True(r.body == longBody())
		})
	}
}

// A long response that breaks off must not look complete to the caller, and must not be continued by another one.
func TestTruncatedLongResponseLooksTruncated(t *testing.T) {
	for _, withLength := range []bool{true, false} {
		t.Run(fmt.Sprintf("length=%v", withLength), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, catalog.Safe, false, longResponse(withLength, longBodyBytes-1))
			r := h.call(http.MethodGet, "/r/", "")
			is.True(r.err != nil)
			seen, _, _, _ := h.record()
			is.Equal(len(seen), 1)
		})
	}
}

// An event without end is a broken response: it is cut off, and the stream is resumed at another upstream.
func TestEventWithoutEndIsCutOff(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	endless := behaviour{"event without end", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 2)
		block := chunk("data: " + strings.Repeat("x", 8<<10))
		for sent.Load() < 256<<20 {
			n, err := io.WriteString(c, block)
			sent.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	}, true}
	h := newHarness(t, catalog.Stream, true, endless, streams)
	r := h.call(http.MethodPost, "/r/", "")
	is.NoErr(r.err)
	is.Equal(r.body, wholeStream())
	const socketBuffers = 8 << 20
	is.True(sent.Load() <= events.MaxEventBytes+socketBuffers)
}

// Comments show that the connection works, not that the stream goes on.
func TestStreamOfCommentsIsResumedElsewhere(t *testing.T) {
	is := is.New(t)
	comments := behaviour{"comments", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 2)
		for {
			if _, err := io.WriteString(c, chunk(": ping\n\n")); err != nil {
				return false
			}
			time.Sleep(eventGapTimeout / 10)
		}
	}, true}
	h := newHarness(t, catalog.Stream, true, comments, streams)
	r := h.call(http.MethodPost, "/r/", "")
	is.NoErr(r.err)
	is.Equal(strings.ReplaceAll(r.body, ": ping\n\n", ""), wholeStream())
}

// A stream whose events keep to the gap that the route allows is sound, even if it arrives byte by byte.
func TestSlowStreamWithinItsObjectiveIsNotCut(t *testing.T) {
	is := is.New(t)
	slow := behaviour{"slow", func(c net.Conn, r *http.Request) bool {
		streamFrom(c, r, 1)
		for id := 2; id <= streamEvents; id++ {
			text := event(id)
			for i := range text {
				writeText(c, chunk(text[i:i+1]))
				if id == 2 {
					time.Sleep(2 * eventGapTimeout / time.Duration(len(text)))
				}
			}
		}
		writeText(c, "0\r\n\r\n")
		return true
	}, true}
	h := newHarness(t, catalog.Stream, true, slow)
	h.config.Routes[0].MaxEventGap = 2 * eventGapTimeout
	r := h.call(http.MethodPost, "/r/", "")
	is.NoErr(r.err)
	is.Equal(r.body, wholeStream())
	seen, _, _, _ := h.record()
	is.Equal(len(seen), 1)
}
