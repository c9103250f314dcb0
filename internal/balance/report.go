package balance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// Report is what a host knows of an upstream's load, as hosts pass it on.
type Report struct {
	// Upstream identifies the incarnation, see ReportID.
	Upstream uint32
	Load     float64
	// Failures is the moving share of requests that failed there, 0 to 1.
	Failures float64
	// Age is how long ago the upstream told its load.
	Age time.Duration
}

// maxReports bounds the reports in one message; of more, each message has others.
const maxReports = 128

// ReportID returns the short name of an incarnation. Two of one name would share their loads, which only costs balance.
func ReportID(key catalog.UpstreamKey) uint32 {
	return uint32(xxhash.Sum64String(key.ID + "/" + strconv.FormatInt(key.Born, 10)))
}

// Reports returns the loads that were told lately.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []Report
	for key, v := range t.views {
		if v.fresh(now) {
			list = append(list, Report{
				Upstream: ReportID(key), Load: v.told, Failures: v.failureShare(now), Age: now.Sub(v.toldAt),
			})
		}
		if len(list) == maxReports {
			break // the order of a map differs each time
		}
	}
	return list
}

// Hear takes what another host knows; for each upstream the newer report counts.
func (t *Table) Hear(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	byID := make(map[uint32]*view, len(t.views))
	for key, v := range t.views {
		byID[ReportID(key)] = v
	}
	for _, r := range reports {
		v := byID[r.Upstream]
		if at := now.Add(-r.Age); v != nil && at.After(v.toldAt) {
			v.told, v.toldAt, v.sent = r.Load, at, 0
			if at.After(v.failedAt) {
				v.failed, v.failedAt = r.Failures, at
			}
		}
	}
}
