// Package health decides from the outcomes of requests and occasional probes whether an upstream receives requests. It
// does not use the network; callers pass in the time.
package health

import "time"

// Parameters for taking an upstream down and up.
const (
	// failureThreshold is the number of consecutive failures after which an upstream is down.
	failureThreshold = 3
	// baseBackoff is how long an upstream stays down the first time. The time doubles with each recent transition to
	// down, up to maxBackoff.
	baseBackoff = 500 * time.Millisecond
	maxBackoff  = 15 * time.Second
	// backoffResetTime is the time without a transition to down after which the backoff starts again at baseBackoff.
	backoffResetTime = time.Minute
)

// Status determines which requests an upstream may receive.
type Status string

// The statuses.
const (
	// Up receives requests.
	Up Status = "up"
	// Down receives no requests until its backoff is over and a probe has succeeded.
	Down Status = "down"
	// Trial receives one request at a time. The first success takes the upstream up.
	Trial Status = "trial"
)

// Tracker holds the health of one upstream. The zero value is up. It is not safe for concurrent use.
type Tracker struct {
	status      Status
	failures    int
	recentDowns int
	downAt      time.Time
	downUntil   time.Time
}

// Status returns the status.
func (t *Tracker) Status() Status {
	if t.status == "" {
		return Up
	}
	return t.status
}

// AllowsRequest reports whether a request may be sent to the upstream, which has inFlight requests in flight.
func (t *Tracker) AllowsRequest(inFlight int) bool {
	switch t.Status() {
	case Up:
		return true
	case Trial:
		return inFlight == 0
	default:
		return false
	}
}

// RecordFailure records a failed request or probe. It reports whether this took the upstream down.
func (t *Tracker) RecordFailure(now time.Time) bool {
	t.failures++
	if t.Status() == Down || t.Status() == Up && t.failures < failureThreshold {
		return false
	}
	t.takeDown(now)
	return true
}

// RecordConnectFailure records a refused connection, which takes the upstream down at once. It reports whether the
// upstream was up or on trial before.
func (t *Tracker) RecordConnectFailure(now time.Time) bool {
	t.failures++
	if t.Status() == Down {
		return false
	}
	t.takeDown(now)
	return true
}

func (t *Tracker) takeDown(now time.Time) {
	if now.Sub(t.downAt) > backoffResetTime {
		t.recentDowns = 0
	}
	backoff := maxBackoff
	if shift := t.recentDowns; shift < 8 {
		backoff = min(maxBackoff, baseBackoff<<shift)
	}
	t.recentDowns++
	t.status, t.downAt, t.downUntil = Down, now, now.Add(backoff)
}

// RecordSuccess records a successful request. It reports whether this took the upstream up.
func (t *Tracker) RecordSuccess() bool {
	t.failures = 0
	if t.Status() != Trial {
		return false
	}
	t.status = Up
	return true
}

// RecordProbeSuccess records a successful probe. It moves a down upstream whose backoff is over to Trial.
func (t *Tracker) RecordProbeSuccess(now time.Time) {
	if t.Status() == Up {
		t.failures = 0
	}
	if t.Status() == Down && !now.Before(t.downUntil) {
		t.status = Trial
	}
}

// RetryAfter returns the remaining backoff.
func (t *Tracker) RetryAfter(now time.Time) time.Duration { return max(0, t.downUntil.Sub(now)) }
