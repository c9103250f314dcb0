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
	// takeoverRamp is how long a new owner takes from the idle load to the bound.
	takeoverRamp = 2 * time.Second
	// silentReports is when a new owner goes on without a load report, for upstreams that give none.
	silentReports = 3 * time.Second
	// foreignLife is how long the load that a report showed for other hosts counts without a newer report.
	foreignLife = 10 * time.Second
	// queuePerPlace bounds the queue, as a multiple of the upstream's capacity.
	queuePerPlace = 4
	// durationWeight is the weight of one more request in the mean time that a request holds its place.
	durationWeight = 0.1
	// firstDuration is the assumed time before any request has ended.
	firstDuration = 500 * time.Millisecond
)

// state is what the owner knows of one upstream. The Set's mutex guards it.
type state struct {
	up       document.PoolUpstream
	inFlight int
	total    uint64
	// foreign is the load that the upstream carries for other hosts, by its own report.
	foreign   int
	foreignAt time.Time
	// rival is the load that another host claims to have there as its owner, by gossip; contested says that one does.
	rival     int
	contested bool
	seen      extremes
	owned     bool
	// takenOver is when this host last became the owner; reported says whether a load report has come since.
	takenOver time.Time
	reported  bool

	queue *fairqueue.Queue[*waiter]
	// waiting is the number of requests in the queue that no other upstream has a place for.
	waiting  int
	ramp     *coldstart.Ramp
	pace     coldstart.SlowdownDetector
	health   health.Tracker
	duration time.Duration

	pollAt   time.Time
	polledAt time.Time
	polling  bool
	usedAt   time.Time
}

func newState(up document.PoolUpstream) *state {
	return &state{
		up: up, queue: fairqueue.New[*waiter](queuePerPlace * up.Capacity), ramp: coldstart.New(up.Capacity),
		duration: firstDuration,
	}
}

// inherit takes over what stays true when the document changes the upstream's capacity or address.
func (st *state) inherit(old *state) {
	st.total, st.queue, st.waiting, st.owned, st.duration = old.total, old.queue, old.waiting, old.owned, old.duration
}

// load is the number of requests that the upstream carries, as far as is known.
func (st *state) load() int { return st.inFlight + max(st.foreign, st.rival) }

// totals is what the upstream adds to its pool's totals.
func (st *state) totals() loadbound.Totals {
	return loadbound.Totals{Load: float64(st.load()), Waiting: float64(st.waiting), Capacity: st.up.Capacity}
}

// counts reports whether the upstream is part of the mean.
func (st *state) counts() bool { return st.owned && st.health.Status() == health.Up }

// ownerLimit returns the limit of a new owner, which rises to the bound. A host that does not believe itself the owner
// gives no more than the idle load to senders that do.
func (st *state) ownerLimit(bound int, now time.Time) int {
	elapsed := now.Sub(st.takenOver)
	idle := min(bound, int(loadbound.IdleThreshold(st.up.Capacity)))
	switch {
	case !st.owned:
		return idle
	case !st.reported && elapsed < silentReports:
		return idle
	case elapsed >= takeoverRamp:
		return bound
	default:
		return max(idle, int(float64(bound)*float64(elapsed)/float64(takeoverRamp)))
	}
}

// setReport takes over the upstream's own report. While the ramp lasts the other hosts' part is taken as large as the
// lag of the report allows; later as small, so that this host's own past requests do not count twice.
func (st *state) setReport(inFlight int, now time.Time) {
	low, high := st.seen.span(now, st.inFlight)
	own := high
	if now.Sub(st.takenOver) < takeoverRamp {
		own = low
	}
	st.foreign, st.foreignAt, st.reported = max(0, inFlight-own), now, true
}

func (st *state) expireForeign(now time.Time) {
	if st.foreign > 0 && now.Sub(st.foreignAt) > foreignLife {
		st.foreign = 0
	}
}

// change adds n to the requests in flight.
func (st *state) change(n int, now time.Time) {
	st.seen.record(now, st.inFlight)
	st.inFlight += n
	st.seen.record(now, st.inFlight)
	st.ramp.RecordLoad(st.inFlight)
	st.usedAt = now
}

// pollSoon has the load report read as soon as the pace allows.
func (st *state) pollSoon() {
	if soon := st.polledAt.Add(quickPoll); soon.Before(st.pollAt) {
		st.pollAt = soon
	}
}

// observeDuration takes over how long a request held its place.
func (st *state) observeDuration(d time.Duration) {
	st.duration += time.Duration(durationWeight * float64(d-st.duration))
}
