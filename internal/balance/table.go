// Package balance chooses the upstream of a request from this host's statistics of each upstream: its own requests in
// flight, the load that responses report, and recent failures.
package balance

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/allowance"
	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Times and weights of the upstream statistics.
const (
	// loadDecayTime is the time in which a reported load decays to zero unless a new report arrives. In a fleet of a
	// hundred hosts a report reaches all of them in about four seconds.
	loadDecayTime = 5 * time.Second
	// lastLoadTime is how long the load of the latest response overrides a lower mean.
	lastLoadTime = time.Second
	// notableFactor times the mean load of the service is the load from which on other hosts are told at once.
	notableFactor = 1.5
	// newLoadWeight is the weight of a newly reported load in the moving average. Streams last about a second and a report
	// takes a few seconds to reach all hosts, so the average should not follow each stream.
	newLoadWeight = 0.4
	// minSuspectTime and maxSuspectTime bound how long an upstream is suspect after a failure; the time doubles with each
	// consecutive failure.
	minSuspectTime = 200 * time.Millisecond
	maxSuspectTime = 2 * time.Second
	// timeoutFactor is how many times longer an upstream that timed out is suspect than one that refuses connections:
	// each attempt there costs a request the full timeout.
	timeoutFactor = 3
	// brokenForSuspect is the number of consecutive broken responses after which an upstream is suspect.
	brokenForSuspect = 2
	// fullTime is how long an upstream counts as full after it refused a request for lack of capacity.
	fullTime = 150 * time.Millisecond
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.1
	// failureDecayTime is the time in which the failure share decays to zero unless a new outcome is recorded.
	failureDecayTime = 5 * time.Second
	// degradedFailureShare is the failure share above which an upstream is chosen only after the others.
	degradedFailureShare = 0.3
	// statsExpiry is how long the statistics of an upstream that is no longer published are kept.
	statsExpiry = 10 * time.Second
)

// poolStats are this host's statistics of a service.
type poolStats struct {
	service string
	// meanLoad is the mean load at the latest decision.
	meanLoad float64
	// waiting counts the requests that wait for an upstream of a certain software version.
	waiting map[string]int
	silence silenceLimits
	brittle brittleNotice
}

// stats are this host's statistics of one incarnation of an upstream.
type stats struct {
	key catalog.UpstreamKey
	// id is the incarnation's ID in messages to other hosts.
	id uint32
	// pool holds what the upstreams of a service have in common.
	pool     *poolStats
	inFlight int
	// waitingSince is when this host began to wait for responses of the upstream, respondedAt when the head of one last arrived,
	// and data when data of one did.
	waitingSince, respondedAt time.Time
	data                      *moment
	// toldSilentSince is since when another host has heard nothing of the upstream, as told at toldSilentAt, or this one when
	// its last request there ended.
	toldSilentSince, toldSilentAt time.Time
	// loggedSilent is set while the latest log line about the upstream's silence says that it is silent.
	loggedSilent bool
	// avgLoad is the moving average of the loads that responses reported to this host and others, as of avgLoadAt.
	// sentSince counts the requests that this host sent since then, the last one at lastSentAt.
	avgLoad    float64
	avgLoadAt  time.Time
	sentSince  int
	lastSentAt time.Time
	// lastLoad is the load in the latest response to this host that reported one, received at lastLoadAt.
	lastLoad   int
	lastLoadAt time.Time
	// observed is set while the latest response's load is in the table's list of observations.
	observed bool

	consecutiveFailures int
	// avgFailureShare is the moving average share of failed outcomes as of failedAt.
	avgFailureShare float64
	failedAt        time.Time
	suspectUntil    time.Time
	fullUntil       time.Time
	// rejections counts the requests that the upstream rejected for lack of capacity.
	rejections int
	// held counts this host's requests for which the upstream was selected and whose sends have not ended, and rejectedAt holds
	// the recent rejections while the upstream is brittle.
	held       int
	rejectedAt []time.Time
	// said is what the upstream says of itself.
	said selfReport
	// replaced is true once another instance responded at the address.
	replaced bool
	lastUsed time.Time
}

// load estimates the number of running and waiting requests at the upstream. It errs on the high side, since concurrent
// requests all use the same estimate.
func (s *stats) load(now time.Time) float64 {
	load := s.meanLoad(now) + float64(s.sentSince)
	if now.Sub(s.lastLoadAt) < lastLoadTime {
		load = max(load, float64(s.lastLoad+s.sentSince))
	}
	return max(load, float64(s.inFlight))
}

// meanLoad returns the moving average of the load, decayed by its age: an upstream that receives fewer requests reports
// its load less often.
func (s *stats) meanLoad(now time.Time) float64 {
	if !s.fresh(now) {
		return 0
	}
	return s.avgLoad * decay(now.Sub(s.avgLoadAt), loadDecayTime)
}

// fresh reports whether the upstream reported its load recently.
func (s *stats) fresh(now time.Time) bool { return now.Sub(s.avgLoadAt) <= loadDecayTime }

// Table holds the statistics of all upstreams. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   zerolog.Logger
	// local is the name of this host's data centre.
	local string
	// start is before the first event.
	start time.Time
	// dataOf holds the moments of the statistics by catalog.UpstreamKey, and pathDataOf those of the paths by data centre.
	dataOf, pathDataOf sync.Map

	mu         sync.Mutex
	statsByKey map[catalog.UpstreamKey]*stats
	statsByID  map[uint32]*stats
	// observations are the statistics of the upstreams whose load responses reported to this host since the last call of
	// TakeObservations.
	observations []*stats
	// changedLimits are the statistics of the upstreams whose request limit a response to this host changed since the last
	// call of TakeChangedLimits.
	changedLimits []*stats
	// changedBrittle are the services whose upstreams began to say to this host that they are brittle, since the last call of
	// TakeChangedBrittle.
	changedBrittle []*poolStats
	// silenceReportedAt is when SilenceReports was last called, and resumedAt when this process last went on after a pause.
	silenceReportedAt, resumedAt time.Time
	paths                        map[string]*path
	lastSweep                    time.Time
	// pools are the members of each service in poolsSnapshot. They are built once for each snapshot.
	pools         map[string][]member
	poolStats     map[string]*poolStats
	poolsSnapshot *catalog.Snapshot
	// scratch is a reused buffer for the candidates of one decision.
	scratch []candidate
	// lines are written to the log once mu is released.
	lines []*zerolog.Event
	// changes are the changes that onChange is called with once mu is released.
	changes  []Change
	onChange func(Change)
}

// member is an upstream of a snapshot with the data that a decision needs.
type member struct {
	upstream *catalog.Upstream
	key      catalog.UpstreamKey
	// hash is the hash of the upstream ID, used for the rendezvous score.
	hash uint64
	// position is the position among the members of the service, from 0 up to 1.
	position float64
	// superseded is set if an upstream that started later is published at the same address.
	superseded bool
	stats      *stats
}

func (m *member) target() allowance.Target {
	return allowance.Target{Service: m.upstream.Service, ID: m.upstream.ID, Position: m.position}
}

// NewTable returns an empty table for a host in the data centre local.
func NewTable(local string, clock clockwork.Clock, log zerolog.Logger) *Table {
	return &Table{
		clock: clock, log: log, local: local, start: clock.Now().Add(-1), statsByKey: map[catalog.UpstreamKey]*stats{}, statsByID: map[uint32]*stats{},
		poolStats: map[string]*poolStats{}, paths: map[string]*path{}, onChange: func(Change) {},
	}
}

// stats returns the statistics of the upstream and creates them if needed. The caller holds mu.
func (t *Table) stats(key catalog.UpstreamKey, now time.Time) *stats {
	s := t.statsByKey[key]
	if s == nil {
		s = &stats{key: key, id: IncarnationID(key), data: newMoment(t.start)}
		t.statsByKey[key], t.statsByID[s.id] = s, s
		t.dataOf.Store(key, s.data)
	}
	s.lastUsed = now
	return s
}

// poolMembers returns the members of the service. The caller holds mu.
func (t *Table) poolMembers(snap *catalog.Snapshot, service string, now time.Time) []member {
	if t.poolsSnapshot != snap {
		t.poolsSnapshot, t.pools = snap, map[string][]member{}
		t.sweep(now)
	}
	members, ok := t.pools[service]
	if !ok {
		upstreams := snap.Upstreams[service]
		members = make([]member, 0, len(upstreams))
		starts := latestStarts(upstreams)
		for i, u := range upstreams {
			key := u.Key()
			members = append(members, member{
				upstream: u, key: key, hash: loadbalancer.HashKey(u.ID), position: float64(i) / float64(len(upstreams)),
				superseded: u.StartedAtMs > 0 && u.StartedAtMs < starts[u.Address], stats: t.stats(key, now),
			})
		}
		t.pools[service] = members
		pool := t.pool(service)
		pool.silence = newSilenceLimits(snap.Config, service)
		for _, m := range members {
			m.stats.pool = pool
		}
	}
	return members
}

// pool returns the statistics of the service and creates them if needed. The caller holds mu.
func (t *Table) pool(service string) *poolStats {
	pool := t.poolStats[service]
	if pool == nil {
		pool = &poolStats{service: service, waiting: map[string]int{}}
		t.poolStats[service] = pool
	}
	return pool
}

// latestStarts returns the latest start of an upstream at each address.
func latestStarts(upstreams []*catalog.Upstream) map[string]int64 {
	starts := make(map[string]int64, len(upstreams))
	for _, u := range upstreams {
		starts[u.Address] = max(starts[u.Address], u.StartedAtMs)
	}
	return starts
}

// WaitForVersion records that a request waits for an upstream of the software version, until the returned function is
// called. Requests that may go to any version then leave limited upstreams of this one to it.
func (t *Table) WaitForVersion(snap *catalog.Snapshot, service, version string) (end func()) {
	t.mu.Lock()
	defer t.unlock()
	t.poolMembers(snap, service, t.clock.Now())
	pool := t.poolStats[service]
	pool.waiting[version]++
	return func() {
		t.mu.Lock()
		defer t.unlock()
		pool.waiting[version]--
		if pool.waiting[version] == 0 {
			delete(pool.waiting, version)
		}
	}
}

// sweep deletes the statistics of upstreams that were not used for statsExpiry. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < statsExpiry {
		return
	}
	t.lastSweep = now
	for key, s := range t.statsByKey {
		if s.inFlight == 0 && s.held == 0 && now.Sub(s.lastUsed) > statsExpiry && !s.hasNotice(now) {
			delete(t.statsByKey, key)
			delete(t.statsByID, s.id)
			t.dataOf.Delete(key)
		}
	}
}

// RecordRequestStart counts a request that is sent to the upstream.
func (t *Table) RecordRequestStart(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(key, now)
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	s.inFlight++
	s.sentSince++
	s.lastSentAt = now
}

// RecordRequestEnd counts the end of a request.
func (t *Table) RecordRequestEnd(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(key, now)
	if s.inFlight == 1 && s.pool != nil && t.silent(s, now) {
		s.toldSilentAt, s.toldSilentSince = now, s.lastHeard(s.waitingSince)
	}
	s.inFlight--
}

// RecordLoad records the load that a response reported: the number of running and waiting requests.
func (t *Table) RecordLoad(key catalog.UpstreamKey, load int) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(key, now)
	notable := s.isNotable(load) || s.isNotable(s.lastLoad)
	s.recordLoad(load, now)
	if notable && !s.observed && len(t.observations) < maxObservations {
		s.observed = true
		t.observations = append(t.observations, s)
	}
}

// isNotable reports whether other hosts should know the load at once. Loads that are far from the bound change slowly
// enough for gossip.
func (s *stats) isNotable(load int) bool {
	return s.pool == nil || float64(load) >= notableFactor*s.pool.meanLoad
}

// recordLoad records the load that the upstream reported at the given time.
func (s *stats) recordLoad(load int, at time.Time) {
	if s.fresh(at) {
		s.avgLoad += newLoadWeight * (float64(load) - s.avgLoad)
	} else {
		s.avgLoad = float64(load)
	}
	s.recordLoadTime(at)
	s.lastLoad, s.lastLoadAt = load, at
}

// recordLoadTime sets the time of the moving average. Requests that this host has sent since then still count.
func (s *stats) recordLoadTime(at time.Time) {
	s.avgLoadAt = at
	if !at.Before(s.lastSentAt) {
		s.sentSince = 0
	}
}

// RecordResponseStart records that a response of the upstream has started, which shows that the upstream is up and the
// path to it works.
func (t *Table) RecordResponseStart(u *catalog.Upstream) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(u.Key(), now)
	if s.consecutiveFailures > 0 {
		t.logLater("upstream-back").Str("upstream", u.ID).Str("peer", u.Address).Int("failures", s.consecutiveFailures)
	}
	s.consecutiveFailures, s.suspectUntil, s.respondedAt = 0, time.Time{}, now
	t.path(u.DataCentre).responded(now)
}

// RecordOutcome records a complete response. failed means that the upstream reported a failure of its own.
func (t *Table) RecordOutcome(u *catalog.Upstream, failed bool) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	t.stats(u.Key(), now).recordOutcome(failed, now)
}

// recordOutcome adds one outcome to the moving average of failures.
func (s *stats) recordOutcome(failed bool, now time.Time) {
	s.avgFailureShare = (1 - failureWeight) * s.failureShare(now)
	if failed {
		s.avgFailureShare += failureWeight
	}
	s.failedAt = now
}

// failureShare returns the moving average share of failures, decayed by its age: an upstream that fails often receives
// few requests and could not otherwise show that it has recovered.
func (s *stats) failureShare(now time.Time) float64 {
	return s.avgFailureShare * decay(now.Sub(s.failedAt), failureDecayTime)
}

// decay returns the factor of a value of this age that decays linearly to zero within total.
func decay(age, total time.Duration) float64 { return max(0, 1-float64(age)/float64(total)) }

// RecordConnectFailure records that no connection to the upstream could be established, which makes it suspect. It
// reports whether the path to its data centre counts as down from now on.
func (t *Table) RecordConnectFailure(u *catalog.Upstream, cause error) (pathDown bool) {
	return t.recordFailure(u, 1, cause)
}

// RecordBrokenResponse records that the response to a request was missing or incomplete. After a timeout the upstream is
// suspect at once. Otherwise a single broken response says little about the next request, and the upstream becomes
// suspect with the second consecutive one. It reports whether the path to its data centre counts as down from now on.
func (t *Table) RecordBrokenResponse(u *catalog.Upstream, cause error) (pathDown bool) {
	if IsTimeout(cause) {
		return t.recordFailure(u, 1, cause)
	}
	return t.recordFailure(u, brokenForSuspect, cause)
}

// recordFailure counts a failure and marks the upstream as suspect once there are at least threshold consecutive
// failures. It reports whether this takes the path to its data centre down.
func (t *Table) recordFailure(u *catalog.Upstream, threshold int, cause error) (pathDown bool) {
	timedOut := IsTimeout(cause)
	f := t.countFailure(u, threshold, timedOut)
	if f.suspectFor == 0 {
		return false
	}
	t.log.Warn().Str("event", "upstream-suspected").Str("upstream", u.ID).Str("peer", u.Address).
		Str("data_centre", u.DataCentre).Int("failures", f.consecutive).Float64("failure_share", f.share).
		Bool("silent", timedOut).Dur("for_ms", f.suspectFor).Err(cause).Send()
	if f.pathDown {
		t.log.Warn().Str("event", "data-centre-unreached").Str("data_centre", u.DataCentre).Str("upstream", u.ID).Send()
	}
	return f.pathDown
}

// failure is the effect of a failure of an upstream.
type failure struct {
	consecutive int
	share       float64
	// suspectFor is how long the upstream is suspect from now on; 0 if it is not.
	suspectFor time.Duration
	// pathDown is set if the path to its data centre counts as down from now on.
	pathDown bool
}

// countFailure updates the statistics with a failure. All requests wait for the lock meanwhile, so it writes no log.
func (t *Table) countFailure(u *catalog.Upstream, threshold int, timedOut bool) failure {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(u.Key(), now)
	s.recordOutcome(true, now)
	s.consecutiveFailures++
	f := failure{consecutive: s.consecutiveFailures, share: s.avgFailureShare}
	if f.consecutive < threshold {
		return f
	}
	f.suspectFor = min(minSuspectTime<<min(f.consecutive-threshold, 8), maxSuspectTime)
	if timedOut {
		f.suspectFor = min(timeoutFactor*f.suspectFor, maxSuspectTime)
	}
	s.suspectUntil = now.Add(f.suspectFor)
	f.pathDown = timedOut && t.path(u.DataCentre).timedOut(u.ID, now)
	return f
}

// MarkReplaced records that another instance responded at the upstream's address. This incarnation has ended for good,
// although its entry may stay published for some heartbeats.
func (t *Table) MarkReplaced(u *catalog.Upstream) {
	t.mu.Lock()
	defer t.unlock()
	s := t.stats(u.Key(), t.clock.Now())
	if !s.replaced {
		t.logLater("upstream-replaced").Str("upstream", u.ID).Str("peer", u.Address)
	}
	s.replaced = true
}

// MarkFull records that the upstream refused a request for lack of capacity.
func (t *Table) MarkFull(key catalog.UpstreamKey) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(key, now)
	s.fullUntil = now.Add(fullTime)
	t.recordRejection(s, now)
}

// UpstreamState is an upstream's entry in the state dump.
type UpstreamState struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	// Silence is how long a host has waited for any response, and nothing was heard of the upstream.
	Silence      time.Duration `json:"silence_ns,omitempty"`
	Failures     int           `json:"failures"`
	FailureShare float64       `json:"failure_share"`
	Suspect      bool          `json:"suspect"`
	// RequestLimit is the limit that the upstream names, in requests per second, and RequestLimitAge the time since it was
	// last reported; both are absent if it names none.
	RequestLimit       *float64      `json:"request_limit,omitempty"`
	RequestLimitAge    time.Duration `json:"request_limit_age_ns,omitempty"`
	RequestLimitSource Source        `json:"request_limit_source,omitempty"`
	// Leaving is set if the upstream or another host said that it is leaving, and LeavingAge is the time since this host
	// knows.
	Leaving       bool          `json:"leaving,omitempty"`
	LeavingAge    time.Duration `json:"leaving_age_ns,omitempty"`
	LeavingSource Source        `json:"leaving_source,omitempty"`
	// Paused is how long the upstream still wants nothing from this host, and PausedAge the time since it said so.
	Paused    time.Duration `json:"paused_ns,omitempty"`
	PausedAge time.Duration `json:"paused_age_ns,omitempty"`
	// Rejections counts the requests of this host that the upstream rejected for lack of capacity.
	Rejections int `json:"rejections,omitempty"`
	// Brittle is the number of requests that the upstream may reject in a second without falling over, and BrittleAge the time
	// since an upstream of its service last said so; both are absent if none does.
	Brittle       *int          `json:"brittle,omitempty"`
	BrittleAge    time.Duration `json:"brittle_age_ns,omitempty"`
	BrittleSource Source        `json:"brittle_source,omitempty"`
}

// State returns the state of every upstream for the state dump.
func (t *Table) State() []UpstreamState {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	states := make([]UpstreamState, 0, len(t.statsByKey))
	for key, s := range t.statsByKey {
		state := UpstreamState{
			ID: key.ID, Address: key.Address, InFlight: s.inFlight, Load: s.load(now), Silence: t.silence(s, now), Failures: s.consecutiveFailures,
			FailureShare: s.failureShare(now), Suspect: now.Before(s.suspectUntil),
		}
		s.said.fill(&state, now)
		s.fillBrittle(&state, now)
		states = append(states, state)
	}
	return states
}
