package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check of leaving servers that passes whatever they receive: only a router that stood still meanwhile may be
// late.
func TestLeavingCheckFindsLateRequests(t *testing.T) {
	start := time.Now()
	at := start.Add
	for _, tt := range []struct {
		name    string
		arrives time.Duration
		d       disturbance
		other   bool // meant for another instance
		want    int
	}{
		{name: "in time", arrives: drainLimit},
		{name: "late", arrives: drainLimit + 1, want: 1},
		{name: "late for another instance", arrives: drainLimit + 1, other: true},
		{name: "frozen meanwhile", arrives: drainLimit + 1, d: disturbance{router: "r", from: at(-time.Second), to: at(drainLimit), frozen: true}},
		{name: "frozen before", arrives: drainLimit + 1, d: disturbance{router: "r", from: at(-time.Second), to: at(-1), frozen: true}, want: 1},
		{name: "frozen long ago", arrives: 9 * time.Second, d: disturbance{router: "r", from: at(-time.Second), to: at(time.Second), frozen: true}, want: 1},
		{name: "frozen later", arrives: drainLimit + 1, d: disturbance{router: "r", from: at(drainLimit + 2), to: at(9 * time.Second), frozen: true}, want: 1},
		{name: "another one frozen", arrives: drainLimit + 1, d: disturbance{router: "other", from: at(0), to: at(drainLimit), frozen: true}, want: 1},
		{name: "cut off", arrives: drainLimit + 1, d: disturbance{router: "r", from: at(0), to: at(drainLimit)}, want: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &faultLog{drainStarted: map[string]time.Time{"i": start}, disturbances: []disturbance{tt.d}}
			calls := []call{{id: "a", path: "/safe/", started: start, ended: start, status: 502}}
			runs := []arrival{{request: "a", path: "/safe/", instance: "i", routerIP: "r", at: at(tt.arrives), executed: true, misdirected: tt.other}}
			is.Equal(len(findViolations(calls, runs, f)), tt.want)
		})
	}
}
