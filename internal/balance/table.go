// Package balance chooses the upstream of a request from what this host knows of each: its own requests in flight, the
// load that answers tell, and recent failures.
package balance

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Times and weights of the view of an upstream.
const (
	// loadAge is the time in which a told load fades if nothing more is heard. It reaches all hosts of a fleet of a hundred in about four seconds.
	loadAge = 5 * time.Second
	// lastAge is how long the load of a single answer counts if it is above the mean.
	lastAge = time.Second
	// toldWeight is the weight of a load that an upstream tells against what was known of it: streams last a second, and
	// what all hosts hear in a few seconds should not follow each of them.
	toldWeight = 0.4
	// minSuspect and maxSuspect bound how long an upstream is passed over after a failure, doubled with each one.
	minSuspect = 200 * time.Millisecond
	maxSuspect = 2 * time.Second
	// silenceFactor is how much longer a silent upstream is passed over than one that refuses: each try there costs the
	// time-out of a request.
	silenceFactor = 3
	// brokenInARow is how many broken answers in a row show that an upstream is down.
	brokenInARow = 2
	// fullFor is how long an upstream that refused for want of room is passed over.
	fullFor = 150 * time.Millisecond
	// failureWeight is the weight of one outcome in the moving share of failures.
	failureWeight = 0.1
	// failureAge is the time in which a share of failures fades if nothing more is heard.
	failureAge = 5 * time.Second
	// greyShare is the share of failures from which an upstream is taken only after the others.
	greyShare = 0.3
	// forgetAfter is how long an upstream that is no longer published is remembered.
	forgetAfter = 10 * time.Second
)

// view is what this host knows of one incarnation of an upstream.
type view struct {
	inFlight int
	// told is the moving mean of the loads that answers told this host and others, the last one at toldAt; sent counts
	// this host's requests since then.
	told   float64
	toldAt time.Time
	sent   int
	// last is the load of the last answer that told it this host itself, at lastAt.
	last   int
	lastAt time.Time

	failures int
	// failed is the moving share of failures as of failedAt.
	failed       float64
	failedAt     time.Time
	suspectUntil time.Time
	fullUntil    time.Time
	// replaced is set once another instance answered at the address.
	replaced bool
	seen     time.Time
}

// load estimates the upstream's requests, running and waiting: high rather than low, since requests that come at once
// all follow the same estimate.
func (v *view) load(now time.Time) float64 {
	load := v.meanLoad(now) + float64(v.sent)
	if now.Sub(v.lastAt) < lastAge {
		load = max(load, float64(v.last+v.sent))
	}
	return max(load, float64(v.inFlight))
}

// meanLoad is the moving mean of the load. It fades, since an upstream that gets less tells its load less often.
func (v *view) meanLoad(now time.Time) float64 {
	if !v.fresh(now) {
		return 0
	}
	return v.told * faded(now.Sub(v.toldAt), loadAge)
}

// fresh reports whether the upstream told its load lately.
func (v *view) fresh(now time.Time) bool { return now.Sub(v.toldAt) <= loadAge }

// Table holds the views. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   zerolog.Logger
	// local is this host's data centre.
	local string

	mu    sync.Mutex
	views map[catalog.UpstreamKey]*view
	paths map[string]*path
	swept time.Time
	// pools are the seats of each service in the snapshot of; they are made once a snapshot.
	pools map[string][]seat
	of    *catalog.Snapshot
	// scratch is memory for the candidates of one decision.
	scratch []candidate
}

// seat is an upstream of a snapshot with what a decision needs of it.
type seat struct {
	upstream *catalog.Upstream
	key      catalog.UpstreamKey
	// hash is that of the ID, for the rendezvous order.
	hash uint64
	view *view
}

// NewTable returns an empty table of a host in the data centre.
func NewTable(local string, clock clockwork.Clock, log zerolog.Logger) *Table {
	return &Table{clock: clock, log: log, local: local, views: map[catalog.UpstreamKey]*view{}, paths: map[string]*path{}}
}

// view returns the view of the upstream; the caller holds mu.
func (t *Table) view(key catalog.UpstreamKey, now time.Time) *view {
	v := t.views[key]
	if v == nil {
		v = &view{}
		t.views[key] = v
	}
	v.seen = now
	return v
}

// pool returns the seats of the service; the caller holds mu.
func (t *Table) pool(snap *catalog.Snapshot, service string, now time.Time) []seat {
	if t.of != snap {
		t.of, t.pools = snap, map[string][]seat{}
		t.sweep(now)
	}
	seats, ok := t.pools[service]
	if !ok {
		seats = make([]seat, 0, len(snap.Upstreams[service]))
		for _, u := range snap.Upstreams[service] {
			key := u.Key()
			seats = append(seats, seat{upstream: u, key: key, hash: loadbalancer.HashKey(u.ID), view: t.view(key, now)})
		}
		t.pools[service] = seats
	}
	return seats
}

// sweep forgets upstreams that were not asked about for long; the caller holds mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < forgetAfter {
		return
	}
	t.swept = now
	for key, v := range t.views {
		if v.inFlight == 0 && now.Sub(v.seen) > forgetAfter {
			delete(t.views, key)
		}
	}
}

// RecordRequestStart counts a request that is sent to the upstream.
func (t *Table) RecordRequestStart(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view(key, t.clock.Now())
	v.inFlight++
	v.sent++
}

// RecordRequestEnd counts the end of a request.
func (t *Table) RecordRequestEnd(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view(key, t.clock.Now()).inFlight--
}

// RecordLoad takes the load that an answer told: requests running and waiting.
func (t *Table) RecordLoad(key catalog.UpstreamKey, load int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	v := t.view(key, now)
	if v.fresh(now) {
		v.told += toldWeight * (float64(load) - v.told)
	} else {
		v.told = float64(load)
	}
	v.toldAt, v.sent = now, 0
	v.last, v.lastAt = load, now
}

// RecordResponseStart says that an answer of the upstream has begun: it lives, and the path to it works.
func (t *Table) RecordResponseStart(u *catalog.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	v := t.view(u.Key(), now)
	if v.failures > 0 {
		t.log.Info().Str("event", "upstream-back").Str("upstream", u.ID).Str("peer", u.Address).Int("failures", v.failures).Send()
	}
	v.failures, v.suspectUntil = 0, time.Time{}
	t.path(u.DataCentre).answered(now)
}

// RecordOutcome counts an answer that came to its end. Failed answers are those by which the upstream says that it failed.
func (t *Table) RecordOutcome(u *catalog.Upstream, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.view(u.Key(), now).count(failed, now)
}

// count takes one outcome into the moving share of failures.
func (v *view) count(failed bool, now time.Time) {
	v.failed = (1 - failureWeight) * v.failureShare(now)
	if failed {
		v.failed += failureWeight
	}
	v.failedAt = now
}

// failureShare returns the moving share of failures. It fades, since an upstream that fails often gets few requests by
// which it could show that it no longer does.
func (v *view) failureShare(now time.Time) float64 {
	return v.failed * faded(now.Sub(v.failedAt), failureAge)
}

// faded returns what is left of a figure of that age if it fades to nothing in the time.
func faded(age, in time.Duration) float64 { return max(0, 1-float64(age)/float64(in)) }

// RecordConnectFailure says that no connection to the upstream could be made. It is passed over for a while.
func (t *Table) RecordConnectFailure(u *catalog.Upstream, cause error) { t.failed(u, 1, cause) }

// RecordBrokenResponse says that a request was sent and its answer did not come, or not whole. An upstream that stays silent is passed
// over for a while; else one broken answer says little of the next request, and a second one in a row does.
func (t *Table) RecordBrokenResponse(u *catalog.Upstream, cause error) {
	if isSilence(cause) {
		t.failed(u, 1, cause)
		return
	}
	t.failed(u, brokenInARow, cause)
}

// failed counts a failure and passes the upstream over for a while if it is the limit-th in a row or a later one.
func (t *Table) failed(u *catalog.Upstream, limit int, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	v := t.view(u.Key(), now)
	v.count(true, now)
	v.failures++
	if v.failures < limit {
		return
	}
	wait := min(minSuspect<<min(v.failures-limit, 8), maxSuspect)
	silent := isSilence(cause)
	if silent {
		wait = min(silenceFactor*wait, maxSuspect)
	}
	v.suspectUntil = now.Add(wait)
	t.log.Warn().Str("event", "upstream-suspected").Str("upstream", u.ID).Str("peer", u.Address).
		Str("data_centre", u.DataCentre).Int("failures", v.failures).Float64("failure_share", v.failed).
		Bool("silent", silent).Dur("for_ms", wait).Err(cause).Send()
	if silent && t.path(u.DataCentre).silent(u.ID, now) {
		t.log.Warn().Str("event", "data-centre-unreached").Str("data_centre", u.DataCentre).Str("upstream", u.ID).Send()
	}
}

// MarkReplaced says that another instance answered at the upstream's address: this incarnation is gone for good, although
// its entry may stay for some heartbeats.
func (t *Table) MarkReplaced(u *catalog.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view(u.Key(), t.clock.Now())
	if !v.replaced {
		t.log.Info().Str("event", "upstream-replaced").Str("upstream", u.ID).Str("peer", u.Address).Send()
	}
	v.replaced = true
}

// MarkFull says that the upstream refused a request for want of room.
func (t *Table) MarkFull(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.view(key, now).fullUntil = now.Add(fullFor)
}

// UpstreamState is an upstream's line in the state dump.
type UpstreamState struct {
	ID           string  `json:"id"`
	Address      string  `json:"address"`
	InFlight     int     `json:"in_flight"`
	Load         float64 `json:"load"`
	Failures     int     `json:"failures"`
	FailureShare float64 `json:"failure_share"`
	Suspect      bool    `json:"suspect"`
}

// State returns a copy of the views.
func (t *Table) State() []UpstreamState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	states := make([]UpstreamState, 0, len(t.views))
	for key, v := range t.views {
		states = append(states, UpstreamState{
			ID: key.ID, Address: key.Address, InFlight: v.inFlight, Load: v.load(now), Failures: v.failures,
			FailureShare: v.failureShare(now), Suspect: now.Before(v.suspectUntil),
		})
	}
	return states
}
