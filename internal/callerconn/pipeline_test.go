package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// randomRequest returns the start of a request, which is not yet part of its head, and the rest.
func randomRequest(rng *rand.Rand, afterPost bool) (lineEnd, text string, post bool) {
	if afterPost && rng.IntN(2) == 0 {
		lineEnd = "\r\n" // callers may end a body with one
	}
	pad := strings.Repeat("x", rng.IntN(2)*rng.IntN(2*readBytes))
	body := strings.Repeat("b", rng.IntN(2*readBytes))
	switch rng.IntN(3) {
	case 0:
		return lineEnd, "GET / HTTP/1.1\r\nHost: h\r\nPad: " + pad + "\r\n\r\n", false
	case 1:
		return lineEnd, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nPad: %s\r\nContent-Length: %d\r\n\r\n%s", pad, len(body), body), true
	default:
		return lineEnd, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nPad: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", pad, len(body)+1, body+"b"), true
	}
}

// writeInParts writes both texts, the first one in one or two parts, the last of them together with the second text.
func writeInParts(c net.Conn, rng *rand.Rand, first, second string) error {
	cut := rng.IntN(2) * rng.IntN(len(first))
	if cut > 0 {
		if _, err := io.WriteString(c, first[:cut]); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.IntN(2)) * time.Millisecond)
	}
	_, err := io.WriteString(c, first[cut:]+second)
	return err
}

// pipeline sends requests, each together with a part of the head of the next one, and awaits their responses.
func pipeline(address string, rng *rand.Rand, requests int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		return err
	}
	br := bufio.NewReader(c)
	_, rest, post := randomRequest(rng, false)
	for i := range requests {
		lineEnd, next, nextPost := randomRequest(rng, post)
		begun := 1 + rng.IntN(strings.Index(next, "\r\n\r\n")+3)
		if err := writeInParts(c, rng, rest, lineEnd+next[:begun]); err != nil {
			return fmt.Errorf("write request %d: %w", i, err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return fmt.Errorf("read response %d, after %d bytes of the next head: %w", i, begun, err)
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("response %d has status %d", i, resp.StatusCode)
		}
		rest, post = next[begun:], nextPost
	}
	return nil
}

// Guards against requests that are lost because a part of their head, which came with the request before, is not seen.
func TestPipelinedHeadsAreNotIdle(t *testing.T) {
	tracker, address := startServer(t, Limits{Idle: time.Minute, Header: time.Minute})
	ended, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
				tracker.interruptIdle()
			}
		}
	}()
	const callers, requests = 50, 20
	errs := make(chan error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { errs <- pipeline(address, rand.New(rand.NewPCG(uint64(i), 49)), requests) })
	}
	wg.Wait()
	close(stop)
	<-ended
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}
