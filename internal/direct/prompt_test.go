package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/promptblame"
)

// deadlySegment is the prompt segment that crashes the upstreams of these tests.
const deadlySegment = "deadly"

// restartTime is how long an upstream takes to start, which keeps crashes of one upstream apart.
const restartTime = 100 * time.Millisecond

// crashingPool is a pool of upstreams that crash when they begin to answer a prompt with deadlySegment: the head of the
// answer and part of an event are sent, and then all connections and the listener are closed.
type crashingPool struct {
	t         testing.TB
	mu        sync.Mutex
	addresses []string
	listeners map[string]net.Listener
	conns     map[string][]net.Conn
	crashes   int
	// eventsBeforeCrash is the number of events that are sent whole before a crash.
	eventsBeforeCrash int
	// served counts the answered requests by the segments of their prompts.
	served map[string]int
}

// newCrashingPool starts n upstreams and publishes them in place of the harness's own.
func newCrashingPool(h *harness, n int) *crashingPool {
	p := &crashingPool{t: h.t, listeners: map[string]net.Listener{}, conns: map[string][]net.Conn{}, served: map[string]int{}}
	for i := range n {
		address := p.start("127.0.0.1:0")
		p.addresses = append(p.addresses, address)
		h.publish(fmt.Sprintf("up/c%d/%s", i, address))
	}
	h.t.Cleanup(func() {
		for _, address := range p.addresses {
			p.stop(address)
		}
	})
	return p
}

// serveCrashingPool returns a host that sends all requests to a pool of three upstreams.
func serveCrashingPool(t *testing.T) (*harness, *crashingPool) {
	h := newHarness(t, catalog.Stream, true)
	for i, l := range h.listeners {
		h.publish(fmt.Sprintf("up/u%d/%s/leaving", i+1, l.Addr()))
	}
	h.serve(allowance.RetryLimits{Ratio: 0.2, Slack: 1000}, 1<<20)
	return h, newCrashingPool(h, 3)
}

func (p *crashingPool) start(address string) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		p.t.Fatal(err)
	}
	address = l.Addr().String()
	p.mu.Lock()
	p.listeners[address] = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns[address] = append(p.conns[address], c)
			p.mu.Unlock()
			go p.serve(address, c)
		}
	}()
	return address
}

// stop closes the upstream's listener and connections. It reports whether the upstream was running.
func (p *crashingPool) stop(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.listeners[address]
	if l == nil {
		return false
	}
	p.listeners[address] = nil
	_ = l.Close()
	for _, c := range p.conns[address] {
		_ = c.Close()
	}
	p.conns[address] = nil
	return true
}

// restart starts the upstreams that have crashed.
func (p *crashingPool) restart() {
	for _, address := range p.addresses {
		p.mu.Lock()
		down := p.listeners[address] == nil
		p.mu.Unlock()
		if down {
			time.Sleep(restartTime)
			p.start(address)
		}
	}
}

func (p *crashingPool) serve(address string, c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		prompt := r.Header.Get("X-Prompt")
		if strings.Contains(prompt, deadlySegment) {
			p.beginAnswer(c, r)
			if p.stop(address) {
				p.mu.Lock()
				p.crashes++
				p.mu.Unlock()
			}
			return
		}
		p.mu.Lock()
		p.served[prompt]++
		p.mu.Unlock()
		streamFrom(c, r, streamEvents)
		writeText(c, "0\r\n\r\n")
	}
}

// beginAnswer sends the events before a crash, from the one that the caller lacks on, and a part of the next.
func (p *crashingPool) beginAnswer(c net.Conn, r *http.Request) {
	writeText(c, fmt.Sprintf(streamHead, r.Header.Get("X-Id")))
	first, _ := strconv.Atoi(r.Header.Get("X-Last"))
	for id := first + 1; id <= first+p.eventsBeforeCrash; id++ {
		writeText(c, chunk(event(id)))
		time.Sleep(time.Millisecond)
	}
	writeText(c, chunk("id: 1\nda"))
}

func (p *crashingPool) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// waitCrashesRecorded waits until the host has recorded as many crashes as there were.
func (h *harness) waitCrashesRecorded(p *crashingPool) {
	for {
		recorded := 0
		for _, state := range h.quarantine.State() {
			recorded += state.Crashes
		}
		if recorded >= p.crashCount() {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that share a deadly prompt segment, no two alike, and crash one upstream after the other
// (BUDGET), and against sound requests with the same other segments that are refused for it (LOST).
func TestRequestsWithDeadlySegmentAreRefusedAndSoundOnesServed(t *testing.T) {
	is := is.New(t)
	h, p := serveCrashingPool(t)
	const (
		requests     = 20
		maxCrashes   = 5 + 3*2 // after five crashes three requests may still come, each of which is sent twice
		soundPerStep = 5
	)
	refused := 0
	for i := range requests {
		for j := range soundPerStep {
			got := h.call(http.MethodPost, "/r/", fmt.Sprint("sound", i, j), "X-Prompt", fmt.Sprintf("common,thing,own-%d-%d", i, j))
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, wholeStream())
		}
		got := h.call(http.MethodPost, "/r/", fmt.Sprint("deadly", i), "X-Prompt", fmt.Sprintf("common,thing,%s,own-%d", deadlySegment, i))
		if got.status == http.StatusServiceUnavailable {
			refused++
			is.True(got.header.Get("Retry-After") != "")
		}
		h.waitCrashesRecorded(p)
		p.restart()
	}
	is.True(p.crashCount() <= maxCrashes)
	is.True(refused >= requests-maxCrashes)
	once, recorded := 0, 0
	for _, state := range h.quarantine.State() {
		is.True(state.Crashes <= 2) // each request was sent twice at most
		recorded += state.Crashes
		if state.Crashes == 1 {
			once++
		}
	}
	is.Equal(recorded, p.crashCount())
	is.True(once <= 1) // only the request that runs when the segment is blamed is not sent again
}

// blame makes all requests whose prompts have the segment be refused, unless their answers have passed the stage: it records
// more crashes than any blame needs, beside answers to another prompt.
func (h *harness) blame(id string, stage promptblame.Stage) {
	segments, first := []uint64{loadbalancer.HashKey(id)}, time.Now()
	if stage != promptblame.Beginning { // crashes at later stages count after a while
		first = first.Add(-45 * time.Second)
	}
	for range 20 {
		h.prompts.RecordPassed([]uint64{loadbalancer.HashKey("another")}, promptblame.Beginning, promptblame.Answered)
	}
	for i := range uint64(40) {
		at := first.Add(time.Duration(i) * time.Second)
		h.prompts.RecordCrash(promptblame.Attempt{Segments: segments, Request: i, Upstream: i, CrashedAt: at}, stage)
	}
	if h.prompts.Check(segments, stage) == 0 {
		h.t.Errorf("segment %s is not blamed", id)
	}
}

// Guards against a stream that is cut off although an upstream has answered its prompt for so long that the prompt is sound, and
// against one that goes on to crash the next upstream, since its first events are taken for a proof.
func TestStreamIsResumedDespiteBlameOnlyAfterLongAnswer(t *testing.T) {
	for _, tt := range []struct {
		answered time.Duration
		stage    promptblame.Stage
		resumed  bool
	}{
		{0, promptblame.FirstEvents, false}, {200 * time.Millisecond, promptblame.FirstMoments, false},
		{700 * time.Millisecond, promptblame.FirstSecond, false},
		{0, promptblame.Beginning, true},
		{1600 * time.Millisecond, promptblame.Beginning, true},
	} {
		t.Run(fmt.Sprintf("after %s, stage %d", tt.answered, tt.stage), func(t *testing.T) {
			is := is.New(t)
			relayed := make(chan struct{})
			cut := behaviour{"stream cut after some time", func(c net.Conn, r *http.Request) bool {
				writeText(c, fmt.Sprintf(streamHead, r.Header.Get("X-Id")))
				for id := 1; id <= 3; id++ {
					writeText(c, chunk(event(id)))
					time.Sleep(tt.answered / 2)
				}
				<-relayed
				return false
			}, true}
			h := newHarness(t, catalog.Stream, true, cut, streams)
			resp, err := http.DefaultClient.Do(h.newRequest(http.MethodPost, "/r/", "", "X-Prompt", "common,thing,own"))
			is.NoErr(err)
			defer resp.Body.Close()
			for id := 1; id <= 3; id++ {
				_, err = io.ReadFull(resp.Body, make([]byte, len(event(id))))
				is.NoErr(err)
			}
			h.blame("thing", tt.stage)
			close(relayed)
			_, err = io.ReadAll(resp.Body)
			is.Equal(err == nil, tt.resumed)
			seen, _, _, _ := h.record()
			is.Equal(len(seen) == 2, tt.resumed)
		})
	}
}

// Guards against deadly prompts that are never refused, because upstreams crash only after some events of the answer, and
// against sound streams that are refused for the crashes beside them.
func TestCrashAfterFirstEventsCountsAgainstPrompt(t *testing.T) {
	for _, events := range []int{1, 2, 10} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			is := is.New(t)
			h, p := serveCrashingPool(t)
			p.eventsBeforeCrash = events
			const requests, step, window, maxLate = 24, 250 * time.Millisecond, 3 * time.Second, 3
			refused, late := 0, 0
			var fifth time.Time
			for i := range requests {
				for j := range 5 {
					got := h.call(http.MethodPost, "/r/", fmt.Sprint("sound", i, j), "X-Prompt", fmt.Sprintf("common,thing,own-%d-%d", i, j))
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, wholeStream())
				}
				before, sent := p.crashCount(), time.Now()
				got := h.call(http.MethodPost, "/r/", fmt.Sprint("deadly", i), "X-Prompt", fmt.Sprintf("common,thing,%s,own-%d", deadlySegment, i))
				if got.status == http.StatusServiceUnavailable {
					refused++
				}
				crashes := p.crashCount()
				if !fifth.IsZero() && sent.Sub(fifth) > window {
					late += crashes - before
				}
				if crashes >= 5 && fifth.IsZero() {
					fifth = time.Now()
				}
				h.waitCrashesRecorded(p)
				p.restart()
				time.Sleep(step - restartTime)
			}
			is.True(late <= maxLate)
			is.True(refused > 0)
		})
	}
}

// Guards against a refusal that says "not run" although an upstream may have run the request, and against sends after a
// blame.
func TestRequestIsNotSentAgainAfterBlame(t *testing.T) {
	is := is.New(t)
	var h *harness
	cut := behaviour{"cut after a blame", func(net.Conn, *http.Request) bool {
		h.blame("thing", promptblame.Beginning)
		return false
	}, true}
	h = newHarness(t, catalog.Stream, true, cut)
	got := h.call(http.MethodPost, "/r/", "", "X-Prompt", "common,thing,own")
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("Retry-After"), "")
	got = h.call(http.MethodPost, "/r/", "", "X-Prompt", "common,thing,other")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	seen, _, _, _ := h.record()
	is.Equal(len(seen), 1)
}
