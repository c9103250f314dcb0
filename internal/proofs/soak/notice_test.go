package soak

import (
	"fmt"
	"time"
)

// Limits of the promises about what servers say in their answers, as the users' documentation states them.
const (
	// pauseSettled is the time after a refusal with a pause from which on at most maxInPause requests may arrive.
	pauseSettled = 500 * time.Millisecond
	maxInPause   = 2
)

// leaveUnpublished makes a server say in its answers that it is leaving, while the store still lists it as ready, and then
// replaces it.
func (f *soakRun) leaveUnpublished() {
	s := f.servers.list[f.randomInt(serverCount)]
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	time.Sleep(drainLimit + 1500*time.Millisecond)
	s.crash()
	if err := s.start(); err != nil {
		f.t.Fatal(err)
	}
}

// pauseServer makes a server refuse all requests and ask for a pause, which ends later than the refusals.
func (f *soakRun) pauseServer() {
	s := f.servers.list[f.randomInt(serverCount)]
	s.mu.Lock()
	s.pause = time.Duration(600+f.randomInt(1400)) * time.Millisecond
	s.mu.Unlock()
	f.sleepRandom(500, 2500)
	s.mu.Lock()
	s.pause = 0
	s.mu.Unlock()
}

// link is a server's instance and a router that sends to it.
type link struct{ instance, routerIP string }

// noticeViolations returns the requests that reached a server from a router that the server had told that it is leaving, or
// that it wants nothing for a time. runs are in the order of their arrival.
func noticeViolations(runs []arrival, f *faultLog) (violations []string) {
	leftAt := map[link]time.Time{}
	paused := map[link]arrival{}
	inPause := map[link]int{}
	for _, r := range runs {
		key := link{r.instance, r.routerIP}
		if at, ok := leftAt[key]; ok && r.at.Sub(at) > drainLimit && f.undisturbed(r.routerIP, r.at) {
			violations = append(violations, fmt.Sprintf("request %s reached %s from %s %v after an answer that said that it leaves", r.request, r.instance, r.routerIP, r.at.Sub(at)))
		} else if r.leaving && !ok {
			leftAt[key] = r.at
		}
		if p, ok := paused[key]; ok && r.at.Sub(p.at) > pauseSettled && r.at.Sub(p.at) < p.pause && f.undisturbed(r.routerIP, r.at) {
			if inPause[key]++; inPause[key] > maxInPause {
				violations = append(violations, fmt.Sprintf("request %s reached %s from %s %v after it had asked for a pause of %v", r.request, r.instance, r.routerIP, r.at.Sub(p.at), p.pause))
			}
		} else if r.pause > 0 {
			paused[key], inPause[key] = r, 0
		}
	}
	return violations
}
