package soak

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// requestTimeout is the timeout of the routes on which closed-loop clients send.
const requestTimeout = 2 * time.Second

// call is one request and its result as observed by the client.
type call struct {
	id, path, team, router string
	// prompt lists the segments of the prompt; empty if there is none.
	prompt         string
	started, ended time.Time
	// status is 0 if there was no response.
	status   int
	stamp    string
	body     string
	complete bool
	// key is the API key. revoked is set if it was revoked at least configLimit ago.
	key     string
	revoked bool
	// resumes is the ID of the request that brought the first event of the stream that this one takes up, and after the last
	// event received.
	resumes string
	after   int
	// timeLeft is the deadline that the request names; the timeout of its route if it is 0.
	timeLeft time.Duration
	// dropAfter is the number of events after which the client closes the connection; 0 for never.
	dropAfter  int
	retryAfter time.Duration
	// unconnected is set if no connection could be established.
	unconnected bool
}

// clients sends requests to the routers until it is stopped, and records the results.
type clients struct {
	mu    sync.Mutex
	calls []call
	// keys are the current API keys by team; rotateKey replaces them.
	keys map[string]string
	// dropShare is the share of streams whose connections the clients close midway.
	dropShare float64
	paths     []string
}

// route is a route, by its path, and the shape of its responses.
type route struct {
	kind, service string
	attempts      int
	// events is the number of events of a stream; 0 for a plain response.
	events int
	// timeout is also the deadline that clients send.
	timeout, objective time.Duration
	// gap is the longest pause between two events of a stream that is on time.
	gap      time.Duration
	priority int
}

var routes = map[string]route{
	"/safe/":   {kind: "safe", service: "s", attempts: 2, timeout: requestTimeout, objective: 500 * time.Millisecond, gap: 200 * time.Millisecond},
	"/unsafe/": {kind: "unsafe", service: "s", attempts: 2, timeout: requestTimeout, objective: 500 * time.Millisecond, gap: 200 * time.Millisecond},
	"/stream/": {kind: "streaming", service: "s", attempts: 3, events: streamLength, timeout: requestTimeout, objective: 500 * time.Millisecond, gap: 200 * time.Millisecond},

	"/diagnosis/":   {kind: "streaming", service: "engines", attempts: 2, events: 55, timeout: 12 * time.Second, objective: 600 * time.Millisecond, gap: 300 * time.Millisecond},
	"/question/":    {kind: "streaming", service: "engines", attempts: 2, events: 42, timeout: 10 * time.Second, objective: 800 * time.Millisecond, gap: 300 * time.Millisecond, priority: 1},
	"/tag/":         {kind: "streaming", service: "engines", attempts: 2, events: 3, timeout: 3 * time.Second, objective: 1200 * time.Millisecond, gap: 300 * time.Millisecond, priority: 2},
	"/charge/":      {kind: "unsafe", service: "billing", attempts: 1, timeout: 600 * time.Millisecond, objective: 100 * time.Millisecond, priority: 2},
	"/lookup/":      {kind: "safe", service: "billing", attempts: 2, timeout: 600 * time.Millisecond, objective: 100 * time.Millisecond, priority: 2},
	"/kept-safe/":   {kind: "safe", service: "s", attempts: 2, timeout: longDeadline, objective: 500 * time.Millisecond, gap: 200 * time.Millisecond},
	"/kept-unsafe/": {kind: "unsafe", service: "s", attempts: 2, timeout: longDeadline, objective: 500 * time.Millisecond, gap: 200 * time.Millisecond},
	"/kept-stream/": {kind: "streaming", service: "s", attempts: 3, events: streamLength, timeout: longDeadline, objective: 500 * time.Millisecond, gap: 200 * time.Millisecond},

	"/added/": {kind: "safe", service: "billing", attempts: 2, timeout: requestTimeout, objective: 100 * time.Millisecond},
}

func isStream(path string) bool { return routes[path].events > 0 }

var paths = []string{"/safe/", "/unsafe/", "/stream/"}

// run sends requests in a loop from one client, which reuses its connections.
func (c *clients) run(n int, routers []string, seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	client := &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+r.IntN(40)) * time.Millisecond):
		}
		team := fmt.Sprintf("t%d", r.IntN(teams))
		v := call{id: fmt.Sprintf("%d-%d", n, i), path: c.paths[r.IntN(len(c.paths))], team: team, router: routers[r.IntN(len(routers))]}
		v.key = c.key(team)
		if c.dropShare > 0 && r.Float64() < c.dropShare {
			v.dropAfter = 1 + r.IntN(streamLength-1)
		}
		if v = c.sendAndRecord(client, v); v.brokeOff() {
			c.takeUp(v, routers)
		}
	}
}

// key returns the current API key of the team.
func (c *clients) key(team string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[team]
}

// sendAndRecord sends the request, and records and returns the result.
func (c *clients) sendAndRecord(client *http.Client, v call) call {
	send(client, &v)
	c.record(v)
	return v
}

func (c *clients) record(v call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, v)
}

func send(client *http.Client, v *call) {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.router+v.path, strings.NewReader("body of "+v.id))
	if err != nil {
		panic(err)
	}
	req.Host = "soak.example"
	req.Header.Set("Orioleusher-Request-Id", v.id)
	req.Header.Set("Orioleusher-Deadline-Ms", fmt.Sprint(cmp.Or(v.timeLeft, routes[v.path].timeout).Milliseconds()))
	req.Header.Set("Api-Key", v.key)
	if v.prompt != "" {
		req.Header.Set("Orioleusher-Prefix-Hash", v.prompt)
	}
	if v.resumes != "" {
		req.Header.Set("Resumes", v.resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(v.after))
	}
	v.started = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		v.body, v.complete = readBody(resp.Body, v.dropAfter)
		resp.Body.Close()
		v.status, v.stamp = resp.StatusCode, resp.Header.Get("Orioleusher-Response-Stamp")
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		v.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	var failure *net.OpError
	v.unconnected = errors.As(err, &failure) && failure.Op == "dial"
	v.ended = time.Now()
}

// readBody reads to the end of the body or, if dropAfter is not 0, to that number of events. It reports whether the end was
// reached.
func readBody(r io.Reader, dropAfter int) (body string, complete bool) {
	var b strings.Builder
	block := make([]byte, 4096)
	for {
		n, err := r.Read(block)
		b.Write(block[:n])
		if err != nil {
			return b.String(), err == io.EOF
		}
		if dropAfter > 0 && strings.Count(b.String(), eventEnd) >= dropAfter {
			return b.String(), false
		}
	}
}
