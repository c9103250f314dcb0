package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check of kept connections that passes whatever callers see, or that counts what is allowed.
func TestKeptCheckFindsFaults(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	at := start.Add
	check := keptCheck{arrived: map[string]bool{"arrived": true}, limits: &limitHistory{}}
	check.limits.publish(connLimits{idle: time.Second, header: 2 * time.Second, timeout: 4 * time.Second}, at(-time.Minute))
	// Until settledAfter the limits of the first configuration may still be in force.
	check.limits.publish(connLimits{idle: 10 * time.Second, header: 10 * time.Second, timeout: 10 * time.Second}, at(10*time.Second))
	check.kills = []disturbance{{router: "killed", from: at(2 * time.Second), to: at(2100 * ms)}}
	check.drains = []disturbance{{router: "stopped", from: at(0), to: at(5 * time.Second)}}
	// A request that begins after idle, whose head has been sent after head (0: never), and that ends after end.
	request := func(router string, idle, head, end time.Duration, change func(*keptRequest)) keptRequest {
		r := keptRequest{idleFrom: at(0), begun: at(idle), deadline: 3 * time.Second}
		r.router, r.ended = router, at(idle+end)
		if head > 0 {
			r.headSent, r.sent = at(idle+head), at(idle+head)
		}
		if change != nil {
			change(&r)
		}
		return r
	}
	status := func(code int, complete bool) func(*keptRequest) {
		return func(r *keptRequest) { r.status, r.complete = code, complete }
	}
	later := func(r *keptRequest) {
		const shift = 10*time.Second + settledAfter + ms
		r.idleFrom, r.begun, r.headSent, r.ended = r.idleFrom.Add(shift), r.begun.Add(shift), r.headSent.Add(shift), r.ended.Add(shift)
	}
	arrived := func(r *keptRequest) { r.id = "arrived" }
	for _, tt := range []struct {
		name string
		keptRequest
		want keptFault
	}{
		{"answered", request("r", 800*ms, ms, 10*ms, status(http.StatusOK, true)), noFault},
		{"refused as not run", request("r", 800*ms, ms, 10*ms, status(http.StatusServiceUnavailable, true)), noFault},
		{"ended", request("r", 800*ms, ms, 10*ms, nil), unanswered},
		{"ended in its head", request("r", 800*ms, 0, 1900*ms, nil), unanswered},
		{"ended after a long idle time", request("r", 801*ms, ms, 10*ms, nil), noFault},
		{"ended after a long idle time within the next limit", request("r", 8*time.Second, ms, 10*ms, later), unanswered},
		{"ended after a long head", request("r", 800*ms, 2001*ms, 2010*ms, nil), noFault},
		{"ended after a head within its limit", request("r", 800*ms, 1999*ms, 2010*ms, nil), unanswered},
		{"ended before seven tenths of its time", request("r", 0, ms, 2100*ms, nil), unanswered},
		{"ended after seven tenths of its time", request("r", 0, ms, 2102*ms, nil), noFault},
		{"cut off", request("r", 0, ms, 10*ms, status(http.StatusOK, false)), cutOff},
		{"cut off late", request("r", 0, ms, 2200*ms, status(http.StatusOK, false)), noFault},
		{"refused as late", request("r", 0, ms, 10*ms, status(http.StatusRequestTimeout, true)), late},
		{"late and refused", request("r", 0, 2100*ms, 2200*ms, status(http.StatusRequestTimeout, true)), noFault},
		{"refused as improper", request("r", 0, ms, 10*ms, status(http.StatusBadRequest, true)), improper},
		{"without an end", request("r", 0, ms, 5*time.Second, func(r *keptRequest) { r.hung = true }), neverEnded},
		{"on a router that was killed", request("killed", 800*ms, ms, 1300*ms, nil), noFault},
		{"before its router was killed", request("killed", 800*ms, ms, 1100*ms, nil), unanswered},
		{"meets the end of an idle connection", request("stopped", 800*ms, ms, 10*ms, nil), noFault},
		{"passed on in a stop", request("stopped", 800*ms, ms, 10*ms, arrived), unanswered},
		{"ended in its head in a stop", request("stopped", 800*ms, 0, 110*ms, nil), unanswered},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(check.fault(&tt.keptRequest), tt.want)
		})
	}
}

// Guards against a check of the routers' logs that misses heads that were given up.
func TestKeptCheckFindsHeadsGivenUp(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	check := keptCheck{limits: &limitHistory{}}
	check.limits.publish(connLimits{idle: time.Second, header: time.Second, timeout: time.Second}, start)
	r := keptRequest{idleFrom: start, begun: start.Add(100 * time.Millisecond)}
	r.ended = start.Add(time.Second)
	const log = "level=info process=r0 event=started time=x\n" +
		"level=warn process=r0 event=head-incomplete peer=1.2.3.4:5 cause=idle-timeout bytes=1 waited_ms=900.5 time=x\n" +
		"level=warn process=r0 event=head-incomplete peer=1.2.3.4:6 cause=idle-timeout bytes=1 waited_ms=900.5 time=x\n" +
		"level=warn process=r0 event=head-incomplete peer=1.2.3.4:5 cause=\"\" bytes=1 waited_ms=900.5 time=x\n" +
		"level=warn process=r0 event=head-incomplete peer=1.2.3.4:5 cause=stop bytes=1 waited_ms=900.5 time=x\n" +
		"level=info process=r0 event=bytes-at-timeout peer=1.2.3.4:5 cause=idle-timeout waited_ms=900.5 time=x\n"
	last := map[string]*keptRequest{"1.2.3.4:5": &r}
	givenUp := func() (n int) {
		for _, e := range headEvents(log) {
			n += count(check.givenUp(e, last) == &r)
		}
		return n
	}
	is.Equal(len(headEvents(log)), 5)
	is.Equal(givenUp(), 1)
	r.ended = start.Add(2 * time.Second) // the head took longer than its limit
	is.Equal(givenUp(), 0)
}
