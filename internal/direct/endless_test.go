package direct

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// slowReader reads little at a time.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 1<<10)])
}

// Guards against a plain response without end that is relayed past the caller's deadline, to a caller that reads on.
func TestResponseWithoutEndIsCutAtDeadline(t *testing.T) {
	const (
		wait = time.Second
		late = 500 * time.Millisecond
	)
	for _, tt := range []struct {
		name   string
		reader func(io.Reader) io.Reader
	}{
		{"fast caller", func(r io.Reader) io.Reader { return r }},
		{"slow caller", func(r io.Reader) io.Reader { return slowReader{r} }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan time.Time, 1)
			endless := behaviour{"body without end", func(c net.Conn, r *http.Request) bool {
				writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n\r\n")
				block := strings.Repeat("x", 64<<10)
				for {
					if _, err := io.WriteString(c, block); err != nil {
						ended <- time.Now()
						return false
					}
				}
			}, true}
			h := newHarness(t, catalog.Unsafe, false, endless)
			req := h.newRequest(http.MethodPost, "/r/", "", "X-Wait-Ms", "1000")
			start := time.Now()
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			read := make(chan error, 1)
			go func() {
				_, err := io.Copy(struct{ io.Writer }{io.Discard}, tt.reader(resp.Body))
				read <- err
			}()
			is.True((<-ended).Sub(start) < wait+late) // the upstream's connection is closed
			if tt.name == "fast caller" {
				is.True(<-read != nil) // the caller can tell that the response is not whole
			}
		})
	}
}

// maxHeldBytes is what the responses of all upstreams together may hold on the smallest host: a tenth of 184 MB.
const maxHeldBytes = 184 << 20 / 10

// withoutEnd returns a behaviour that sends a head with the fields, the prefix, and then the text again and again until its connection
// fails, and the number of bytes that it has sent. The head is left out if there are no fields.
func withoutEnd(name, fields, prefix, text string) (behaviour, *atomic.Int64) {
	sent := new(atomic.Int64)
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	return behaviour{name, func(c net.Conn, r *http.Request) bool {
		begin := prefix
		if fields != "" {
			begin = "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signed: 1\r\n" + fields + prefix
		}
		writeText(c, begin)
		for {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return false
			}
		}
	}, true}, sent
}

// heapPeak returns a function that ends the measurement and tells by how many bytes the live and the garbage objects of this process
// have grown at most.
func heapPeak() (end func() int64) {
	read := func() int64 {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}
	runtime.GC()
	before, peak, stop, done := read(), int64(0), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			peak = max(peak, read()-before)
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-done
		return peak
	}
}

// Guards against an upstream that holds a request beyond its deadline, or fills the memory, by sending without end.
func TestUpstreamThatSendsWithoutEnd(t *testing.T) {
	wait := 4 * time.Second
	if testing.Short() {
		wait = time.Second
	}
	const late = 500 * time.Millisecond
	for _, tt := range []struct {
		name                 string
		kind                 catalog.Kind
		fields, prefix, text string
	}{
		{"one header line", catalog.Unsafe, "X-Long: ", "", "x"},
		{"header lines", catalog.Unsafe, "X-Many: 1\r\n", "", "X-Many: 1\r\n"},
		{"bytes that are no HTTP", catalog.Unsafe, "", "", "\x00\xff"},
		{"event", catalog.Stream, "Content-Type: text/event-stream\r\n", "\r\n" + event(1) + "data: ", "x"},
		{"body", catalog.Unsafe, "Connection: close\r\n", "\r\n", "x"},
		{"informational responses", catalog.Unsafe, "", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"chunk extension", catalog.Unsafe, "Transfer-Encoding: chunked\r\n", "\r\n2;", "e"},
		{"trailer", catalog.Unsafe, "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", "\r\n0\r\n", "X-T: 1\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			endless, sent := withoutEnd(tt.name, tt.fields, tt.prefix, tt.text)
			h := newHarness(t, tt.kind, false, endless)
			req := h.newRequest(http.MethodPost, "/r/", "", "X-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
			peak, start := heapPeak(), time.Now()
			status, relayed, err := 0, int64(0), error(nil)
			resp, err := (&http.Client{Timeout: 3 * wait}).Do(req)
			if err == nil {
				status = resp.StatusCode
				relayed, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			took, held := time.Since(start), peak()
			t.Logf("%s: %.2f s, %.1f MB taken, %.1f MB relayed, heap %.1f MB, status %d, %v",
				tt.name, took.Seconds(), float64(sent.Load())/(1<<20), float64(relayed)/(1<<20), float64(held)/(1<<20), status, err)
			is.True(took < wait+late)
			is.True(held <= maxHeldBytes)
			is.True(err != nil || status >= http.StatusInternalServerError) // no response that looks whole
			is.True(status != http.StatusServiceUnavailable)                // which would mean that the request did not run
		})
	}
}
