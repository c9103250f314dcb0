package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/orioleusher/orioleusher/internal/admin"
)

// EventKind is the kind of a change of the prefix cache.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// eventLimit is the number of cache events that the engine retains.
const eventLimit = 4096

// reportInterval is the interval between load reports.
const reportInterval = 100 * time.Millisecond

// Event is a change of the prefix cache.
type Event struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	Block    uint64    `json:"block"`
	at       time.Time
}

// Load is the engine's load report.
type Load struct {
	BootID   uint64 `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Active   int    `json:"active"`
	Cold     bool   `json:"cold"`
	// PendingPromptTokens is the number of prompt tokens that are not yet processed.
	PendingPromptTokens int `json:"busy_tokens"`
}

type timedLoad struct {
	at   time.Time
	load Load
}

// addEvent records a cache event. Every EventGap-th event is dropped to simulate loss. The caller must hold mu.
func (e *Engine) addEvent(kind EventKind, block uint64) {
	e.lastEventSequence++
	if gap := uint64(e.settings.EventGap); gap > 0 && e.lastEventSequence%gap == 0 {
		return
	}
	e.events = append(e.events, Event{Sequence: e.lastEventSequence, Kind: kind, Block: block, at: time.Now()})
	if len(e.events) > eventLimit {
		e.events = e.events[len(e.events)-eventLimit:]
	}
}

// runReports takes a load report at each interval in an endless loop.
func (e *Engine) runReports() {
	for {
		e.mu.Lock()
		e.reports = append(e.reports, timedLoad{at: time.Now(), load: e.currentLoad()})
		keep := int(e.settings.ReportLag.Std()/reportInterval) + 2
		e.reports = e.reports[max(0, len(e.reports)-keep):]
		e.mu.Unlock()
		time.Sleep(reportInterval)
	}
}

// currentLoad returns the load at this moment. The caller must hold mu.
func (e *Engine) currentLoad() Load {
	l := Load{BootID: e.bootID, InFlight: len(e.waiting) + len(e.active), Active: len(e.active), Cold: e.cold()}
	for _, s := range append(append([]*sequence(nil), e.waiting...), e.active...) {
		l.PendingPromptTokens += s.uncachedTokens
	}
	return l
}

// serveLoad responds with the newest report that is at least ReportLag old, or the oldest one if all are younger.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var found Load
	for _, r := range e.reports {
		if found.BootID == 0 || time.Since(r.at) >= e.settings.ReportLag.Std() {
			found = r.load
		}
	}
	boot := e.bootID
	e.mu.Unlock()
	w.Header().Set(HeaderBootID, strconv.FormatUint(boot, 16))
	admin.WriteJSON(w, found)
}

// serveEvents responds with the cache events after sequence number ?since=N that are at least EventLag old.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	reply := Events{BootID: e.bootID, Events: []Event{}}
	for _, ev := range e.events {
		if ev.Sequence > since && time.Since(ev.at) >= e.settings.EventLag.Std() {
			reply.Events = append(reply.Events, ev)
		}
	}
	e.mu.Unlock()
	admin.WriteJSON(w, reply)
}

// Events is the response body of GET /v1/cache/events.
type Events struct {
	BootID uint64  `json:"boot_id"`
	Events []Event `json:"events"`
}
