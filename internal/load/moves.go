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
	// closureGrace is the time within which new work must end after a document takes an upstream out.
	closureGrace = 5 * time.Second
	// returnSpan is how long after its return a data centre's move still counts as going on.
	returnSpan = 5 * time.Second
)

// moves keeps track of which upstreams the schedule took out, brought back or crashed.
type moves struct {
	snap *document.Snapshot

	mu        sync.Mutex
	open      map[string]*record.Closure
	all       []*record.Closure
	centres   []*record.Closure
	downUntil map[string]time.Time
}

func newMoves(snap *document.Snapshot) *moves {
	return &moves{snap: snap, open: map[string]*record.Closure{}, downUntil: map[string]time.Time{}}
}

// apply takes in a fault that was carried out.
func (m *moves) apply(f scenario.Fault, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch f.Act {
	case scenario.ActStandIn:
		if f.Order.Kind == faults.Crash {
			m.downUntil[f.Target] = at.Add(f.Order.Duration())
		}
	case scenario.ActDataCentre, scenario.ActUpstream:
		m.move(f, at)
	case scenario.ActProcess:
	}
}

func (m *moves) move(f scenario.Fault, at time.Time) {
	name := string(f.Act) + "/" + f.Target
	if f.State == document.StateIn {
		if c := m.open[name]; c != nil {
			c.Reopened = at
			delete(m.open, name)
		}
		return
	}
	c := &record.Closure{At: at, Grace: closureGrace, Upstreams: m.upstreams(f)}
	m.open[name] = c
	m.all = append(m.all, c)
	if f.Act == scenario.ActDataCentre {
		m.centres = append(m.centres, c)
	}
}

func (m *moves) upstreams(f scenario.Fault) []string {
	if f.Act == scenario.ActUpstream || m.snap == nil {
		return []string{f.Target}
	}
	var names []string
	for _, p := range m.snap.Pools {
		for _, u := range p.Upstreams {
			if u.DataCentre == f.Target {
				names = append(names, u.Name)
			}
		}
	}
	return names
}

func (m *moves) isOut(upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.open {
		for _, name := range c.Upstreams {
			if name == upstream {
				return true
			}
		}
	}
	return false
}

func (m *moves) isDown(upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.downUntil[upstream])
}

// windows returns the spans in which a data centre was out or had just come back.
func (m *moves) windows(start time.Time, duration time.Duration) []report.Window {
	m.mu.Lock()
	defer m.mu.Unlock()
	var windows []report.Window
	for _, c := range m.centres {
		w := report.Window{From: c.At.Sub(start), To: duration}
		if !c.Reopened.IsZero() {
			w.To = c.Reopened.Sub(start) + returnSpan
		}
		windows = append(windows, w)
	}
	return windows
}

func (m *moves) closures() []record.Closure {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]record.Closure, len(m.all))
	for i, c := range m.all {
		list[i] = *c
	}
	return list
}
