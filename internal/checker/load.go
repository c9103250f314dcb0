package checker

import (
	"math"
	"time"

	"github.com/orioleusher/orioleusher/internal/record"
)

// checkLoad checks that new requests never raise the in-flight count of an upstream above factor × mean, rounded up. A
// sample shows new requests only if the upstream's count increased since the previous sample; an upstream whose count
// stays the same while the mean decreases is no violation. The mean at the time of the increase is not recorded, so the
// check uses an upper bound of it: the previous sample plus all requests accepted since, none of them completed.
func checkLoad(r *records) Report {
	report := Report{Promise: LoadBound}
	previousByPool := map[string]*record.Load{}
	for _, l := range r.loads {
		previous := previousByPool[l.Pool]
		previousByPool[l.Pool] = l
		if previous == nil {
			continue
		}
		bound := math.Ceil(l.Factor * max(maxMean(previous, l), 1))
		for _, u := range l.Upstreams {
			report.Examined++
			if u.InFlight > findUpstream(previous, u.Name).InFlight && float64(u.InFlight) > bound {
				report.addViolation("%s at %s: %d in flight, bound %.0f", u.Name, l.At.Format(time.RFC3339Nano), u.InFlight, bound)
			}
		}
	}
	return report
}

// maxMean returns an upper bound of the mean in-flight count between two samples, over the upstreams that receive new
// requests. An upstream's count of accepted requests restarts at 0 with its process.
func maxMean(previous, now *record.Load) float64 {
	sum, count := 0, 0
	for _, u := range now.Upstreams {
		if u.Draining {
			continue
		}
		count++
		last := findUpstream(previous, u.Name)
		accepted := u.Total
		if u.Total >= last.Total {
			accepted -= last.Total
		}
		sum += last.InFlight + int(accepted)
	}
	return float64(sum) / float64(max(1, count))
}

// findUpstream returns the upstream's load in the sample, or a zero value.
func findUpstream(l *record.Load, name string) record.UpstreamLoad {
	for _, u := range l.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return record.UpstreamLoad{}
}

// checkDrains checks that a drained upstream accepted no request between the end of the grace period and the end of the
// drain, according to the counters of engines and the records of services.
func checkDrains(r *records) Report {
	report := Report{Promise: NoNewWork}
	for _, d := range r.drains {
		for _, name := range d.Upstreams {
			checkDrainCounts(r, &report, d, name)
		}
		checkDrainRuns(r, &report, d)
	}
	return report
}

func (w drainWindow) contains(at time.Time) bool {
	return at.After(w.from) && (w.to.IsZero() || at.Before(w.to))
}

// drainWindow is the time in which an upstream must accept no new request. A zero end means that the window has no end.
type drainWindow struct{ from, to time.Time }

func drainWindowOf(d *record.Drain) drainWindow {
	return drainWindow{from: d.At.Add(d.Grace), to: d.EndedAt}
}

func checkDrainCounts(r *records, report *Report, d *record.Drain, name string) {
	period := drainWindowOf(d)
	previous := uint64(0)
	seen := false
	for _, l := range r.loads {
		if !period.contains(l.At) {
			continue
		}
		for _, u := range l.Upstreams {
			if u.Name != name {
				continue
			}
			report.Examined++
			if seen && u.Total > previous {
				report.addViolation("%s accepted %d requests after it was drained at %s", name, u.Total-previous, d.At.Format(time.RFC3339Nano))
				return
			}
			previous, seen = u.Total, true
		}
	}
}

func checkDrainRuns(r *records, report *Report, d *record.Drain) {
	period := drainWindowOf(d)
	drained := map[string]bool{}
	for _, name := range d.Upstreams {
		drained[name] = true
	}
	for _, v := range r.runs {
		if !drained[v.Upstream] {
			continue
		}
		report.Examined++
		if period.contains(v.At) {
			report.addViolation("%s ran request %s after it was drained at %s", v.Upstream, v.RequestID, d.At.Format(time.RFC3339Nano))
		}
	}
}

// checkVersions checks that the version of the document in force never decreases on a ready router, including across
// restarts.
func checkVersions(r *records) Report {
	report := Report{Promise: MonotonicVersions}
	highest := map[string]*record.Version{}
	for _, v := range r.versions {
		if !v.Ready {
			continue
		}
		report.Examined++
		previous := highest[v.Router]
		if previous != nil && v.Version < previous.Version {
			report.addViolation("%s: version %d at %s after version %d", v.Router, v.Version, v.At.Format(time.RFC3339Nano), previous.Version)
			continue
		}
		highest[v.Router] = v
	}
	return report
}
