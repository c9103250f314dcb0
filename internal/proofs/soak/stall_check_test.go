package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Limits of the promises about the load of servers and about requests that go on elsewhere, as the users' documentation
// states them.
const (
	loadFactor    = 2
	loadSlack     = 3
	loadWindow    = 5 * time.Second
	minOverloads  = 20
	overloadShare = 0.03
	// overlapLimit is how long a server may still have a request that goes on at another one.
	overlapLimit = 400 * time.Millisecond
)

// overloadWindow counts the requests that arrived in a window: all, those at servers over the bound, and those of them at
// servers that stood still.
type overloadWindow struct{ all, over, stalled int }

func (w overloadWindow) broken() bool {
	return w.over >= minOverloads && float64(w.over) > overloadShare*float64(w.all)
}

// worse reports whether the window is worse than the other one.
func (w overloadWindow) worse(other overloadWindow) bool {
	if w.broken() != other.broken() {
		return w.broken()
	}
	return w.over > other.over
}

func (w *overloadWindow) add(r arrival, n int) {
	w.all += n
	if float64(r.held) > loadFactor*r.meanHeld+loadSlack {
		w.over += n
		w.stalled += n * count(r.stalled)
	}
}

// overloads returns the worst window of the streams and the counts of the whole run. runs are in the order of their arrival.
func overloads(runs []arrival) (worst, total overloadWindow) {
	var w overloadWindow
	update := func() {
		if w.worse(worst) {
			worst = w
		}
	}
	runs = slices.DeleteFunc(slices.Clone(runs), func(r arrival) bool { return !isStream(r.path) })
	first := 0
	for _, r := range runs {
		for ; r.at.Sub(runs[first].at) >= loadWindow; first++ {
			w.add(runs[first], -1)
			update()
		}
		w.add(r, 1)
		total.add(r, 1)
		update()
	}
	return worst, total
}

// overlap is a stream that went on at another server while the one before still had it.
type overlap struct{ before, next arrival }

func (o overlap) String() string {
	return fmt.Sprintf("%s at %s, then for %v also at %s", o.next.request, o.before.instance, o.before.ended.Sub(o.next.at), o.next.instance)
}

// overlaps returns the overlaps that were longer than overlapLimit. A call that may be repeated does not go on, it runs again.
func overlaps(runs []arrival) (list []overlap) {
	last := map[string]arrival{}
	for _, r := range runs {
		if !r.executed || !isStream(r.path) {
			continue
		}
		if before, ok := last[r.request]; ok && before.ended.Sub(r.at) > overlapLimit {
			list = append(list, overlap{before, r})
		}
		last[r.request] = r
	}
	return list
}

// lost reports whether a router ended the request without an answer, or in the middle of it, before its deadline.
func (c *call) lost() bool {
	cut := c.status == http.StatusOK && !c.complete
	return (cut || c.status == 0 && !c.unconnected) && c.ended.Sub(c.started) < routes[c.path].timeout
}

// checkStalls checks what callers and servers observed in a run without other trouble than servers that stand still.
func (f *soakRun) checkStalls() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	worst, total := overloads(f.servers.arrivals)
	twice := overlaps(f.servers.arrivals)
	var cut, unanswered []string
	statuses := map[int]int{}
	for i := range f.clients.calls {
		c := &f.clients.calls[i]
		statuses[c.status]++
		switch {
		case !c.lost():
		case c.status == 0:
			unanswered = append(unanswered, c.id)
		default:
			cut = append(cut, c.id)
		}
	}
	f.t.Logf("worst window %+v, whole run %+v; %d streams cut, %d requests unanswered, %d overlaps; statuses %v", worst, total, len(cut), len(unanswered), len(twice), statuses)
	if worst.broken() {
		f.t.Errorf("%d of %d requests in %v reached servers that held over %d times the mean, plus %d; %d of them stood still",
			worst.over, worst.all, loadWindow, loadFactor, loadSlack, worst.stalled)
	}
	if len(cut)+len(unanswered) > 0 {
		f.t.Errorf("%d streams were cut: %v; %d requests got no answer: %v", len(cut), cut, len(unanswered), unanswered)
	}
	if len(twice) > 0 {
		f.t.Errorf("%d streams went on at another server while the one before had them over %v later: %v", len(twice), overlapLimit, twice)
	}
}
