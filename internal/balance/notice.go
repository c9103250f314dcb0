package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

const (
	// leavingExpiry is how long it is remembered that an upstream is leaving, after it was last used.
	leavingExpiry = 10 * time.Minute
	// maxPause limits the time for which an upstream that turned a request away receives nothing.
	maxPause = 5 * time.Minute
	// pauseJitter is the fraction of a pause by which it is extended at random, so that hosts return at different times.
	pauseJitter = 0.2
	// After a pause, this host may have one request in flight at the upstream, and twice as many after each rampStep, until
	// rampSteps have passed.
	rampStep  = 250 * time.Millisecond
	rampSteps = 6
)

// Source is who told this host what an upstream says of itself.
type Source string

// Sources: a response of the upstream to this host, or another host.
const (
	SourceResponse Source = "response"
	SourcePeer     Source = "peer"
)

// origin is when an upstream said something, and who told this host.
type origin struct {
	at     time.Time
	source Source
}

// selfReport is what an incarnation of an upstream says of itself, to this host or another one.
type selfReport struct {
	limit requestLimit
	// leaving is the zero value unless the upstream is leaving, which is final for an incarnation.
	leaving origin
	// pausedUntil is the time until which the upstream, which turned a request away at pausedAt, wants nothing from this
	// host.
	pausedAt, pausedUntil time.Time
	// changed is set while the report is in the table's list of those of which other hosts are told at once.
	changed bool
}

func (r *selfReport) isLeaving() bool { return r.leaving.source != "" }

// fill sets the report's fields of the upstream's entry in the state dump.
func (r *selfReport) fill(state *UpstreamState, now time.Time) {
	if r.limit.inForce(now) {
		perSecond := r.limit.perSecond
		state.RequestLimit, state.RequestLimitAge, state.RequestLimitSource = &perSecond, now.Sub(r.limit.at), r.limit.source
	}
	if r.isLeaving() {
		state.Leaving, state.LeavingAge, state.LeavingSource = true, now.Sub(r.leaving.at), r.leaving.source
	}
	if now.Before(r.pausedUntil) {
		state.Paused, state.PausedAge = r.pausedUntil.Sub(now), now.Sub(r.pausedAt)
	}
}

// hasNotice reports whether the upstream said something of itself that must not be forgotten.
func (s *stats) hasNotice(now time.Time) bool {
	return s.said.isLeaving() && now.Sub(s.lastUsed) < leavingExpiry || now.Before(s.said.pausedUntil) || s.said.limit.inForce(now)
}

// acceptsWork reports whether the upstream accepts new requests of this host, as far as it said.
func (s *stats) acceptsWork(now time.Time) bool {
	return !s.said.isLeaving() && !now.Before(s.said.pausedUntil) && s.inFlight < s.said.rampLimit(now)
}

// rampLimit returns how many requests of this host the upstream may have in flight after a pause.
func (r *selfReport) rampLimit(now time.Time) int {
	step := now.Sub(r.pausedUntil) / rampStep
	if r.pausedUntil.IsZero() || step >= rampSteps {
		return math.MaxInt
	}
	return 1 << step
}

// Cause is what an upstream said of itself.
type Cause string

// Causes of changes.
const (
	CauseLimit   Cause = "limit"
	CauseLeaving Cause = "leaving"
	CausePause   Cause = "pause"
	CauseBrittle Cause = "brittle"
)

// Change is a change in what this host knows that an upstream said of itself, to this host or another one.
type Change struct {
	Upstream catalog.UpstreamKey
	Cause    Cause
	Source   Source
}

// OnChange sets the function that is called after each change. It is called before the table is used.
func (t *Table) OnChange(f func(Change)) { t.onChange = f }

// unlock releases mu, and then writes the lines and passes on the changes that came up with it held.
func (t *Table) unlock() {
	changes, lines := t.changes, t.lines
	t.changes, t.lines = nil, nil
	t.mu.Unlock()
	for _, line := range lines {
		line.Send()
	}
	for _, c := range changes {
		t.onChange(c)
	}
}

// logLater begins a log line that unlock writes, so that no request waits for mu while a line is written. The caller holds mu.
func (t *Table) logLater(event string) *zerolog.Event {
	line := t.log.Info().Str("event", event) //nolint:zerologlint // unlock sends it
	t.lines = append(t.lines, line)
	return line
}

// recordChange makes unlock pass on a change. Other hosts are told as well of what the upstream said to this one, except of
// pauses, which are for this host only. The caller holds mu.
func (t *Table) recordChange(s *stats, cause Cause, source Source) {
	t.changes = append(t.changes, Change{Upstream: s.key, Cause: cause, Source: source})
	if source == SourceResponse && cause != CausePause && !s.said.changed && len(t.changedLimits) < maxLimitReports {
		s.said.changed = true
		t.changedLimits = append(t.changedLimits, s)
	}
}

// MarkLeaving records that the upstream said that it is leaving. It reports whether that was not known.
func (t *Table) MarkLeaving(u *catalog.Upstream) bool {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	return t.markLeaving(t.stats(u.Key(), now), now, SourceResponse)
}

// markLeaving records that the upstream is leaving. It reports whether that was not known. The caller holds mu.
func (t *Table) markLeaving(s *stats, now time.Time, source Source) bool {
	if s.said.isLeaving() {
		return false
	}
	s.said.leaving = origin{now, source}
	t.recordChange(s, CauseLeaving, source)
	t.logLater("upstream-leaving").Str("upstream", s.key.ID).Str("peer", s.key.Address).Str("source", string(source)).
		Int("in_flight", s.inFlight)
	return true
}

// MarkPaused records that the upstream turned a request away and wants nothing from this host for a time.
func (t *Table) MarkPaused(u *catalog.Upstream, pause time.Duration) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	s := t.stats(u.Key(), now)
	bounded := min(pause, maxPause)
	until := now.Add(bounded + time.Duration(rand.Float64()*pauseJitter*float64(bounded)))
	if until.After(s.said.pausedUntil) {
		t.logLater("upstream-paused").Str("upstream", u.ID).Str("peer", u.Address).Dur("asked_ms", pause).
			Dur("for_ms", until.Sub(now)).Int("in_flight", s.inFlight)
		s.said.pausedAt, s.said.pausedUntil = now, until
		t.recordChange(s, CausePause, SourceResponse)
	}
}

// AcceptsWork reports whether the incarnation of the upstream accepts new requests of this host, as far as it said.
func (t *Table) AcceptsWork(key catalog.UpstreamKey) bool {
	t.mu.Lock()
	defer t.unlock()
	s := t.statsByKey[key]
	return s == nil || s.acceptsWork(t.clock.Now())
}

// Leaving reports whether the incarnation of the upstream is leaving, as far as it said.
func (t *Table) Leaving(key catalog.UpstreamKey) bool {
	t.mu.Lock()
	defer t.unlock()
	s := t.statsByKey[key]
	return s != nil && s.said.isLeaving()
}

// AllPausedUntil returns the earliest end of the pauses if all usable upstreams of the service have asked for one, or the
// zero time.
func (t *Table) AllPausedUntil(snap *catalog.Snapshot, service string) time.Time {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	var earliest time.Time
	for _, m := range t.poolMembers(snap, service, now) {
		s := m.stats
		if s.replaced || s.said.isLeaving() || !snap.AcceptsNewWork(m.upstream) {
			continue
		}
		until := s.said.pausedUntil
		if !now.Before(until) {
			return time.Time{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}
