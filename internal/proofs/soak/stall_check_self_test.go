package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// streamArrivals returns arrivals at a server that holds the given number of requests, at a mean of 4.
func streamArrivals(n, held int, first time.Time, interval time.Duration) (runs []arrival) {
	for i := range n {
		runs = append(runs, arrival{path: "/tag/", held: held, meanHeld: 4, at: first.Add(time.Duration(i) * interval)})
	}
	return runs
}

// Guards against a check of the load bound that passes whatever servers observe.
func TestLoadCheckFindsOverloads(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name            string
		within, over    int
		spacing         time.Duration
		heldOver, worst int
		broken          bool
	}{
		{name: "20 at the bound", within: 300, over: 20, heldOver: 11},
		{name: "19 over the bound", within: 300, over: 19, heldOver: 12, worst: 19},
		{name: "20 over the bound", within: 300, over: 20, heldOver: 12, worst: 20, broken: true},
		{name: "3 in 100 over the bound", within: 647, over: 20, heldOver: 12, worst: 20},
		{name: "40, of which 10 in a window", within: 300, over: 40, spacing: 500 * time.Millisecond, heldOver: 12, worst: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			runs := streamArrivals(test.within, 11, start, time.Millisecond)
			runs = append(runs, streamArrivals(test.over, test.heldOver, start.Add(time.Second), test.spacing)...)
			worst, _ := overloads(runs)
			is.Equal(worst.over, test.worst)
			is.Equal(worst.broken(), test.broken)
		})
	}
}

// Guards against checks of cut and doubled streams that pass whatever callers and servers observe.
func TestStallChecksFindCutAndDoubledStreams(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	run := func(request, path string, at, ended time.Duration) arrival {
		return arrival{request: request, path: path, executed: true, at: start.Add(at), ended: start.Add(ended)}
	}
	twice := overlaps([]arrival{
		run("a", "/tag/", 0, 1500*time.Millisecond), run("a", "/tag/", time.Second, 2*time.Second),
		run("b", "/tag/", 0, 1300*time.Millisecond), run("b", "/tag/", time.Second, 2*time.Second),
		run("c", "/lookup/", 0, 1500*time.Millisecond), run("c", "/lookup/", time.Second, 2*time.Second),
	})
	is.Equal(len(twice), 1)
	is.Equal(twice[0].next.request, "a")
	for _, test := range []struct {
		call
		took time.Duration
		want bool
	}{
		{call{status: 200, complete: true}, time.Second, false},
		{call{status: 200}, time.Second, true},
		{call{status: 200}, 3 * time.Second, false},
		{call{}, time.Second, true},
		{call{unconnected: true}, time.Second, false},
		{call{status: 503}, time.Second, false},
	} {
		test.path, test.started, test.ended = "/tag/", start, start.Add(test.took)
		is.Equal(test.lost(), test.want)
	}
}
