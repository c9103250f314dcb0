package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strings"
	"time"
)

const (
	// inPartsShare is the share of the requests that are sent in parts, chunkedShare that of the bodies without a length.
	inPartsShare, chunkedShare = 1.0 / 3, 0.15
	// nearLimit is the largest share of a limit that callers use up.
	nearLimit = 0.9
	// giveUpAfter is how long after its deadline a caller still waits.
	giveUpAfter     = 2 * time.Second
	connectTime     = time.Second
	longestDeadline = 6 * time.Second
)

var keptPaths = []string{"/kept-safe/", "/kept-unsafe/", "/kept-stream/"}

// response is what a caller's connection received, or its end if the status is 0.
type response struct {
	status         int
	stamp, body    string
	complete, last bool
	at             time.Time
}

// callerConn is a connection of a caller that sees its end also while it is idle.
type callerConn struct {
	net.Conn
	router    string
	responses chan response
	idleFrom  time.Time
}

func dialCaller(router string) (*callerConn, error) {
	raw, err := net.DialTimeout("tcp", router, connectTime)
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: raw, router: router, responses: make(chan response, 1), idleFrom: time.Now()}
	go c.receive()
	return c, nil
}

// receive reads responses until the connection ends.
func (c *callerConn) receive() {
	defer close(c.responses)
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.responses <- response{at: time.Now()}
			return
		}
		v := response{status: resp.StatusCode, stamp: resp.Header.Get("Orioleusher-Response-Stamp")}
		v.body, v.complete = readBody(resp.Body, 0)
		v.last, v.at = resp.Close || !v.complete, time.Now()
		c.responses <- v
	}
}

// await waits for a response or the end of the connection, for a limited time or until it is stopped.
func (c *callerConn) await(d time.Duration, stop <-chan struct{}) (response, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case v := <-c.responses:
		return v, true
	case <-timer.C:
	case <-stop:
	}
	return response{}, false
}

// keptCaller sends requests one after the other and keeps its connection for as long as it may.
type keptCaller struct {
	run  *keptRun
	rand *rand.Rand
	name string
	conn *callerConn
	stop <-chan struct{}
}

// send sends requests until the caller is stopped.
func (c *keptCaller) send() {
	defer func() { c.disconnect() }()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		if !c.connect() {
			time.Sleep(reconnectInterval)
			continue
		}
		if v, ended := c.conn.await(c.drawIdle(), c.stop); ended {
			if v.status != 0 {
				c.run.t.Errorf("%s got a response without a request: %+v", c.name, v)
			}
			c.disconnect()
			continue
		}
		c.sendOne(fmt.Sprintf("%s-%d", c.name, i))
	}
}

func (c *keptCaller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect makes sure that there is a connection.
func (c *keptCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	router, ok := c.run.pickRouter(c.rand)
	if !ok {
		return false
	}
	var err error
	c.conn, err = dialCaller(router)
	return err == nil
}

// drawIdle draws how long the connection stays idle: often for short, otherwise up to the time after which it may no longer be
// reused.
func (c *keptCaller) drawIdle() time.Duration {
	longest := float64(reusable(c.run.limits.least(c.conn.idleFrom, time.Now()).idle))
	switch c.rand.IntN(4) {
	case 0:
		return time.Duration(longest * c.rand.Float64())
	case 1:
		return time.Duration(longest * (nearLimit + (1-nearLimit)*c.rand.Float64()))
	}
	return time.Duration(c.rand.IntN(50)) * time.Millisecond
}

// drawPause draws a pause, often a short one, otherwise one near the limit.
func (c *keptCaller) drawPause(limit time.Duration) time.Duration {
	if c.rand.IntN(2) == 0 {
		return time.Duration(c.rand.IntN(300)) * time.Millisecond
	}
	return time.Duration(float64(limit) * nearLimit * (1 - c.rand.Float64()*c.rand.Float64()))
}

// part is a part of the text of a request, with the pause before it.
type part struct {
	text  string
	pause time.Duration
}

// drawParts draws where a request is cut, and the pauses so that those in the head and those in the body keep to their limits.
func (c *keptCaller) drawParts(head, body string, header, timeout time.Duration) []part {
	text := head + body
	if c.rand.Float64() >= inPartsShare {
		return []part{{text: text}}
	}
	var cuts []int
	for range 1 + c.rand.IntN(2) {
		if c.rand.IntN(3) == 0 {
			cuts = append(cuts, len(head)+c.rand.IntN(len(body)))
		} else {
			cuts = append(cuts, 1+c.rand.IntN(len(head)-1))
		}
	}
	slices.Sort(cuts)
	var inHead int
	for _, cut := range cuts {
		inHead += count(cut < len(head))
	}
	parts := []part{{text: text[:cuts[0]]}}
	for i, cut := range cuts {
		end := len(text)
		if i+1 < len(cuts) {
			end = cuts[i+1]
		}
		limit, sharing := header, inHead
		if cut >= len(head) {
			limit, sharing = timeout, len(cuts)-inHead
		}
		parts = append(parts, part{text: text[cut:end], pause: c.drawPause(limit) / time.Duration(sharing)})
	}
	return parts
}

// newRequest draws a request and returns its head and body.
func (c *keptCaller) newRequest(id string) (r keptRequest, head, body string) {
	team := fmt.Sprintf("t%d", c.rand.IntN(teams))
	r.call = call{id: id, path: keptPaths[c.rand.IntN(len(keptPaths))], team: team, router: c.conn.router, key: c.run.key(team)}
	r.deadline = time.Second + time.Duration(c.rand.Int64N(int64(longestDeadline-time.Second)))
	body = "body of " + id + strings.Repeat(" ", 100)
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if c.rand.Float64() < chunkedShare {
		var chunks strings.Builder
		w := httputil.NewChunkedWriter(&chunks)
		_, _ = io.WriteString(w, body[:len(body)/2])
		_, _ = io.WriteString(w, body[len(body)/2:])
		w.Close()
		framing, body = "Transfer-Encoding: chunked", chunks.String()+"\r\n"
	}
	head = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: soak.example\r\nOrioleusher-Request-Id: %s\r\nOrioleusher-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n\r\n",
		r.path, id, r.deadline.Milliseconds(), r.key, framing)
	return r, head, body
}

// sendOne sends a request, if the connection may still be used, and records what the caller saw.
func (c *keptCaller) sendOne(id string) {
	r, head, body := c.newRequest(id)
	now := time.Now()
	limits := c.run.limits.least(c.conn.idleFrom, now)
	if now.Sub(c.conn.idleFrom) > reusable(limits.idle) {
		c.disconnect()
		return
	}
	r.caller, r.idleFrom, r.begun = c.conn.LocalAddr().String(), c.conn.idleFrom, now
	parts := c.drawParts(head, body, limits.header, min(r.deadline, limits.timeout))
	r.parts = len(parts)
	v, ended := c.sendParts(&r, parts, len(head))
	if !ended {
		v, ended = c.conn.await(r.deadline+giveUpAfter, nil)
	}
	r.hung, r.ended = !ended, time.Now()
	if ended {
		r.status, r.stamp, r.body, r.complete, r.ended = v.status, v.stamp, v.body, v.complete, v.at
	}
	r.started = r.headSent
	if r.started.IsZero() {
		r.started = r.begun
	}
	if c.conn.idleFrom = r.ended; v.status == 0 || v.last || r.sent.IsZero() {
		c.disconnect()
	}
	c.run.record(r)
}

// sendParts sends the request, until a response or the end of the connection comes.
func (c *keptCaller) sendParts(r *keptRequest, parts []part, headLength int) (response, bool) {
	length := 0
	for _, p := range parts {
		if p.pause > 0 {
			if v, ended := c.conn.await(p.pause, nil); ended {
				return v, true
			}
		}
		if _, err := io.WriteString(c.conn, p.text); err != nil {
			return c.conn.await(connectTime, nil)
		}
		if length += len(p.text); length >= headLength && r.headSent.IsZero() {
			r.headSent = time.Now()
		}
	}
	r.sent = time.Now()
	return response{}, false
}
