// Package coldstart limits the load of an upstream while it is cold and raises it back to full load gradually. It does
// not use the network; callers pass in the time.
package coldstart

import (
	"math"
	"time"
)

// Unlimited is the limit of a warm upstream.
const Unlimited = math.MaxInt

// Parameters of the ramp.
const (
	// initialLimit is the cold limit, in requests, before the upstream has completed a cold start.
	initialLimit = 2
	// maxColdShare is the largest share of its capacity that an upstream may carry while cold.
	maxColdShare = 1.0 / 4
	// assumedColdTime is how long an upstream counts as cold after it was lost if it does not report its own state.
	assumedColdTime = 5 * time.Second
	// rampTime is how long the limit takes to rise from the cold limit to the capacity once the upstream is warm.
	rampTime = 2 * time.Second
	// suspicionTime is how long a suspicion based on the observed behaviour lasts. A load report arrives within that
	// time and may confirm or clear it.
	suspicionTime = 1500 * time.Millisecond
)

// Ramp computes the request limit of one upstream. It is not safe for concurrent use.
type Ramp struct {
	capacity int
	bootID   string
	// learnedLimit is the cold limit that follows from earlier cold starts, before it is capped by maxColdShare.
	learnedLimit int
	// ceiling is one less than the load at which the upstream crashed while cold, but at least 1; 0 if it never crashed.
	ceiling int

	cold bool
	// crashed is true if the upstream crashed during this cold start.
	crashed bool
	// peak is the highest load during this cold start.
	peak int
	// reported is true if the upstream's own reports determine when the cold start ends.
	reported  bool
	coldSince time.Time
	warmSince time.Time

	// suspectSince is when the current suspicion began.
	suspectSince time.Time
	suspectUntil time.Time
}

// New returns the ramp of an upstream with this capacity in requests. The upstream counts as warm until it is found to
// be cold.
func New(capacity int) *Ramp {
	return &Ramp{capacity: capacity, learnedLimit: initialLimit}
}

// RecordBootID records the boot ID of a response or a report. A changed boot ID starts a cold start.
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

// RecordColdReport records the cold flag of a load report. A report without the flag ends the cold start only if it was
// taken after the cold start began: if an earlier report of this cold start had the flag, or if more time than the
// maximum lag of reports has passed since the start.
func (r *Ramp) RecordColdReport(cold bool, lag time.Duration, now time.Time) {
	switch {
	case cold && !r.cold:
		r.begin(now)
		r.reported = true
	case cold:
		r.reported = true
	case r.cold && (r.reported || now.Sub(r.coldSince) > lag):
		r.end(now)
	}
}

// Suspect records that the upstream behaves as if it were cold. The suspicion ends after suspicionTime unless renewed.
func (r *Ramp) Suspect(now time.Time) {
	if !now.Before(r.suspectUntil) {
		r.suspectSince = now
	}
	r.suspectUntil = now.Add(suspicionTime)
}

// SuspectedFor returns how long the current suspicion has lasted, or 0 if there is none.
func (r *Ramp) SuspectedFor(now time.Time) time.Duration {
	if !now.Before(r.suspectUntil) {
		return 0
	}
	return now.Sub(r.suspectSince)
}

// ClearSuspicion records that the upstream behaves as usual.
func (r *Ramp) ClearSuspicion() { r.suspectUntil = time.Time{} }

// RecordLoss records that the upstream became unavailable while it carried inFlight requests. It will be cold when it
// returns.
func (r *Ramp) RecordLoss(inFlight int, now time.Time) {
	if r.cold && inFlight > 0 {
		r.crashed = true
		r.ceiling = max(1, min(inFlight, r.limit())-1)
		r.learnedLimit = min(r.learnedLimit, r.ceiling)
	}
	r.begin(now)
}

func (r *Ramp) begin(now time.Time) {
	r.cold, r.reported, r.coldSince, r.peak = true, false, now, 0
}

// end finishes a cold start. If the upstream handled its whole limit without a crash, the limit of its next cold start
// is one request higher.
func (r *Ramp) end(now time.Time) {
	if !r.crashed && r.peak >= r.limit() {
		r.learnedLimit++
		if r.ceiling > 0 {
			r.learnedLimit = min(r.learnedLimit, r.ceiling)
		}
	}
	r.cold, r.crashed, r.warmSince = false, false, now
}

// limit returns the cold limit.
func (r *Ramp) limit() int {
	maxLimit := max(1, int(maxColdShare*float64(r.capacity)))
	return max(1, min(r.learnedLimit, maxLimit))
}

// Limit returns the maximum number of requests that the upstream may carry now.
func (r *Ramp) Limit(now time.Time) int {
	if r.cold && !r.reported && now.Sub(r.coldSince) > assumedColdTime {
		r.end(now)
	}
	if r.cold || now.Before(r.suspectUntil) {
		return r.limit()
	}
	if r.warmSince.IsZero() {
		return Unlimited
	}
	elapsed := now.Sub(r.warmSince)
	if elapsed >= rampTime {
		return Unlimited
	}
	coldLimit := r.limit()
	return coldLimit + int(float64(r.capacity-coldLimit)*float64(elapsed)/float64(rampTime))
}

// RecordLoad records the load that the upstream carries.
func (r *Ramp) RecordLoad(inFlight int) {
	if r.cold {
		r.peak = max(r.peak, inFlight)
	}
}

// Cold reports whether the upstream counts as cold.
func (r *Ramp) Cold() bool { return r.cold }

// ColdLimit returns the maximum number of requests that the upstream may carry while cold.
func (r *Ramp) ColdLimit() int { return r.limit() }
