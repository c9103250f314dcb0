package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one arrival at a server, as the server saw it.
type run struct {
	request, instance, team, key, path string
	from                               string // the router's IP
	at                                 time.Time
	ran                                bool
	// resumedAfter is the last event that the client had; 0 for a new run.
	resumedAfter int
}

// servers are all stand-in servers of a run, with what they saw.
type servers struct {
	mu   sync.Mutex
	runs []run
	rand *rand.Rand
	// trouble is the share of requests that end badly.
	trouble float64
	store   *store
	list    []*server
}

// server is one address at which one instance after the other runs.
type server struct {
	all     *servers
	listen  string // where it listens
	public  string // where routers connect
	service string

	mu       sync.Mutex
	instance string
	born     int64
	seq      int
	draining bool
	listener net.Listener
	conns    map[net.Conn]bool
}

const streamLength = 8

func (s *server) start() error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born++
	s.instance = fmt.Sprintf("i-%s-%d", s.public, s.born)
	s.listener, s.conns, s.draining = l, map[net.Conn]bool{}, false
	s.mu.Unlock()
	s.publish()
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

// publish writes the server's entry, as each heartbeat does.
func (s *server) publish() time.Time {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.service, "address": s.public, "zone": "z", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"sequence": s.seq, "born": s.born,
	}
	key := "servers/" + s.instance
	s.mu.Unlock()
	return s.all.store.put(key, entry)
}

// drain announces that the server leaves and returns when that was acknowledged.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.publish()
}

// crash ends the instance with all its connections.
func (s *server) crash() {
	s.mu.Lock()
	s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	key := "servers/" + s.instance
	s.mu.Unlock()
	s.all.store.remove(key)
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !s.answer(c, r) {
			return
		}
	}
}

// answer serves one request. It returns false if the connection ends.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	s.mu.Lock()
	instance := s.instance
	s.mu.Unlock()
	id := r.Header.Get("Orioleusher-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v := run{
		request: id, instance: instance, team: r.Header.Get("Orioleusher-Tenant-Id"), key: r.Header.Get("Api-Key"),
		path: r.URL.Path, from: c.RemoteAddr().(*net.TCPAddr).IP.String(), at: time.Now(), ran: true, resumedAfter: after,
	}
	head := "Orioleusher-Request-Id: " + id + "\r\n"
	if r.Header.Get("Orioleusher-Expect-Instance") != instance {
		return s.refuse(c, v, "421 Misdirected", head)
	}
	trouble, kind := s.all.dice()
	if trouble && kind == 0 {
		return s.refuse(c, v, "503 Busy", head+"Orioleusher-Not-Executed: 1\r\n")
	}
	s.all.record(v)
	head += "Orioleusher-Response-Stamp: " + instance + "\r\n"
	if r.URL.Path == "/stream/" {
		return s.stream(c, head, id, after, trouble)
	}
	time.Sleep(5 * time.Millisecond)
	body := bodyOf(id, instance)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch {
	case trouble && kind == 1: // the answer is lost
		return false
	case trouble && kind == 2: // the answer breaks off
		_, _ = io.WriteString(c, text[:len(text)-3])
		return false
	case trouble && kind == 3: // an answer to another request comes after it
		_, _ = io.WriteString(c, text+"HTTP/1.1 200 OK\r\nOrioleusher-Request-Id: other\r\nContent-Length: 1\r\n\r\nx")
		return true
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

func (s *server) refuse(c net.Conn, v run, status, head string) bool {
	v.ran = false
	s.all.record(v)
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+head+"Content-Length: 0\r\n\r\n")
	return err == nil
}

func (s *server) stream(c net.Conn, head, id string, after int, trouble bool) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := after + 1; n <= streamLength; n++ {
		time.Sleep(10 * time.Millisecond)
		event := eventOf(id, n)
		if trouble && n == streamLength/2 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event)/2, event[:len(event)/2])
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func bodyOf(id, instance string) string { return "answer to " + id + " by " + instance }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (a *servers) record(v run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, v)
}

// dice says whether a request ends badly, and how.
func (a *servers) dice() (trouble bool, kind int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rand.Float64() < a.trouble, a.rand.IntN(4)
}
