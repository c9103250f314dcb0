package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of the promises, as the users' documentation states them for their deployments.
const (
	recoveryWindow = 3 * time.Second
	drainLimit     = 2 * time.Second
	configLimit    = 2 * time.Second
	// responseSlack is the time after its timeout at which a request may still get its final response.
	responseSlack = 500 * time.Millisecond
)

// disturbance is a period in which faults affected a router.
type disturbance struct {
	router   string // the router's IP, or "" for all routers
	from, to time.Time
	// frozen is set if the router stood still.
	frozen bool
}

// allRouters stands for disturbances of all routers; those of a single one excuse nothing.
const allRouters = ""

// faultLog records the faults and planned changes of a run.
type faultLog struct {
	disturbances []disturbance
	// strands are the periods in which routers were cut off from servers, which excuses nothing.
	strands []strand
	// drainStarted is the time at which each draining instance announced that it leaves.
	drainStarted map[string]time.Time
	// serving lists the periods in which instances were published as ready.
	serving []servingPeriod
}

// undisturbed reports whether no fault affected the router at the given time and in the recoveryWindow before it.
func (f *faultLog) undisturbed(router string, at time.Time) bool {
	for _, s := range f.disturbances {
		if (s.router == "" || s.router == router) && at.After(s.from) && at.Before(s.to.Add(recoveryWindow)) {
			return false
		}
	}
	return true
}

// stoodStill reports whether the router stood still at some time after the first one and less than recoveryWindow before the
// second.
func (f *faultLog) stoodStill(router string, from, to time.Time) bool {
	return slices.ContainsFunc(f.disturbances, func(d disturbance) bool {
		return d.frozen && d.router == router && d.to.After(from) && d.from.Before(to) && to.Before(d.to.Add(recoveryWindow))
	})
}

// findViolations returns every violation of a promise. It uses only what clients and servers observed, and no code of the
// routers.
func findViolations(calls []call, runs []arrival, f *faultLog) (violations []string) {
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	ran := map[string]int{}
	for _, r := range runs {
		c := byID[r.request]
		switch {
		case c == nil:
			add("server %s received request %q that no client sent", r.instance, r.request)
			continue
		case r.key != "":
			add("server %s received the API key of request %s", r.instance, r.request)
		case r.team != c.team:
			add("request %s of team %s ran as a request of team %q", r.request, c.team, r.team)
		case r.path != c.path:
			add("request %s to %s arrived as %s", r.request, c.path, r.path)
		}
		if r.executed {
			ran[r.request]++
		}
		if at, ok := f.drainStarted[r.instance]; ok && !r.misdirected && r.at.Sub(at) > drainLimit && f.undisturbed(allRouters, r.at) && !f.stoodStill(r.routerIP, at, r.at) {
			add("request %s reached %s %v after it left", r.request, r.instance, r.at.Sub(at))
		}
	}
	violations = append(violations, limitViolations(runs, f)...)
	violations = append(violations, noticeViolations(runs, f)...)
	writers := writersByRequest(runs)
	for i := range calls {
		checkCall(&calls[i], ran[calls[i].id], writers[calls[i].id], f, add)
	}
	streams := joinStreams(calls, writers)
	checkStreams(streams, add)
	checkTakeUps(streams, f, add)
	return violations
}

func checkCall(c *call, ran int, writers []writer, f *faultLog, add func(string, ...any)) {
	checkOnce(c, ran, add)
	checkComplete(c, writers, add)
	checkKey(c, ran, f, add)
	ip, _, _ := strings.Cut(c.router, ":")
	if took := c.ended.Sub(c.started); took > routes[c.path].timeout+responseSlack && f.undisturbed(ip, c.started) && f.undisturbed(ip, c.ended) {
		add("request %s got its final response after %v", c.id, took)
	}
}

// checkOnce checks that an unsafe request ran at most once. Neither an unsafe request nor one that takes a stream up may have
// run if its status says so.
func checkOnce(c *call, ran int, add func(string, ...any)) {
	unsafe, takeUp := routes[c.path].kind == "unsafe", c.resumes != ""
	if unsafe && ran > 1 {
		add("unsafe request %s ran %d times", c.id, ran)
	}
	refused := c.status == 503 || c.status == 429 || c.status == 408 || c.status == 421
	if (unsafe || takeUp) && refused && ran > 0 {
		add("request %s to %s got status %d although it ran", c.id, c.path, c.status)
	}
}

// checkComplete checks that a successful response is the complete response to this request, and that the events of a stream
// are in order. A response that was cut off may be incomplete.
func checkComplete(c *call, writers []writer, add func(string, ...any)) {
	if c.status != 200 {
		return
	}
	stream := isStream(c.path)
	switch {
	case c.stamp == "":
		add("request %s got a successful response without a stamp", c.id)
	case stream && c.complete && !isCompleteStream(c, writers):
		add("stream %s is incomplete: %q", c.id, c.body)
	case stream && !isPartOfStream(c, writers):
		add("stream %s has events out of order: %q", c.id, c.body)
	case !stream && c.complete && c.body != responseBody(c.id, c.stamp):
		add("request %s got a wrong response body: %q", c.id, c.body)
	}
}

// checkKey checks that revoked keys do not work and that valid ones are not refused.
func checkKey(c *call, ran int, f *faultLog, add func(string, ...any)) {
	ip, _, _ := strings.Cut(c.router, ":")
	if c.revoked && ran > 0 && f.undisturbed(ip, c.started) {
		add("request %s ran with a revoked key", c.id)
	}
	if (c.status == 404 || c.status == 401) && !c.revoked {
		add("request %s with a valid key was refused with status %d", c.id, c.status)
	}
}
