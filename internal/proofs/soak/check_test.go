package soak

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the promises, as the users' pages state them for their deployments.
const (
	touchWindow = 3 * time.Second
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	// answerSlack is how much later than the timeout a final answer may come.
	answerSlack = 500 * time.Millisecond
)

// span is a time in which a router was troubled; "" means all of them.
type span struct {
	router   string // its IP
	from, to time.Time
}

// facts is what the run did, beside what clients and servers saw.
type facts struct {
	troubled []span
	// left is when an instance announced that it leaves.
	left map[string]time.Time
}

// inTouch reports whether the router was without trouble for the window before the moment.
func (f *facts) inTouch(router string, at time.Time) bool {
	for _, s := range f.troubled {
		if (s.router == "" || s.router == router) && at.After(s.from) && at.Before(s.to.Add(touchWindow)) {
			return false
		}
	}
	return true
}

// check returns every broken promise. It knows only what clients and servers saw, and nothing of the routers' code.
func check(calls []call, runs []run, f *facts) (broken []string) {
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	ran := map[string]int{}
	for _, r := range runs {
		c := byID[r.request]
		switch {
		case c == nil:
			add("server %s got request %q that no client sent", r.instance, r.request)
			continue
		case r.key != "":
			add("server %s saw the key of request %s", r.instance, r.request)
		case r.team != c.team:
			add("request %s of team %s ran for team %q", r.request, c.team, r.team)
		case r.path != c.path:
			add("request %s to %s arrived as %s", r.request, c.path, r.path)
		}
		if r.ran {
			ran[r.request]++
		}
		if at, ok := f.left[r.instance]; ok && r.at.Sub(at) > drainBound && f.inTouch(r.from, r.at) {
			add("request %s reached %s %v after it left", r.request, r.instance, r.at.Sub(at))
		}
	}
	for i := range calls {
		checkCall(&calls[i], ran[calls[i].id], f, add)
	}
	return broken
}

func checkCall(c *call, ran int, f *facts, add func(string, ...any)) {
	checkOnce(c, ran, add)
	checkWhole(c, add)
	checkKey(c, ran, f, add)
	ip, _, _ := strings.Cut(c.router, ":")
	if took := c.ended.Sub(c.begun); took > requestTimeout+answerSlack && f.inTouch(ip, c.begun) && f.inTouch(ip, c.ended) {
		add("request %s had its final answer after %v", c.id, took)
	}
}

// checkOnce checks that what may not be repeated ran once at most, and that "not run" was true.
func checkOnce(c *call, ran int, add func(string, ...any)) {
	if c.path != "/unsafe/" {
		return
	}
	if ran > 1 {
		add("unsafe request %s ran %d times", c.id, ran)
	}
	if refused := c.status == 503 || c.status == 429 || c.status == 408 || c.status == 421; refused && ran > 0 {
		add("unsafe request %s was answered %d and ran", c.id, c.status)
	}
}

// checkWhole checks that a success is the whole answer to this request, and that a stream's events came in order.
func checkWhole(c *call, add func(string, ...any)) {
	if c.status != 200 {
		return
	}
	stream := c.path == "/stream/"
	switch {
	case c.stamp == "":
		add("request %s got a success without a stamp", c.id)
	case stream && c.whole && c.body != wholeStream(c.id):
		add("stream %s is not whole: %q", c.id, c.body)
	case stream && !strings.HasPrefix(wholeStream(c.id), c.body):
		add("stream %s has events out of order: %q", c.id, c.body)
	case !stream && c.whole && c.body != bodyOf(c.id, c.stamp):
		add("request %s got %q", c.id, c.body)
	}
}

// checkKey checks that withdrawn keys do not work and that others are not refused.
func checkKey(c *call, ran int, f *facts, add func(string, ...any)) {
	ip, _, _ := strings.Cut(c.router, ":")
	if c.withdrawn && ran > 0 && f.inTouch(ip, c.begun) {
		add("request %s ran with a key that was withdrawn", c.id)
	}
	if (c.status == 404 || c.status == 401) && !c.withdrawn {
		add("request %s was refused with %d", c.id, c.status)
	}
}

func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamLength; n++ {
		b.WriteString(eventOf(id, n))
	}
	return b.String()
}
