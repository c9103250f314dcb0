// Package coldstart limits what an upstream gets while it is cold and brings it back to full load by steps. It has no
// network; the time is passed in.
package coldstart

import (
	"math"
	"time"
)

// Unlimited is the limit of a warm upstream.
const Unlimited = math.MaxInt

// The rules of the ramp.
const (
	// firstLimit is what an upstream gets when nothing is known of what it bears while cold.
	firstLimit = 2
	// coldShare is the largest part of its capacity that a cold upstream ever gets.
	coldShare = 1.0 / 4
	// presumedCold is how long an upstream counts as cold after it was lost when it does not say so itself.
	presumedCold = 5 * time.Second
	// warmUp is how long the limit takes from the cold one to the capacity once the upstream is warm.
	warmUp = 2 * time.Second
	// suspicionLife bounds a suspicion from behaviour; within it a load report tells.
	suspicionLife = 1500 * time.Millisecond
)

// Ramp follows one upstream. It is not safe for concurrent use.
type Ramp struct {
	capacity int
	bootID   string
	// learned is what the upstream has borne while cold.
	learned int
	// ceiling is the load below which it once fell over while cold; 0 means never.
	ceiling int

	cold bool
	// crashed means that it fell over during this cold start.
	crashed bool
	// used is the highest load of this cold start.
	used int
	// reported means that its own reports say when the cold start ends.
	reported bool
	since    time.Time
	warmAt   time.Time

	// suspectSince is when the running suspicion began.
	suspectSince time.Time
	suspectUntil time.Time
}

// New returns the ramp of an upstream of this capacity, in requests, that counts as warm until it is found cold.
func New(capacity int) *Ramp {
	return &Ramp{capacity: capacity, learned: firstLimit}
}

// RecordBootID records the boot id of an answer or a report; a new one is a cold start.
func (r *Ramp) RecordBootID(id string, now time.Time) {
	if id == "" || id == r.bootID {
		return
	}
	first := r.bootID == ""
	r.bootID = id
	if !first {
		r.begin(now)
	}
}

// RecordColdReport records the cold flag of a load report. A report that says warm ends the cold start only when it was taken
// after the cold start began, given the longest lag of reports.
func (r *Ramp) RecordColdReport(cold bool, lag time.Duration, now time.Time) {
	switch {
	case cold && !r.cold:
		r.begin(now)
		r.reported = true
	case cold:
		r.reported = true
	case r.cold && (r.reported || now.Sub(r.since) > lag):
		r.end(now)
	}
}

// Suspect records that the upstream behaves as if cold; the suspicion ends suspicionLife later unless renewed.
func (r *Ramp) Suspect(now time.Time) {
	if !now.Before(r.suspectUntil) {
		r.suspectSince = now
	}
	r.suspectUntil = now.Add(suspicionLife)
}

// SuspectedFor returns how long the running suspicion has lasted, 0 if there is none.
func (r *Ramp) SuspectedFor(now time.Time) time.Duration {
	if !now.Before(r.suspectUntil) {
		return 0
	}
	return now.Sub(r.suspectSince)
}

// ClearSuspicion records that the upstream behaves as usual.
func (r *Ramp) ClearSuspicion() { r.suspectUntil = time.Time{} }

// RecordLoss records that the upstream went away while it carried inFlight requests. It will be cold when it is back.
func (r *Ramp) RecordLoss(inFlight int, now time.Time) {
	if r.cold && inFlight > 0 {
		r.crashed = true
		r.ceiling = max(1, min(inFlight, r.limit())-1)
		r.learned = min(r.learned, r.ceiling)
	}
	r.begin(now)
}

func (r *Ramp) begin(now time.Time) {
	r.cold, r.reported, r.since, r.used = true, false, now, 0
}

// end finishes a cold start. If the upstream bore its whole limit without falling over, it gets one more next time.
func (r *Ramp) end(now time.Time) {
	if !r.crashed && r.used >= r.limit() {
		r.learned++
		if r.ceiling > 0 {
			r.learned = min(r.learned, r.ceiling)
		}
	}
	r.cold, r.crashed, r.warmAt = false, false, now
}

// limit is the limit while cold.
func (r *Ramp) limit() int {
	most := max(1, int(coldShare*float64(r.capacity)))
	return max(1, min(r.learned, most))
}

// Limit returns the most requests that the upstream may carry now.
func (r *Ramp) Limit(now time.Time) int {
	if r.cold && !r.reported && now.Sub(r.since) > presumedCold {
		r.end(now)
	}
	if r.cold || now.Before(r.suspectUntil) {
		return r.limit()
	}
	if r.warmAt.IsZero() {
		return Unlimited
	}
	elapsed := now.Sub(r.warmAt)
	if elapsed >= warmUp {
		return Unlimited
	}
	low := r.limit()
	return low + int(float64(r.capacity-low)*float64(elapsed)/float64(warmUp))
}

// RecordLoad records the load that the upstream carries.
func (r *Ramp) RecordLoad(inFlight int) {
	if r.cold {
		r.used = max(r.used, inFlight)
	}
}

// Cold reports whether the upstream counts as cold.
func (r *Ramp) Cold() bool { return r.cold }

// ColdLimit returns what the upstream gets while cold.
func (r *Ramp) ColdLimit() int { return r.limit() }
