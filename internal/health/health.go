// Package health decides from the outcomes of requests and few probes whether an upstream gets work. It has no network;
// the time is passed in.
package health

import "time"

// The rules by which an upstream goes down and comes back.
const (
	// failuresToDown is the number of failures in a row after which an upstream is down.
	failuresToDown = 3
	// baseBackoff is how long an upstream stays down the first time; it doubles with each recent time, up to maxBackoff.
	baseBackoff = 500 * time.Millisecond
	maxBackoff  = 15 * time.Second
	// flapMemory is the time without going down after which earlier times are forgotten.
	flapMemory = time.Minute
)

// Status says what an upstream may get.
type Status string

// The statuses.
const (
	// Up takes work.
	Up Status = "up"
	// Down takes none until its backoff is over and a probe was answered.
	Down Status = "down"
	// Trial takes one request at a time; its success brings the upstream back.
	Trial Status = "trial"
)

// Tracker follows one upstream. The zero value is up. It is not safe for concurrent use.
type Tracker struct {
	status   Status
	failures int
	downs    int
	downAt   time.Time
	until    time.Time
}

// Status returns the status.
func (t *Tracker) Status() Status {
	if t.status == "" {
		return Up
	}
	return t.status
}

// AllowsRequest reports whether a request may go to the upstream that carries inFlight ones.
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

// RecordFailure records a request or probe without an answer. It reports whether the upstream went down by it.
func (t *Tracker) RecordFailure(now time.Time) bool {
	t.failures++
	if t.Status() == Down || t.Status() == Up && t.failures < failuresToDown {
		return false
	}
	t.down(now)
	return true
}

// RecordConnectFailure records that a connection was refused, which takes the upstream down at once. It reports whether the
// upstream went down by it.
func (t *Tracker) RecordConnectFailure(now time.Time) bool {
	t.failures++
	if t.Status() == Down {
		return false
	}
	t.down(now)
	return true
}

func (t *Tracker) down(now time.Time) {
	if now.Sub(t.downAt) > flapMemory {
		t.downs = 0
	}
	backoff := maxBackoff
	if shift := t.downs; shift < 8 {
		backoff = min(maxBackoff, baseBackoff<<shift)
	}
	t.downs++
	t.status, t.downAt, t.until = Down, now, now.Add(backoff)
}

// RecordSuccess records an answered request. It reports whether the upstream came back by it.
func (t *Tracker) RecordSuccess() bool {
	t.failures = 0
	if t.Status() != Trial {
		return false
	}
	t.status = Up
	return true
}

// RecordProbeSuccess records an answered probe: a down upstream whose backoff is over gets one request as a trial.
func (t *Tracker) RecordProbeSuccess(now time.Time) {
	if t.Status() == Up {
		t.failures = 0
	}
	if t.Status() == Down && !now.Before(t.until) {
		t.status = Trial
	}
}

// RetryAfter returns the rest of the backoff.
func (t *Tracker) RetryAfter(now time.Time) time.Duration { return max(0, t.until.Sub(now)) }
