package bounds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/testconn"
)

// upstream is a stand-in for a server of the platform. respond returns false if the connection must be closed.
type upstream struct {
	instance, service, address string
	respond                    func(c net.Conn, head string) (keep bool)
}

func (u *upstream) entry() map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address, "zone": "z", "slots": 1000, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": 1, "version": "v1",
	}
}

func (u *upstream) start(t *testing.T) {
	t.Helper()
	testconn.Listen(t, u.address, u.serve)
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nOrioleusher-Request-Id: " + r.Header.Get("Orioleusher-Request-Id") +
			"\r\nOrioleusher-Response-Stamp: " + u.instance + "\r\n"
		if !u.respond(c, head) {
			return
		}
	}
}

const soundBody = "sound"

func respondSound(c net.Conn, head string) bool {
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(soundBody), soundBody)
	return err == nil
}

// blockBytes and blockPause set how fast a flood is: 16 MB a second at most.
const (
	blockBytes = 32 << 10
	blockPause = 2 * time.Millisecond
)

// repeat returns a response that begins with the text and goes on without end. If fields are given, the head of a response is before it.
func repeat(fields, prefix, text string) func(net.Conn, string) bool {
	block := []byte(strings.Repeat(text, 1+blockBytes/len(text)))
	return func(c net.Conn, head string) bool {
		begin := prefix
		if fields != "" {
			begin = head + fields + prefix
		}
		_, _ = io.WriteString(c, begin)
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
			time.Sleep(blockPause)
		}
	}
}

// floods are what upstreams in trouble send instead of a response.
var floods = []func(net.Conn, string) bool{
	repeat("X-Long: ", "", "x"),
	repeat("X-Many: 1\r\n", "", "X-Many: 1\r\n"),
	repeat("", "", "\x00\xff"),
	repeat("", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
	repeat("Transfer-Encoding: chunked\r\n", "\r\n2;", "e"),
	repeat("Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", "\r\n0\r\n", "X-T: 1\r\n"),
	repeat("Connection: close\r\n", "\r\n", "x"),
	repeat("Content-Length: 1000000000000\r\n", "\r\n", "x"),
}

var (
	endlessBody  = repeat("Connection: close\r\n", "\r\n", "x")
	endlessEvent = repeat("Content-Type: text/event-stream\r\n", "\r\ndata: ", "x")
)

// endlessStream sends events of 16 KB as fast as they are taken.
func endlessStream(c net.Conn, head string) bool {
	const eventBytes = 16 << 10
	_, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	text := strings.Repeat("x", eventBytes)
	for id := 1; err == nil; id++ {
		_, err = fmt.Fprintf(c, "id: %d\ndata: %s\n\n", id, text)
	}
	return false
}

// slowPause is the pause of a caller that reads or writes slowly.
const slowPause = 50 * time.Millisecond
