package soak

import (
	"fmt"
	"time"
)

// record records the arrival of a request, which the server holds from now on if it runs it, and returns its number.
func (s *server) record(v arrival) int {
	a := s.all
	a.mu.Lock()
	defer a.mu.Unlock()
	v.held, v.meanHeld, v.stalled = s.held, a.meanHeld(s.service), time.Now().Before(s.stalledUntil)
	if v.executed {
		s.held++
	}
	a.arrivals = append(a.arrivals, v)
	return len(a.arrivals) - 1
}

// finish records that the server is done with the request.
func (s *server) finish(number int) {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	s.held--
	s.all.arrivals[number].ended = time.Now()
}

// meanHeld returns the mean number of requests that a server of the service holds. a.mu must be held.
func (a *servers) meanHeld(service string) float64 {
	held, count := 0, 0
	for _, s := range a.list {
		if s.service == service {
			held, count = held+s.held, count+1
		}
	}
	return float64(held) / float64(count)
}

// load returns the header that tells the server's load.
func (s *server) load() string {
	if !s.tellsLoad {
		return ""
	}
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	return fmt.Sprintf("Orioleusher-Server-Load: %d,%d,%d\r\n", min(s.held, s.slots), max(0, s.held-s.slots), s.slots)
}

// interval returns the time to the next event of a stream.
func (s *server) interval() time.Duration {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	return s.all.eventInterval + time.Duration(s.held)*s.all.slowdown
}

// work blocks for the time.
func (s *server) work(d time.Duration) { s.workUntil(time.Now().Add(d)) }

// workUntil blocks until the time, and on while the server stands still: what it does next, it does then. It returns the time
// from which on the server works again.
func (s *server) workUntil(at time.Time) time.Time {
	time.Sleep(time.Until(at))
	for rest := s.stalledFor(); rest > 0; rest = s.stalledFor() {
		time.Sleep(rest)
		at = time.Now()
	}
	return at
}

// stalledFor returns how much longer the server stands still; 0 if it doesn't.
func (s *server) stalledFor() time.Duration {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	return max(0, time.Until(s.stalledUntil))
}

// stall makes the server stand still for a while, as a process that is not scheduled does: it writes nothing and does not
// see that connections are closed, but the kernel accepts connections and data.
func (f *soakRun) stall(s *server) {
	d := time.Duration(700+f.randomInt(1201)) * time.Millisecond
	f.servers.mu.Lock()
	s.stalledUntil = time.Now().Add(d)
	f.servers.mu.Unlock()
	time.Sleep(d)
}

func (f *soakRun) stallServer() { f.stall(f.servers.list[f.randomInt(serverCount)]) }
