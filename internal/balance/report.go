package balance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// LoadReport is what a host knows of an upstream's load, as hosts pass it on.
type LoadReport struct {
	// IncarnationID identifies the incarnation, see ReportID.
	IncarnationID uint32
	Load          float64
	// FailureShare is the moving share of requests that failed there, 0 to 1.
	FailureShare float64
	// Age is how long ago the upstream told its load.
	Age time.Duration
}

// maxReports bounds the reports in one message; of more, each message has others.
const maxReports = 128

// IncarnationID returns the short name of an incarnation. Two of one name would share their loads, which only costs balance.
func IncarnationID(key catalog.UpstreamKey) uint32 {
	return uint32(xxhash.Sum64String(key.ID + "/" + strconv.FormatInt(key.StartedAtMs, 10)))
}

// Reports returns the loads that were told lately.
func (t *Table) Reports() []LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []LoadReport
	for key, v := range t.views {
		if v.fresh(now) {
			list = append(list, LoadReport{
				IncarnationID: IncarnationID(key), Load: v.told, FailureShare: v.failureShare(now), Age: now.Sub(v.toldAt),
			})
		}
		if len(list) == maxReports {
			break // the order of a map differs each time
		}
	}
	return list
}

// Hear takes what another host knows; for each upstream the newer report counts.
func (t *Table) Hear(reports []LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	byID := make(map[uint32]*view, len(t.views))
	for key, v := range t.views {
		byID[IncarnationID(key)] = v
	}
	for _, r := range reports {
		v := byID[r.IncarnationID]
		if at := now.Add(-r.Age); v != nil && at.After(v.toldAt) {
			v.told, v.toldAt, v.sent = r.Load, at, 0
			if at.After(v.failedAt) {
				v.failed, v.failedAt = r.FailureShare, at
			}
		}
	}
}
