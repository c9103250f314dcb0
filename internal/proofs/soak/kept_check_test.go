package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the promises about callers that keep connections, as the users' documentation states them.
const (
	// settledAfter is how long after a configuration has been published older ones may still be in force.
	settledAfter = configLimit + time.Second
	// crossingTime is how long a request may take to meet the end of an idle connection.
	crossingTime = 100 * time.Millisecond
)

// reusable returns how long a connection may be idle before a request.
func reusable(idle time.Duration) time.Duration { return idle * 4 / 5 }

// mayEndAfter returns the time after which the connection of a request may end without a response.
func mayEndAfter(limit time.Duration) time.Duration { return limit * 7 / 10 }

// connLimits are the limits of a configuration on callers' connections, and the timeout of its routes.
type connLimits struct{ idle, header, timeout time.Duration }

type publishedLimits struct {
	connLimits
	at time.Time
}

// limitHistory lists the limits of all configurations in the order in which they were published. It is never empty.
type limitHistory struct {
	mu   sync.Mutex
	list []publishedLimits
}

func (h *limitHistory) publish(l connLimits, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, publishedLimits{l, at})
}

// least returns the least limits that may have been in force from the one time to the other.
func (h *limitHistory) least(from, to time.Time) connLimits {
	h.mu.Lock()
	defer h.mu.Unlock()
	least := h.list[len(h.list)-1].connLimits
	for i, l := range h.list {
		replaced := i+1 < len(h.list) && h.list[i+1].at.Add(settledAfter).Before(from)
		if l.at.After(to) || replaced {
			continue
		}
		least.idle, least.header, least.timeout = min(least.idle, l.idle), min(least.header, l.header), min(least.timeout, l.timeout)
	}
	return least
}

// keptRequest is a request on a connection that the caller keeps.
type keptRequest struct {
	call
	// caller is the caller's address of the connection, which has been idle since idleFrom.
	caller   string
	idleFrom time.Time
	parts    int
	// The request was sent from begun to sent, and its head until headSent. They are zero if the connection ended earlier.
	begun, headSent, sent time.Time
	// deadline is the one that the request names.
	deadline time.Duration
	// hung is set if the caller gave up waiting.
	hung bool
}

// withinLimits reports whether the caller kept to the limits of all configurations that may have been in force.
func (r *keptRequest) withinLimits(h *limitHistory) bool {
	headEnd := r.headSent
	if headEnd.IsZero() {
		headEnd = r.ended
	}
	return r.begun.Sub(r.idleFrom) <= reusable(h.least(r.idleFrom, r.begun).idle) &&
		headEnd.Sub(r.begun) <= h.least(r.begun, headEnd).header
}

// endedEarly reports whether the request ended before seven tenths of its time. Its time runs from the end of its head.
func (r *keptRequest) endedEarly(h *limitHistory) bool {
	limit := min(r.deadline, h.least(r.begun, r.ended).timeout)
	return r.headSent.IsZero() || r.ended.Sub(r.headSent) < mayEndAfter(limit)
}

// keptFault is what a caller may not see on a connection to a host that lives or stops as planned.
type keptFault string

const (
	noFault    keptFault = ""
	unanswered keptFault = "ended without a response"
	cutOff     keptFault = "got a part of its response"
	late       keptFault = "was refused as late"
	improper   keptFault = "was refused as improper"
	neverEnded keptFault = "got no response in its time"
)

// keptCheck holds what the check of callers' requests depends on.
type keptCheck struct {
	limits *limitHistory
	// kills and drains list the times in which routers were killed, and closed idle connections in a planned stop.
	kills, drains []disturbance
	// arrived holds the requests that servers received.
	arrived map[string]bool
}

// during reports whether the router was disturbed at some time from the one to the other, or just before.
func during(list []disturbance, router string, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(d disturbance) bool {
		return d.router == router && from.Before(d.to.Add(crossingTime)) && to.After(d.from)
	})
}

func (r *keptRequest) ip() string {
	ip, _, _ := strings.Cut(r.router, ":")
	return ip
}

// killed reports whether the router was killed during the request.
func (k *keptCheck) killed(r *keptRequest) bool { return during(k.kills, r.ip(), r.begun, r.ended) }

// crossed reports whether the request met the end of an idle connection in a planned stop.
func (k *keptCheck) crossed(r *keptRequest) bool {
	return r.status == 0 && !k.arrived[r.id] && r.ended.Sub(r.begun) <= crossingTime && during(k.drains, r.ip(), r.begun, r.begun)
}

// fault returns what was wrong with the end of the request.
func (k *keptCheck) fault(r *keptRequest) keptFault {
	inTime := r.withinLimits(k.limits) && r.endedEarly(k.limits)
	switch {
	case k.killed(r) || k.crossed(r):
		return noFault
	case r.hung:
		return neverEnded
	case r.status == 0 && inTime:
		return unanswered
	case r.status == http.StatusOK && !r.complete && inTime:
		return cutOff
	case r.status == http.StatusRequestTimeout && inTime:
		return late
	case isImproper(r.status):
		return improper
	}
	return noFault
}

// isImproper reports whether the status says that the request must be changed.
func isImproper(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests
}

// headEvent is a line in a router's log about a connection whose wait was ended.
type headEvent struct{ event, peer, cause, line string }

// headEvents returns the lines about connections that ended in the midst of a head, or to which bytes came as they ended.
func headEvents(log string) (list []headEvent) {
	for line := range strings.Lines(log) {
		e := headEvent{line: line}
		for field := range strings.FieldsSeq(line) {
			name, value, _ := strings.Cut(field, "=")
			switch value = strings.Trim(value, `"`); name {
			case "event":
				e.event = value
			case "peer":
				e.peer = value
			case "cause":
				e.cause = value
			}
		}
		if e.event == "head-incomplete" || e.event == "bytes-at-timeout" {
			list = append(list, e)
		}
	}
	return list
}

// givenUp returns the request whose head the router gave up according to its log although the caller kept to all limits.
func (k *keptCheck) givenUp(e headEvent, last map[string]*keptRequest) *keptRequest {
	r := last[e.peer]
	if e.event != "head-incomplete" || e.cause == "" || e.cause == "stop" || r == nil || k.killed(r) || !r.withinLimits(k.limits) {
		return nil
	}
	return r
}

func (r *keptRequest) String() string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprint(at.Sub(r.begun))
	}
	return fmt.Sprintf("%s at %v from %s to %s, idle for %v before, %d parts; head sent after: %s, all: %s; ended after %s, deadline %v, status %d, %q",
		r.id, r.begun.Format(time.TimeOnly), r.caller, r.router, r.begun.Sub(r.idleFrom), r.parts, since(r.headSent), since(r.sent), since(r.ended), r.deadline, r.status, r.body)
}
