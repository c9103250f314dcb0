package direct

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/events"
)

// repeats returns an upstream that begins a response with the head and then writes the text again and again, until the
// connection is closed.
func repeats(name, head, text string, pause time.Duration) behaviour {
	return behaviour{name, func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n"+head)
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return false
			}
			time.Sleep(pause)
		}
	}, true}
}

// silentAfter returns an upstream that begins a response and then sends nothing, until the connection is closed.
func silentAfter(name, response string) behaviour {
	return behaviour{name, func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n"+response)
		_, _ = io.Copy(io.Discard, c)
		return false
	}, true}
}

// unheldBody is more than is held of a response, so that it is relayed as it arrives.
var unheldBody = strings.Repeat("x", maxBufferedBytes+1)

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// lockedLog is a log that may be read while it is written.
type lockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// count returns how often the text was written.
func (l *lockedLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// line returns the fields of the first line of a request that was not served; nil if there is none.
func (l *lockedLog) line(t *testing.T) map[string]any { return l.event(t, "not-served", "cancelled") }

// event returns the fields of the first line of one of the events; nil if there is none.
func (l *lockedLog) event(t *testing.T, names ...string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for text := range strings.Lines(l.buf.String()) {
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(text), &fields); err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(names, func(name string) bool { return fields["event"] == name }) {
			return fields
		}
	}
	return nil
}

// shortBound is the time after which a response that has begun is ended.
const shortBound = 300 * time.Millisecond

// endCase is a response that has begun and is ended by one bound.
type endCase struct {
	kind     catalog.Kind
	upstream behaviour
	timeout  time.Duration // of the route
	wait     time.Duration // of the caller; 0 if it names none
	leaves   bool          // the caller closes its connection after the first byte
	endedBy  string
}

// play plays the case with another time in place of shortBound. It returns false if the time was over before the response began.
func (tt endCase) play(t *testing.T, short time.Duration) bool {
	is := is.New(t)
	h := newHarness(t, tt.kind, false, tt.upstream)
	h.config.Routes[0].Timeout = tt.timeout
	if tt.timeout == shortBound {
		h.config.Routes[0].Timeout = short
	}
	h.serve(allowance.RetryLimits{}, 1<<20) // a stream is not resumed
	log, scope := &lockedLog{}, tally.NewTestScope("", nil)
	h.server.Log, h.server.responses = zerolog.New(log), newResponseCounters(scope)
	h.leaveOnly()
	req := h.newRequest(http.MethodPost, "/r/", "")
	if tt.wait == shortBound {
		req.Header.Set("X-Wait-Ms", strconv.FormatInt(short.Milliseconds(), 10))
	} else if tt.wait > 0 {
		req.Header.Set("X-Wait-Ms", strconv.FormatInt(tt.wait.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusGatewayTimeout {
		return false
	}
	is.Equal(resp.StatusCode, http.StatusOK)
	if tt.leaves {
		_, err = resp.Body.Read(make([]byte, 1))
		is.NoErr(err)
		resp.Body.Close()
	} else {
		_, err = io.Copy(struct{ io.Writer }{io.Discard}, resp.Body)
		is.True(err != nil) // the caller can tell that the response is not whole
	}
	// The line is logged before the response is counted.
	var line map[string]any
	counts := map[string]int64{}
	for end := time.Now().Add(responseTimeout); (line == nil || len(counts) == 0) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		line, counts = log.line(t), cutResponses(scope)
	}
	is.True(line != nil)
	is.True(time.Since(start) < responseTimeout)
	is.Equal(line["ended_by"], tt.endedBy)
	is.Equal(line["peer"], "u1")
	sent, _ := line["bytes"].(float64)
	took, _ := line["took_ms"].(float64)
	is.True(sent > 0)
	is.True(took > 0)
	is.Equal(counts, map[string]int64{tt.endedBy: 1})
	return true
}

// cutResponses returns the number of responses that were cut, by what ended them.
func cutResponses(scope tally.TestScope) map[string]int64 {
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "answers_cut" {
			counts[c.Tags()["ended_by"]] += c.Value()
		}
	}
	return counts
}

// Guards against responses that have begun and of which nobody can tell when and why they end: each ends with whole, or by
// one of the bounds, the caller sees that it is cut, and a log line and a metric tell it.
func TestBegunResponseEndsByOneBound(t *testing.T) {
	const long, short, none = 10 * time.Second, shortBound, time.Duration(0)
	endless := repeats("close-delimited without end", "\r\n", strings.Repeat("x", 64<<10), 0)
	trickle := repeats("trickles", chunkedHead, chunk(unheldBody), 20*time.Millisecond)
	eventless := repeats("comments only", chunkedHead+chunk(event(1)), chunk(": alive\n\n"), 20*time.Millisecond)
	stream := repeats("stream without end", chunkedHead, chunk(event(1)), 20*time.Millisecond)
	closeDelimited := repeats("close-delimited stream without end", "\r\n", event(1), 20*time.Millisecond)
	tests := []endCase{
		{catalog.Unsafe, endless, long, short, false, "caller-deadline"},
		{catalog.Unsafe, endless, short, none, false, "route-timeout"},
		{catalog.Unsafe, endless, short, long, false, "route-timeout"},
		{catalog.Unsafe, endless, long, long, true, "caller"},
		{catalog.Unsafe, trickle, long, short, false, "caller-deadline"},
		{catalog.Unsafe, trickle, long, long, true, "caller"},
		{catalog.Unsafe, silentAfter("silent", chunkedHead+chunk(unheldBody)), long, short, false, "caller-deadline"},
		{catalog.Unsafe, behaviour{"cut", func(c net.Conn, r *http.Request) bool {
			writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n"+chunkedHead+chunk(unheldBody))
			return false
		}, true}, long, long, false, "upstream"},
		{catalog.Safe, trickle, long, short, false, "caller-deadline"},
		{catalog.Safe, silentAfter("silent", chunkedHead+chunk(unheldBody)), long, short, false, "caller-deadline"},
		{catalog.Stream, stream, long, short, false, "caller-deadline"},
		{catalog.Stream, stream, short, none, false, "route-timeout"},
		{catalog.Stream, stream, long, long, true, "caller"},
		{catalog.Stream, closeDelimited, long, short, false, "caller-deadline"},
		{catalog.Stream, eventless, long, short, false, "caller-deadline"},
		{catalog.Stream, repeats("event without end", chunkedHead+chunk(event(1)+"id: 2\ndata: "), chunk(strings.Repeat("x", events.MaxEventBytes/4)), 0), long, long, false, "size"},
		{catalog.Stream, silentAfter("silent, and no other may be tried", chunkedHead+chunk(event(1))), long, short, false, "caller-deadline"},
		{catalog.Stream, cutStream, long, long, false, "upstream"},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind)+" "+tt.upstream.name+" "+tt.endedBy, func(t *testing.T) {
			t.Parallel()
			// A response of a machine that is busy may not begin within the shortest bound.
			if !tt.play(t, shortBound) && !tt.play(t, 4*shortBound) {
				t.Error("the response did not begin")
			}
		})
	}
}

// A silent upstream is given up only if another one may be tried. If that one is then refused, the silence ended the response.
func TestSilenceEndsResponseIfOtherUpstreamWasRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, catalog.Stream, true)
	req := &Request{Deadline: time.Now().Add(time.Minute)}
	is.Equal(h.server.endedBy(t.Context(), req, errors.Wrap(balance.ErrResponseTimeout, "read stream")), "no-progress")
	req.Deadline = time.Now().Add(-time.Second)
	is.Equal(h.server.endedBy(t.Context(), req, errors.Wrap(balance.ErrResponseTimeout, "read stream")), "no-progress")
	is.Equal(h.server.endedBy(t.Context(), req, errors.New("read stream")), "route-timeout")
}

// Guards against long responses that are cut in the middle of the time that the caller leaves: nothing else can be tried
// once a part of one has been relayed.
func TestLongSafeResponseMayUseAllTime(t *testing.T) {
	is := is.New(t)
	slow := behaviour{"slow", func(c net.Conn, r *http.Request) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: 1\r\n"+chunkedHead+chunk(unheldBody))
		time.Sleep(1200 * time.Millisecond)
		writeText(c, chunk("rest")+"0\r\n\r\n")
		return true
	}, true}
	h := newHarness(t, catalog.Safe, false, slow)
	got := h.call(http.MethodGet, "/r/", "", "X-Wait-Ms", "2000")
	is.NoErr(got.err)
	is.Equal(len(got.body), len(unheldBody)+len("rest"))
}

// Guards against a whole request that ends without a response because its caller has closed only its side of the connection.
func TestRequestOfHalfClosedCallerIsRefused(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			upstream, ended := hangs()
			h := newHarness(t, kind, false, upstream)
			c := newRawCaller(t, h)
			c.Write("GET /r/first" + rawHead + "\r\n")
			h.waitRun()
			is.NoErr(c.Conn.CloseWrite())
			is.Equal(c.Status(), http.StatusBadGateway) // it may have run
			<-ended
		})
	}
}
