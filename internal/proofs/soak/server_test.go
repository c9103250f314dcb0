package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/orioleusher/orioleusher/platform/standin"
)

// arrival is one request as received by a server.
type arrival struct {
	request, instance, team, key, path string
	routerIP                           string // the IP of the router
	at                                 time.Time
	executed                           bool
	// misdirected is set if the request was meant for another instance, which the response said.
	misdirected bool
	// version is the version of the server's software.
	version string
	// timeLeft is the deadline that the request names; 0 if it names none.
	timeLeft time.Duration
	// resumedAfter is the last event that the client received; 0 for a new stream.
	resumedAfter int
	// limit is the request limit that the response named, in requests per second; 0 if it named none.
	limit float64
	// leaving is set if the response said that the server is leaving, pause is the time that it asked for when it refused.
	leaving bool
	pause   time.Duration
	// held is the number of requests that the server held when this one arrived, and meanHeld its mean over the service.
	held     int
	meanHeld float64
	// stalled is set if the server stood still then.
	stalled bool
	// ended is the time at which the server was done with the request; zero until then.
	ended time.Time
}

// servers are all stand-in servers of a run, and the requests that they received.
type servers struct {
	mu       sync.Mutex
	arrivals []arrival
	rand     *rand.Rand
	// faultShare is the share of requests that are answered with a fault.
	faultShare float64
	// cutShare is the share of streams that are cut, and eventInterval the time between two events of a stream.
	cutShare      float64
	eventInterval time.Duration
	// firstEvent is the time before the head of a stream, and slowdown what each request that a server holds adds to its
	// eventInterval.
	firstEvent, slowdown time.Duration
	// serving lists the periods in which instances were published as ready.
	serving []servingPeriod
	store   *standin.Store
	list    []*server
}

// serverSpec is what a server is.
type serverSpec struct {
	service, zone string
	slots         int
	// tellsLoad is set if the server's responses tell its load.
	tellsLoad bool
}

// server is one address at which instances run one after another.
type server struct {
	serverSpec
	all    *servers
	listen string // the address that it listens on
	public string // the proxy address that routers connect to

	// held is the number of requests that the server holds. It stands still until stalledUntil. all.mu guards both.
	held         int
	stalledUntil time.Time

	mu          sync.Mutex
	instance    string
	version     string
	startNumber int64
	seq         int
	draining    bool
	limit       float64 // the request limit that responses name; 0 if they name none
	leaving     bool    // responses say that the server is leaving
	// pause is the time that refusals ask for while the server refuses all requests; 0 if it does not.
	pause    time.Duration
	listener net.Listener
	conns    map[net.Conn]bool
	// rejections makes the server queue and turn away requests; nil if it runs all at once.
	rejections *rejections
	// crashedInstance is the last instance that a deadly prompt crashed.
	crashedInstance string
}

const streamLength = 8

// headerWorkMS is how long a server works on a request before it begins to answer, in milliseconds.
const headerWorkMS = "X-Work-Ms"

// floods are what a server in trouble sends without end instead of a response.
var floods = []struct{ prefix, text string }{
	{"HTTP/1.1 200 OK\r\nX-Long: ", "x"}, {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"}, {"", "\x00\xff"},
}

// faultKinds is the number of faults of a response, with the floods last.
const faultKinds = 8

// start starts a new instance.
func (s *server) start() error {
	s.mu.Lock()
	s.instance = fmt.Sprintf("i-%s-%d", s.public, s.startNumber+1)
	s.mu.Unlock()
	return s.startAgain()
}

// startAgain starts the server under the ID that it had.
func (s *server) startAgain() error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.startNumber++
	s.seq = 0
	s.listener, s.conns, s.draining, s.limit, s.leaving, s.pause = l, map[net.Conn]bool{}, false, 0, false, 0
	instance, version := s.instance, s.version
	s.mu.Unlock()
	s.all.beginServing(instance, version, s.publish())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// publish writes the server's entry into the store, as a heartbeat, and returns the time of the write.
func (s *server) publish() time.Time {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.service, "address": s.public, "zone": s.zone, "slots": s.slots, "state": state, "cold_remaining_ms": 0,
		"sequence": s.seq, "born": s.startNumber, "version": s.version,
	}
	key := "servers/" + s.instance
	s.mu.Unlock()
	return s.all.store.Put(key, entry)
}

// drain announces that the server leaves and returns the time at which the store acknowledged that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	instance := s.instance
	s.mu.Unlock()
	s.all.endServing(instance)
	return s.publish()
}

// crash stops the instance, resets all its connections and removes its entry from the store.
func (s *server) crash() {
	s.all.store.Remove("servers/" + s.reset())
}

// reset stops the instance, resets all its connections and returns the instance.
func (s *server) reset() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.all.endServing(s.instance)
	return s.instance
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !s.respond(c, r) {
			return
		}
	}
}

// respond serves one request or health check. It returns false if the connection must be closed.
func (s *server) respond(c net.Conn, r *http.Request) bool {
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		return s.answerHealthCheck(c)
	}
	return s.answer(c, r)
}

// answer serves one request. It returns false if the connection must be closed.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	s.mu.Lock()
	instance, version, limit, leaving, pause, rejections := s.instance, s.version, s.limit, s.leaving, s.pause, s.rejections
	s.mu.Unlock()
	id := r.Header.Get("Orioleusher-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	timeLeftMS, _ := strconv.Atoi(r.Header.Get("Orioleusher-Deadline-Ms"))
	v := arrival{
		request: id, instance: instance, version: version, team: r.Header.Get("Orioleusher-Tenant-Id"), key: r.Header.Get("Api-Key"),
		path: r.URL.Path, routerIP: c.RemoteAddr().(*net.TCPAddr).IP.String(), at: time.Now(), executed: true, resumedAfter: after, limit: limit, leaving: leaving,
		timeLeft: time.Duration(timeLeftMS) * time.Millisecond,
	}
	head := "Orioleusher-Request-Id: " + id + "\r\n"
	if limit > 0 {
		head += fmt.Sprintf("Server-Limit: %.1f\r\n", limit)
	}
	if leaving {
		head += "Server-Leaving: 1\r\n"
	}
	if r.Header.Get("Orioleusher-Expect-Instance") != instance {
		v.misdirected = true
		return s.refuse(c, v, "421 Misdirected", head+"Orioleusher-Not-Executed: 1\r\n")
	}
	if pause > 0 {
		v.pause = pause
		return s.refuse(c, v, "503 Busy", head+fmt.Sprintf("Orioleusher-Not-Executed: 1\r\nRetry-After: %.2f\r\n", pause.Seconds()))
	}
	if rejections != nil {
		head += rejections.notice()
		end := rejections.admit()
		if end == nil {
			return s.refuse(c, v, "503 Busy", head+"Orioleusher-Not-Executed: 1\r\n")
		}
		defer end()
		s.work(brittleWork)
	}
	faulty, kind := s.all.drawFault()
	if faulty && kind == 0 {
		return s.refuse(c, v, "503 Busy", head+"Orioleusher-Not-Executed: 1\r\n")
	}
	defer s.finish(s.record(v))
	head += "Orioleusher-Response-Stamp: " + instance + "\r\n"
	if strings.Contains(r.Header.Get("Orioleusher-Prefix-Hash"), deadlySegment) {
		s.crashAndRestart(instance)
		return false
	}
	if ms, err := strconv.Atoi(r.Header.Get(headerWorkMS)); err == nil {
		s.work(time.Duration(ms) * time.Millisecond)
	}
	if faulty && kind >= 5 {
		flood(c, floods[kind-5].prefix, floods[kind-5].text)
		return false
	}
	if isStream(r.URL.Path) {
		s.work(s.all.firstEvent)
		return s.stream(c, head, v, s.all.drawCut(faulty))
	}
	if !faulty {
		kind = 0
	}
	return s.plain(c, head, id, instance, kind)
}

// healthPath is the path of health checks, which are no requests of clients.
const healthPath = "/health"

func (s *server) answerHealthCheck(c net.Conn) bool {
	s.work(0)
	s.mu.Lock()
	instance, status := s.instance, "200 OK"
	if s.draining {
		status = "503 Leaving"
	}
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nOrioleusher-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, instance)
	return err == nil
}

// plain sends a plain response with a fault of the kind, or without one if the kind is 0.
func (s *server) plain(c net.Conn, head, id, instance string, kind int) bool {
	s.work(5 * time.Millisecond)
	head += s.load()
	body := responseBody(id, instance)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch kind {
	case 1: // lose the response
		return false
	case 2: // truncate the response
		_, _ = io.WriteString(c, text[:len(text)-3])
		return false
	case 3: // append a response to another request
		_, _ = io.WriteString(c, text+"HTTP/1.1 200 OK\r\nOrioleusher-Request-Id: other\r\nContent-Length: 1\r\n\r\nx")
		return true
	}
	_, err := io.WriteString(c, text)
	if kind == 4 { // send a second copy late, when the connection may be in use again
		time.Sleep(30 * time.Millisecond)
		_, err = io.WriteString(c, text)
	}
	return err == nil
}

// maxFloodBytes ends a flood that the router has not ended.
const maxFloodBytes = 256 << 20

// flood sends bytes that are no response until the connection fails.
func flood(c net.Conn, prefix, text string) {
	block := strings.Repeat(text, 64<<10/len(text))
	_, err := io.WriteString(c, prefix)
	for sent := 0; err == nil && sent < maxFloodBytes; sent += len(block) {
		_, err = io.WriteString(c, block)
	}
}

func (s *server) refuse(c net.Conn, v arrival, status, head string) bool {
	v.executed = false
	s.record(v)
	s.work(0)
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+head+"Content-Length: 0\r\n\r\n")
	return err == nil
}

func (s *server) stream(c net.Conn, head string, v arrival, cut cut) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+s.load()+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	at := time.Now()
	for n := v.resumedAfter + 1; n <= routes[v.path].events; n++ {
		at = s.workUntil(at.Add(s.interval()))
		event := streamEvent(v.request, n, writer{v.instance, v.version})
		if n == cut.event {
			event = event[:cut.length(event)]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func responseBody(id, instance string) string { return "answer to " + id + " by " + instance }

// writer is a server that wrote an event.
type writer struct{ instance, version string }

func streamEvent(id string, n int, w writer) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s %s\n\n", n, id, n, w.version, w.instance)
}

// cut is the event in or after which a stream is cut; no stream is cut at event 0.
type cut struct {
	event int
	whole bool
}

func (c cut) length(event string) int {
	if c.whole {
		return len(event)
	}
	return len(event) / 2
}

// drawCut decides where a stream is cut. A faulty one is cut in the middle of its middle event.
func (a *servers) drawCut(faulty bool) cut {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case faulty:
		return cut{event: streamLength / 2}
	case a.cutShare > 0 && a.rand.Float64() < a.cutShare:
		return cut{event: 1 + a.rand.IntN(streamLength), whole: a.rand.IntN(2) == 0}
	}
	return cut{}
}

// drawFault decides at random whether a request is answered with a fault, and with which kind.
func (a *servers) drawFault() (faulty bool, kind int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rand.Float64() < a.faultShare, a.rand.IntN(faultKinds)
}
