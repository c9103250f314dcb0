package load

import (
	"sync"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load/report"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/record"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

const (
	// drainGrace is how long after publication of a document an upstream that it drains may still receive new requests.
	drainGrace = 5 * time.Second
	// recoveryWindow is how long after the end of a data centre's drain requests still count as affected by it.
	recoveryWindow = 5 * time.Second
)

// drainTracker records which upstreams the schedule of faults drained, restored or crashed.
type drainTracker struct {
	snap *document.Snapshot

	mu           sync.Mutex
	active       map[string]*record.Drain
	all          []*record.Drain
	dataCentres  []*record.Drain
	crashedUntil map[string]time.Time
}

func newDrainTracker(snap *document.Snapshot) *drainTracker {
	return &drainTracker{snap: snap, active: map[string]*record.Drain{}, crashedUntil: map[string]time.Time{}}
}

// recordFault records a fault that was executed.
func (t *drainTracker) recordFault(f scenario.Fault, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch f.Kind {
	case scenario.FaultStandIn:
		if f.Order.Kind == faults.Crash {
			t.crashedUntil[f.Target] = at.Add(f.Order.Duration())
		}
	case scenario.FaultDataCentre, scenario.FaultUpstream:
		t.recordState(f, at)
	case scenario.FaultProcess:
	}
}

func (t *drainTracker) recordState(f scenario.Fault, at time.Time) {
	name := string(f.Kind) + "/" + f.Target
	if f.State == document.StateIn {
		if d := t.active[name]; d != nil {
			d.EndedAt = at
			delete(t.active, name)
		}
		return
	}
	d := &record.Drain{At: at, Grace: drainGrace, Upstreams: t.affectedUpstreams(f)}
	t.active[name] = d
	t.all = append(t.all, d)
	if f.Kind == scenario.FaultDataCentre {
		t.dataCentres = append(t.dataCentres, d)
	}
}

func (t *drainTracker) affectedUpstreams(f scenario.Fault) []string {
	if f.Kind == scenario.FaultUpstream || t.snap == nil {
		return []string{f.Target}
	}
	var names []string
	for _, p := range t.snap.Pools {
		for _, u := range p.Upstreams {
			if u.DataCentre == f.Target {
				names = append(names, u.Name)
			}
		}
	}
	return names
}

func (t *drainTracker) isDraining(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.active {
		for _, name := range d.Upstreams {
			if name == upstream {
				return true
			}
		}
	}
	return false
}

func (t *drainTracker) isCrashed(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.crashedUntil[upstream])
}

// dataCentreWindows returns the windows in which a data centre was drained, each extended by recoveryWindow after its
// end.
func (t *drainTracker) dataCentreWindows(start time.Time, duration time.Duration) []report.Window {
	t.mu.Lock()
	defer t.mu.Unlock()
	var windows []report.Window
	for _, d := range t.dataCentres {
		w := report.Window{From: d.At.Sub(start), To: duration}
		if !d.EndedAt.IsZero() {
			w.To = d.EndedAt.Sub(start) + recoveryWindow
		}
		windows = append(windows, w)
	}
	return windows
}

func (t *drainTracker) list() []record.Drain {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]record.Drain, len(t.all))
	for i, d := range t.all {
		list[i] = *d
	}
	return list
}
