package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check of routers that are cut off that passes whatever callers observe.
func TestStrandedCheckFindsUnservedTries(t *testing.T) {
	start := time.Now()
	send := func(router string, n, served int, at time.Duration) (calls []call) {
		for i := range n {
			c := call{path: "/tag/", router: router + ":8080", started: start.Add(at), ended: start.Add(at + time.Millisecond), status: 503}
			if i < served {
				c.status, c.complete = 200, true
			}
			calls = append(calls, c)
		}
		return calls
	}
	for _, test := range []struct {
		name                         string
		cut, served, others, atOther int
		at                           time.Duration
		all                          bool
		disturbed                    string
		want                         int
	}{
		{name: "two thirds as often", cut: 90, served: 60, others: 100, atOther: 100, at: strandedAfter, all: true},
		{name: "less than two thirds as often", cut: 90, served: 59, others: 100, atOther: 100, at: strandedAfter, all: true, want: 1},
		{name: "others fail too", cut: 90, served: 59, others: 100, atOther: 98, at: strandedAfter, all: true},
		{name: "10 and 1 in 50 fail", cut: 20, served: 7, others: 130, atOther: 130, at: strandedAfter, all: true},
		{name: "more fail", cut: 20, served: 6, others: 130, atOther: 130, at: strandedAfter, all: true, want: 1},
		{name: "just after the cut", cut: 90, others: 100, atOther: 100, at: strandedAfter - 1, all: true},
		{name: "healed", cut: 90, others: 100, atOther: 100, at: 9 * time.Second, all: true},
		{name: "one server left", cut: 90, others: 100, atOther: 100, at: strandedAfter},
		{name: "not in touch", cut: 90, others: 100, atOther: 100, at: strandedAfter, all: true, disturbed: "cut"},
		{name: "others not in touch", cut: 90, others: 100, atOther: 100, at: strandedAfter, all: true, disturbed: "other"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := &faultLog{strands: []strand{{routers: []string{"cut"}, fromAll: test.all, from: start, to: start.Add(9 * time.Second)}}}
			if test.disturbed != "" {
				f.disturbances = []disturbance{{router: test.disturbed, from: start, to: start.Add(time.Second)}}
			}
			calls := append(send("cut", test.cut, test.served, test.at), send("other", test.others, test.atOther, test.at)...)
			is.Equal(len(strandedViolations(calls, nil, f)), test.want)
		})
	}
}

// Guards against checks of doubled streams and of requests without a response that excuse more than a cut or a disturbance does.
func TestStrandedChecksFindDoubledAndUnansweredRequests(t *testing.T) {
	start := time.Now()
	at := start.Add
	for _, test := range []struct {
		name      string
		cut       strand
		disturbed string
		doubled   int
	}{
		{name: "calm", doubled: 1},
		{name: "cut off", cut: strand{routers: []string{"r"}, from: at(0), to: at(time.Minute)}},
		{name: "cut long ago", cut: strand{routers: []string{"r"}, from: at(0), to: at(time.Second)}, doubled: 1},
		{name: "another one cut off", cut: strand{routers: []string{"other"}, from: at(0), to: at(time.Minute)}, doubled: 1},
		{name: "frozen", disturbed: "r"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := &faultLog{strands: []strand{test.cut}}
			if test.disturbed != "" {
				f.disturbances = []disturbance{{router: test.disturbed, from: at(0), to: at(time.Minute)}}
			}
			runs := []arrival{
				{request: "a", path: "/tag/", executed: true, routerIP: "r", at: at(9 * time.Second), ended: at(11 * time.Second)},
				{request: "a", path: "/tag/", executed: true, routerIP: "s", at: at(10 * time.Second), ended: at(11 * time.Second)},
			}
			is.Equal(len(strandedOverlaps(runs, f)), test.doubled)
		})
	}
	is := is.New(t)
	calls := []call{
		{id: "a", path: "/tag/", router: "r:8080", started: start, ended: at(time.Second)},
		{id: "b", path: "/tag/", router: "r:8080", started: start, ended: at(time.Second)},
		{id: "a", path: "/tag/", router: "frozen:8080", started: start, ended: at(time.Second)},
		{id: "a", path: "/tag/", router: "r:8080", started: start, ended: at(time.Second), status: 502},
	}
	runs := []arrival{{request: "a", path: "/tag/", executed: true}}
	f := &faultLog{disturbances: []disturbance{{router: "frozen", from: at(-time.Second), to: at(time.Second)}}}
	is.Equal(len(unansweredRuns(calls, runs, f)), 1)
}

// Guards against a check of attempts that excuses more than runs that a cut broke off.
func TestStrandedCheckFindsRequestsWithTooManyAttempts(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	run := func(request, router string) arrival {
		return arrival{request: request, path: "/tag/", routerIP: router, executed: true, at: start}
	}
	f := &faultLog{strands: []strand{{routers: []string{"cut"}, from: start, to: start.Add(time.Second)}}}
	var runs []arrival
	for _, id := range []string{"a", "b", "c", "d"} {
		runs = append(runs, run(id, "r"), run(id, "r"), run(id+"-cut", "cut"), run(id+"-cut", "r"), run(id+"-cut", "r"))
	}
	is.Equal(len(overAttempts(runs, f)), 0)
	is.Equal(len(strandedViolations(nil, runs, f)), 0)
	for _, id := range []string{"a", "b", "c", "d"} {
		runs = append(runs, run(id, "s"))
	}
	is.Equal(len(overAttempts(runs, f)), 4)
	is.Equal(len(strandedViolations(nil, runs, f)), 1)
	is.Equal(arrivedLate([]call{{id: "a", ended: start.Add(-1)}, {id: "b", ended: start}}, []arrival{run("a", "r"), run("b", "r")}), 1)
}

// Guards against checks of deadlines and of streams whose clients have closed that pass whatever servers observe.
func TestStrandedChecksFindLateDeadlinesAndWorkForNobody(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	own := routes[longStream].timeout
	c := call{id: "a", path: longStream, router: "r:8080", started: start, ended: start, status: 200, body: streamEvent("a", 1, writer{}), dropAfter: 1}
	run := func(after, timeLeft, took time.Duration) arrival {
		return arrival{request: "a", path: longStream, executed: true, at: start.Add(after), timeLeft: timeLeft, ended: start.Add(took)}
	}
	for _, test := range []struct {
		runs []arrival
		want int
	}{
		{[]arrival{run(0, own, 0), run(time.Second, own-time.Second, 0)}, 0},
		{[]arrival{run(0, 0, 0)}, 1},
		{[]arrival{run(0, own+deadlineSlack, 0)}, 0},
		{[]arrival{run(0, own+deadlineSlack+1, 0)}, 1},
		{[]arrival{run(0, own, 0), run(time.Second, own, 0)}, 1},
		{[]arrival{run(0, own, 0), run(deadlineSlack, own, 0)}, 0},
	} {
		bad, all := badDeadlines([]call{c}, test.runs)
		is.Equal(bad, test.want)
		is.Equal(all, len(test.runs))
	}
	var late []arrival
	for range lateDeadlines + 1 {
		late = append(late, run(0, 0, 0))
	}
	is.Equal(len(strandedViolations([]call{c}, late, &faultLog{})), 1)
	is.Equal(len(strandedViolations([]call{c}, late[1:], &faultLog{})), 0)
	for took, want := range map[time.Duration]int{closeLimit: 0, closeLimit + 1: 1} {
		worked, all := droppedStreams([]call{c}, []arrival{run(0, own, took)}, &faultLog{}, 15*time.Millisecond)
		is.Equal(worked, want)
		is.Equal(all, 1)
	}
	_, all := droppedStreams([]call{c}, nil, &faultLog{}, time.Millisecond)
	is.Equal(all, 0) // it had less to go
}
