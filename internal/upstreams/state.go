package upstreams

import (
	"time"

	"github.com/orioleusher/orioleusher/internal/coldstart"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/fairqueue"
	"github.com/orioleusher/orioleusher/internal/health"
	"github.com/orioleusher/orioleusher/internal/loadbound"
)

const (
	// takeoverRamp is how long the limit of a new owner takes to rise from the idle load to the load bound.
	takeoverRamp = 2 * time.Second
	// firstReportTimeout is how long a new owner waits for a first load report. Some upstreams provide none.
	firstReportTimeout = 3 * time.Second
	// externalLoadTTL is how long the reported load from other hosts counts without a newer report.
	externalLoadTTL = 10 * time.Second
	// queuePerSlot is the queue's capacity as a multiple of the upstream's capacity.
	queuePerSlot = 4
	// meanDurationWeight is the weight of the latest request in the moving average of how long a request holds its
	// slot.
	meanDurationWeight = 0.1
	// initialMeanDuration is the assumed average before any request has ended.
	initialMeanDuration = 500 * time.Millisecond
)

// state is the owner's state of one upstream. The Set's mutex guards it.
type state struct {
	up       document.PoolUpstream
	inFlight int
	total    uint64
	// externalLoad is the number of requests that the upstream runs for other hosts, by its own load report.
	externalLoad   int
	externalLoadAt time.Time
	// otherOwnerLoad is the load that another host reports by gossip as owner of the same upstream; contested is set if
	// there is such a host.
	otherOwnerLoad int
	contested      bool
	recentInFlight minMaxWindow
	owned          bool
	// takenOverAt is when this host last became the owner; hasReport is set once a load report has been received since
	// then.
	takenOverAt time.Time
	hasReport   bool

	queue *fairqueue.Queue[*waiter]
	// waiting is the number of queued requests for which no other upstream has a free slot.
	waiting      int
	ramp         *coldstart.Ramp
	slowdown     coldstart.SlowdownDetector
	health       health.Tracker
	meanDuration time.Duration

	nextPollAt time.Time
	lastPollAt time.Time
	polling    bool
	lastUsedAt time.Time
}

func newState(up document.PoolUpstream) *state {
	return &state{
		up: up, queue: fairqueue.New[*waiter](queuePerSlot * up.Capacity), ramp: coldstart.New(up.Capacity),
		meanDuration: initialMeanDuration,
	}
}

// inherit copies what remains valid when the document changes the upstream's capacity or address.
func (st *state) inherit(old *state) {
	st.total, st.queue, st.waiting, st.owned, st.meanDuration = old.total, old.queue, old.waiting, old.owned, old.meanDuration
}

// load returns the upstream's number of requests in flight as far as it is known.
func (st *state) load() int { return st.inFlight + max(st.externalLoad, st.otherOwnerLoad) }

// totals returns the upstream's share of its pool's totals.
func (st *state) totals() loadbound.Totals {
	return loadbound.Totals{Load: float64(st.load()), Waiting: float64(st.waiting), Capacity: st.up.Capacity}
}

// countsTowardMean reports whether the upstream is included in the pool's mean load.
func (st *state) countsTowardMean() bool { return st.owned && st.health.Status() == health.Up }

// ownerLimit returns the limit of this host for the upstream. It rises to the bound after a takeover. A host that does
// not consider itself the owner admits no more than the idle load, for senders that consider it the owner.
func (st *state) ownerLimit(bound int, now time.Time) int {
	elapsed := now.Sub(st.takenOverAt)
	idle := min(bound, int(loadbound.IdleThreshold(st.up.Capacity)))
	switch {
	case !st.owned:
		return idle
	case !st.hasReport && elapsed < firstReportTimeout:
		return idle
	case elapsed >= takeoverRamp:
		return bound
	default:
		return max(idle, int(float64(bound)*float64(elapsed)/float64(takeoverRamp)))
	}
}

// updateExternalLoad derives the load from other hosts from the upstream's report. The report is delayed, so this
// host's own share of it is uncertain. During the takeover ramp the lowest own share is subtracted, which gives the
// highest external load; afterwards the highest, so that this host's own past requests are not counted twice.
func (st *state) updateExternalLoad(inFlight int, now time.Time) {
	low, high := st.recentInFlight.minMax(now, st.inFlight)
	own := high
	if now.Sub(st.takenOverAt) < takeoverRamp {
		own = low
	}
	st.externalLoad, st.externalLoadAt, st.hasReport = max(0, inFlight-own), now, true
}

func (st *state) expireExternalLoad(now time.Time) {
	if st.externalLoad > 0 && now.Sub(st.externalLoadAt) > externalLoadTTL {
		st.externalLoad = 0
	}
}

// addInFlight adds n to the requests in flight.
func (st *state) addInFlight(n int, now time.Time) {
	st.recentInFlight.record(now, st.inFlight)
	st.inFlight += n
	st.recentInFlight.record(now, st.inFlight)
	st.ramp.RecordLoad(st.inFlight)
	st.lastUsedAt = now
}

// pollSoon schedules the next read of the load report as early as minPollInterval allows.
func (st *state) pollSoon() {
	if soon := st.lastPollAt.Add(minPollInterval); soon.Before(st.nextPollAt) {
		st.nextPollAt = soon
	}
}

// observeDuration updates the moving average with how long a request held its slot.
func (st *state) observeDuration(d time.Duration) {
	st.meanDuration += time.Duration(meanDurationWeight * float64(d-st.meanDuration))
}
