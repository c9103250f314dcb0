package promptblame

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// minRunLength is the least number of crashes, one after another, for which a segment is blamed.
	minRunLength = 4
	// minRequests is the least number of different requests in a run. A single request that crashes upstreams is
	// quarantined by its content.
	minRequests = 2
	// minDenseRequests is the same for crashes of which many come within minCrashGap. A request that is sent again is beside the next
	// of them more often than another one.
	minDenseRequests = 4
	// maxChance is the probability of a run, if its segment has nothing to do with crashes, up to which the segment is
	// blamed.
	maxChance = 1e-5
	// maxLateChance is the same after the first event, where crashes beside an answer are much more frequent, and
	// maxExplainedChance if the run explains most of the crashes that this host has seen meanwhile.
	maxLateChance, maxExplainedChance = 1e-7, 2e-5
	// minLateRunLength is the minRunLength after the first event.
	minLateRunLength = 4
	// minCrashGap is the time from which on two crashes count as two. Upstreams that crash together have one cause.
	minCrashGap = 100 * time.Millisecond
	// minDenseCrashGap is the same if this host has not seen the segment answered lately.
	minDenseCrashGap = 30 * time.Millisecond
	// minOwnLateCrashes is the least number of this host's own attempts in a run after the first event.
	minOwnLateCrashes = 2
	// minAnswersBeside is the least number of answers to other prompts during a run of crashes after the first event.
	minAnswersBeside = 3
	// minOwnCrashes is the number of this host's own attempts from which on it joins in the blame of a segment that it
	// has seen answered lately.
	minOwnCrashes = 2
	// blameDuration is how long a first blame lasts. The duration doubles, up to maxBlameDuration, whenever an upstream
	// crashes again during the probation, which follows a blame and is as long as it.
	blameDuration    = time.Minute
	maxBlameDuration = 8 * time.Minute
)

func probation(b Blame) time.Duration { return b.Duration }

// run is the attempts with one segment since a prompt with it was last answered.
type run struct {
	// segments are the segments that at least half of its attempts have: any of them may be the cause.
	segments []uint64
	// length is the number of its crashes, of which those that happened together count once.
	length int
	// denseLength is the length with minDenseCrashGap.
	denseLength int
	// attempts and requests count the attempts and the different requests, own the attempts of this host.
	attempts, requests, own int
	// since is when its first attempt crashed.
	since time.Time
	// crashes are its crashes.
	crashes []crash
	// answeredLately is set if this host has lately seen the segment answered.
	answeredLately bool
}

// findRun returns the run of the segment. If this host has seen the segment answered lately, the attempts of other hosts
// do not count: they may have seen answers of which this host does not know yet. The caller holds mu.
func (t *Table) findRun(segment uint64) run {
	r := run{answeredLately: t.answeredLately(segment)}
	now := t.clock.Now()
	var lastCrash, lastDense time.Time
	requests, occurrences := map[uint64]bool{}, map[uint64]int{}
	for i := range t.attempts {
		a := &t.attempts[i]
		if r.answeredLately && !a.own || !a.counts(now) || !slices.Contains(a.Segments, segment) {
			continue
		}
		if r.attempts == 0 {
			r.since = a.CrashedAt
		}
		r.attempts++
		if a.own {
			r.own++
		}
		requests[a.Request] = true
		for _, s := range a.Segments {
			occurrences[s]++
		}
		r.crashes = append(r.crashes, a.crash())
		if a.CrashedAt.Sub(lastCrash) >= minCrashGap {
			r.length, lastCrash = r.length+1, a.CrashedAt
		}
		if a.CrashedAt.Sub(lastDense) >= minDenseCrashGap {
			r.denseLength, lastDense = r.denseLength+1, a.CrashedAt
		}
	}
	r.requests = len(requests)
	for s, n := range occurrences {
		if 2*n >= r.attempts {
			r.segments = append(r.segments, s)
		}
	}
	slices.Sort(r.segments)
	return r
}

// answeredLately reports whether this host has lately seen the segment answered. The caller holds mu.
func (t *Table) answeredLately(segment uint64) bool {
	return t.clock.Since(t.answers.last(segment)) < attemptLifetime
}

// verdict is a run with what decides about it.
type verdict struct {
	run
	counted
	// crashShare is the probability of a crash.
	crashShare float64
	// needed is the length from which on the run is no chance.
	needed int
	stage  Stage
}

// blamed reports whether the run founds a blame.
//
// After the first event it needs answers to other prompts beside it: where none comes so far, upstreams crash for another
// reason. It also needs attempts of this host, as another one may have seen the segment answered since.
func (v verdict) blamed() bool {
	if v.isDense() {
		return true
	}
	if v.length < v.needed || v.requests < minRequests {
		return false
	}
	return v.stage == Beginning || v.answeredSince >= minAnswersBeside && v.own >= minOwnLateCrashes
}

// isDense reports whether the run founds a blame by crashes that are close together: upstreams that have only just begun to
// answer the segment crash within a moment, while different requests ran there.
func (v verdict) isDense() bool {
	return v.stage == Beginning && !v.answeredLately && v.denseLength >= v.needed && v.requests >= minDenseRequests
}

// maxChance returns the probability by chance up to which the run founds a blame.
func (v verdict) maxChance() float64 {
	switch {
	case v.stage == Beginning:
		return maxChance
	case v.explained && v.stage != FirstSecond:
		return maxExplainedChance
	default:
		return maxLateChance
	}
}

// lacksAnswers reports whether this host has seen too few answers to tell a cause from chance: the shortest run would not
// found a blame even if none of its other attempts had crashed.
func (v verdict) lacksAnswers() bool {
	return requiredLength(crashShare(v.answered, 0), v.maxChance()) > minRunLength
}

func (t *Table) assess(segment uint64) verdict {
	v := verdict{run: t.findRun(segment)}
	v.stage = stageOf(segment)
	v.counted = t.outcomes[v.stage].count(t.clock.Now(), v.run, v.stage)
	if v.lacksAnswers() {
		if n := t.countFleet(v.run, v.stage, segment); n.answered > v.answered {
			v.answered, v.crashed, v.answeredSince = n.answered, n.crashed, n.answeredSince
		}
	}
	v.crashShare = crashShare(v.answered, v.crashed)
	v.needed = requiredLength(v.crashShare, v.maxChance())
	if v.stage != Beginning {
		v.needed = max(v.needed, minLateRunLength)
	}
	return v
}

// judgeDue judges the attempts that count by now and reports whether one of them leads to a new blame. The caller holds mu.
func (t *Table) judgeDue() bool {
	now, blamed := t.clock.Now(), false
	for i := 0; i < len(t.unjudged); {
		a := t.unjudged[i]
		if !a.counts(now) {
			i++
			continue
		}
		t.unjudged = slices.Delete(t.unjudged, i, i+1)
		a.Segments = t.uncleared(a.Segments, a.CrashedAt)
		if t.attribute(&a, t.explainedCrashes()) {
			blamed = t.judge(a) || blamed
		}
	}
	return blamed
}

// judge decides whether the attempt completes a run that founds a blame, and reports whether it does. The caller holds
// mu.
func (t *Table) judge(a Attempt) bool {
	if i := t.blameOf(a); i >= 0 {
		return t.renew(i, a)
	}
	var worst verdict
	for _, segment := range a.Segments {
		v := t.assess(segment)
		if v.blamed() && !worst.blamed() || v.blamed() == worst.blamed() && v.length > worst.length {
			worst = v
		}
	}
	if worst.blamed() || a.own && worst.length > 1 {
		t.logVerdict(worst, a)
	}
	if worst.blamed() {
		until := t.clock.Now().Add(blameDuration)
		t.insertBlame(Blame{Segments: worst.segments, Since: worst.since, Until: until, Duration: blameDuration})
	}
	return worst.blamed()
}

func (t *Table) logVerdict(v verdict, a Attempt) {
	t.log.Warn().Str("event", "prompt-judged").Str("segments", formatList(v.segments)).Int("stage", int(v.stage)).Int("run", v.length).Int("dense", v.denseLength).Int("needed", v.needed).
		Int("requests", v.requests).Int("attempts", v.attempts).Int("answered", v.answered).Int("crashed", v.crashed).
		Float64("crash_share", v.crashShare).Bool("explained", v.explained).Dur("run_age_ms", t.clock.Since(v.since)).Dur("age_ms", t.clock.Since(a.CrashedAt)).
		Bool("own", a.own).Bool("blamed", v.blamed()).Send()
}

// renew renews a blame that has ended, because an upstream crashed during the probation. It reports whether the blame
// is renewed. The caller holds mu.
func (t *Table) renew(i int, a Attempt) bool {
	now := t.clock.Now()
	b := &t.blames[i]
	if now.Before(b.Until) {
		return false
	}
	b.Duration = min(2*b.Duration, maxBlameDuration)
	b.Since, b.Until = a.CrashedAt, now.Add(b.Duration)
	t.log.Warn().Str("event", "prompt-blame-renewed").Str("segments", formatList(b.Segments)).Bool("own", a.own).
		Dur("age_ms", now.Sub(a.CrashedAt)).Dur("for_ms", b.Duration).Send()
	return true
}

// insertBlame adds the blame and removes the attempts whose crashes it explains. The caller holds mu.
func (t *Table) insertBlame(b Blame) {
	t.blames = append(t.blames, b)
	if len(t.blames) > maxBlames {
		t.blames = slices.Delete(t.blames, 0, 1)
	}
	explained := t.explainedCrashes()
	var kept []Attempt
	for _, a := range t.attempts {
		if t.attribute(&a, explained) {
			kept = append(kept, a)
		}
	}
	t.attempts = kept
}

// crashShare estimates the probability that an attempt crashes its upstream by chance. The fewer attempts there are, the
// nearer it is to one half.
func crashShare(answered, crashed int) float64 {
	return float64(crashed+1) / float64(answered+crashed+2)
}

// requiredLength returns the length from which on a run of crashes is no chance.
func requiredLength(share, chance float64) int {
	const rounding = 1e-9
	return max(minRunLength, int(math.Ceil(math.Log(chance)/math.Log(share)-rounding)))
}

// format returns the segment's hash as it appears in logs and in the state dump.
func format(segment uint64) string { return strconv.FormatUint(segment, 10) }

func formatAll(segments []uint64) []string {
	texts := make([]string, len(segments))
	for i, segment := range segments {
		texts[i] = format(segment)
	}
	return texts
}

// formatList returns the segments' hashes as they appear in logs.
func formatList(segments []uint64) string { return strings.Join(formatAll(segments), ",") }
