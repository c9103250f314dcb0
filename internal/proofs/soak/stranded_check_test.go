package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Limits of the promises about routers that are cut off from all servers, as the users' documentation states them.
const (
	strandedAfter  = 3 * time.Second
	strandedSlack  = 10
	strandedShare  = 1.0 / 50
	servedShare    = 2.0 / 3
	maxLostRequest = 3
	// From lateDeadlines on and a lateDeadlineShare of the requests, too many are handed on with a deadline that is missing or
	// over deadlineSlack too late.
	lateDeadlines, lateDeadlineShare = 20, 1.0 / 5
	deadlineSlack                    = 500 * time.Millisecond
	// closeLimit is how long a server may be at work after its client has closed, goneShare for which share it may be longer.
	closeLimit, goneShare = 500 * time.Millisecond, 1.0 / 4
	// maxOverAttempts is how many requests may run at more servers than their route allows.
	maxOverAttempts = 3
)

// strand is a period in which routers were cut off from servers.
type strand struct {
	routers []string // IPs
	// fromAll is set if the routers reached no server.
	fromAll  bool
	from, to time.Time
}

// tries counts requests that clients sent for the first time.
type tries struct{ sent, served int }

func (t tries) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// strandedTries counts first tries at routers that are cut off, and at the others.
type strandedTries struct{ cut, others tries }

func (s strandedTries) broken() bool {
	failed, all := s.cut.sent-s.cut.served, s.cut.sent+s.others.sent
	return s.cut.share() < servedShare*s.others.share() && float64(failed) > strandedSlack+strandedShare*float64(all)
}

func (s strandedTries) String() string {
	return fmt.Sprintf("%d of %d first tries served at routers that are cut off, %d of %d at the others", s.cut.served, s.cut.sent, s.others.served, s.others.sent)
}

// countTries counts the first tries at undisturbed routers that clients sent in the period, from strandedAfter on.
func countTries(calls []call, s strand, f *faultLog) (n strandedTries) {
	for i := range calls {
		c := &calls[i]
		ip := c.routerIP()
		if c.resumes != "" || c.revoked || c.started.Before(s.from.Add(strandedAfter)) || !c.started.Before(s.to) ||
			!f.undisturbed(ip, c.started) || !f.undisturbed(ip, c.ended) {
			continue
		}
		t := &n.others
		if slices.Contains(s.routers, ip) {
			t = &n.cut
		}
		t.sent++
		t.served += count(c.served())
	}
	return n
}

// served reports whether the client got what it waited for in time.
func (c *call) served() bool {
	dropped := c.dropAfter > 0 && c.lastEvent() >= c.dropAfter
	return c.status == http.StatusOK && (c.complete || dropped) && c.ended.Sub(c.started) <= routes[c.path].timeout
}

func (c *call) routerIP() string {
	ip, _, _ := strings.Cut(c.router, ":")
	return ip
}

// cutOff reports whether the router was cut off from servers at some time between the two.
func (f *faultLog) cutOff(router string, from, to time.Time) bool {
	return slices.ContainsFunc(f.strands, func(s strand) bool {
		return slices.Contains(s.routers, router) && s.from.Before(to) && s.to.After(from)
	})
}

// strandedOverlaps returns the streams that went on at another server while the one before still had them, although the router
// that had sent them there ran and reached it.
func strandedOverlaps(runs []arrival, f *faultLog) []overlap {
	return slices.DeleteFunc(overlaps(runs), func(o overlap) bool {
		router, at := o.before.routerIP, o.next.at
		return !f.undisturbed(router, at) || f.cutOff(router, at.Add(-recoveryWindow), at.Add(overlapLimit))
	})
}

// unansweredRuns returns the requests that reached a server and ended without a response although their router ran.
func unansweredRuns(calls []call, runs []arrival, f *faultLog) (ids []string) {
	ran := writersByRequest(runs)
	for i := range calls {
		c := &calls[i]
		if c.lost() && c.status == 0 && len(ran[c.id]) > 0 && f.undisturbed(c.routerIP(), c.started) && f.undisturbed(c.routerIP(), c.ended) {
			ids = append(ids, c.id)
		}
	}
	return ids
}

// overAttempts returns the requests that ran at more servers than their route allows. Runs that a cut broke off don't count.
func overAttempts(runs []arrival, f *faultLog) (ids []string) {
	ran := map[string]int{}
	for _, r := range runs {
		if !r.executed || f.cutOff(r.routerIP, r.at, r.at.Add(routes[r.path].timeout)) {
			continue
		}
		if ran[r.request]++; ran[r.request] == routes[r.path].attempts+1 {
			ids = append(ids, r.request)
		}
	}
	return ids
}

// arrivedLate returns the number of requests that arrived at a server after their client had got its response.
func arrivedLate(calls []call, runs []arrival) (n int) {
	ended := map[string]time.Time{}
	for i := range calls {
		ended[calls[i].id] = calls[i].ended
	}
	for _, r := range runs {
		n += count(r.at.After(ended[r.request]))
	}
	return n
}

// badDeadlines counts the runs, and those with a deadline that is missing or too late.
func badDeadlines(calls []call, runs []arrival) (bad, all int) {
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	first := map[string]arrival{}
	for _, r := range runs {
		c := byID[r.request]
		if c == nil {
			continue
		}
		before, again := first[r.request]
		if !again {
			first[r.request] = r
		}
		own := cmp.Or(c.timeLeft, routes[c.path].timeout)
		sentLater := again && r.at.Sub(before.at) > deadlineSlack
		endsLater := r.at.Add(r.timeLeft).Sub(c.started.Add(own)) > deadlineSlack
		all++
		bad += count(r.timeLeft == 0 || r.timeLeft-own > deadlineSlack || sentLater && endsLater)
	}
	return bad, all
}

// droppedStreams counts the streams whose client closed while they had longer to go than closeLimit, and those that a server
// went on with for longer.
func droppedStreams(calls []call, runs []arrival, f *faultLog, eventInterval time.Duration) (worked, all int) {
	ended := map[string]time.Time{}
	for _, r := range runs {
		if r.executed && r.ended.After(ended[r.request]) {
			ended[r.request] = r.ended
		}
	}
	for i := range calls {
		c := &calls[i]
		rest := time.Duration(routes[c.path].events-c.dropAfter) * eventInterval
		if c.dropAfter == 0 || !c.served() || rest <= closeLimit || !f.undisturbed(c.routerIP(), c.ended) {
			continue
		}
		all++
		worked += count(ended[c.id].Sub(c.ended) > closeLimit)
	}
	return worked, all
}

// strandedViolations returns every violation of the promises about routers that are cut off.
func strandedViolations(calls []call, runs []arrival, f *faultLog) (violations []string) {
	for _, s := range f.strands {
		if n := countTries(calls, s, f); s.fromAll && n.broken() {
			violations = append(violations, fmt.Sprintf("only %v", n))
		}
	}
	for _, o := range strandedOverlaps(runs, f) {
		violations = append(violations, fmt.Sprintf("a stream went on at another server while the one before had it over %v later: %v", overlapLimit, o))
	}
	if ids := unansweredRuns(calls, runs, f); len(ids) > maxLostRequest {
		violations = append(violations, fmt.Sprintf("%d requests reached servers and ended without a response: %v", len(ids), ids))
	}
	if ids := overAttempts(runs, f); len(ids) > maxOverAttempts {
		violations = append(violations, fmt.Sprintf("%d requests ran at more servers than their route allows: %v", len(ids), ids))
	}
	if bad, all := badDeadlines(calls, runs); bad > lateDeadlines && float64(bad) > lateDeadlineShare*float64(all) {
		violations = append(violations, fmt.Sprintf("%d of %d runs had no deadline or a later one than their client", bad, all))
	}
	return violations
}
