package balance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// LoadReport is a host's information on an upstream's load, as hosts exchange it.
type LoadReport struct {
	// IncarnationID identifies the incarnation of the upstream, as returned by the function IncarnationID.
	IncarnationID uint32
	Load          float64
	// FailureShare is the moving average share of failed requests, 0 to 1.
	FailureShare float64
	// Age is the time since the upstream reported its load.
	Age time.Duration
}

// maxReports is the maximum number of reports in one message. If there are more, each message carries a different
// subset.
const maxReports = 128

// IncarnationID returns a short hash of an incarnation. A collision merges the loads of two upstreams, which only makes
// the balance worse.
func IncarnationID(key catalog.UpstreamKey) uint32 {
	return uint32(xxhash.Sum64String(key.ID + "/" + strconv.FormatInt(key.StartedAtMs, 10)))
}

// Reports returns the loads that were reported recently, at most maxReports.
func (t *Table) Reports() []LoadReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	var list []LoadReport
	for id, s := range t.statsByID {
		if s.fresh(now) {
			list = append(list, LoadReport{
				IncarnationID: id, Load: s.avgLoad, FailureShare: s.failureShare(now), Age: now.Sub(s.avgLoadAt),
			})
		}
		if len(list) == maxReports {
			break // Map iteration order is random, so that each message has a different subset.
		}
	}
	return list
}

// MergeReports merges the reports of another host. For each upstream the newer report is kept.
func (t *Table) MergeReports(reports []LoadReport) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	for _, r := range reports {
		s := t.statsByID[r.IncarnationID]
		if at := now.Add(-r.Age); s != nil && at.After(s.avgLoadAt) {
			s.avgLoad = r.Load
			s.recordLoadTime(at)
			if at.After(s.failedAt) {
				s.avgFailureShare, s.failedAt = r.FailureShare, at
			}
		}
	}
}

// maxObservations limits the observations between two calls of TakeObservations, and so the size of a message.
const maxObservations = 96

// TakeObservations returns the loads that responses reported to this host since the last call, at most maxObservations.
func (t *Table) TakeObservations() []LoadReport {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	reports := make([]LoadReport, len(t.observations))
	for i, s := range t.observations {
		s.observed = false
		reports[i] = LoadReport{IncarnationID: s.id, Load: float64(s.lastLoad), Age: now.Sub(s.lastLoadAt)}
	}
	t.observations = t.observations[:0]
	return reports
}

// MergeObservations records loads that responses reported to another host. Unlike the averages of MergeReports, they
// count as if this host had received the response. For each upstream the newest observation is kept.
func (t *Table) MergeObservations(reports []LoadReport) {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	for _, r := range reports {
		s := t.statsByID[r.IncarnationID]
		if at := now.Add(-r.Age); s != nil && at.After(s.lastLoadAt) {
			s.recordLoad(int(r.Load), at)
		}
	}
}
