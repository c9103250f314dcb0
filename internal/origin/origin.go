// Package origin finds out which software version of a service's upstreams began a stream.
//
// What two versions write does not fit together, so that a stream may only be continued by an upstream of the version that
// began it. The host that relays a stream records its origin and tells a few other hosts, from which the host at which the
// caller continues the stream learns it. If no host knows the origin, the stream may be continued only if upstreams of a
// single version can have begun it.
package origin

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// Origin is the service and the software version of the upstream that began a stream.
type Origin struct {
	Service, Version string
}

// StreamID identifies a stream. It is the hash of the ID of the request that received its first event.
type StreamID uint64

// HashRequestID returns the stream that a request begins.
func HashRequestID(id string) StreamID { return StreamID(loadbalancer.HashKey(id)) }

// Record is the origin of a stream.
type Record struct {
	Stream StreamID
	Origin
	// Expires is when the stream can no longer be continued.
	Expires time.Time
	// Upstream is the ID of the upstream that was to begin the stream, if another incarnation of it may have begun it; empty if
	// the origin is certain. The origin holds unless the upstream has published another version at the time Due.
	Upstream string
	Due      time.Time
}

const (
	// maxRecords bounds a table. The oldest records are dropped first.
	maxRecords = 1 << 16
	// maxLifetime bounds how long a record is kept.
	maxLifetime = 10 * time.Minute
)

// Table holds the origins of streams that this host relayed, or of which another host told it. It is safe for concurrent
// use.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records map[StreamID]Record
	// unshared holds the streams that this host recorded and of which it has not told other hosts.
	unshared map[StreamID]bool
	// order holds the streams in the order in which they were first recorded.
	order []StreamID
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, records: map[StreamID]Record{}, unshared: map[StreamID]bool{}}
}

// Find returns the origin of the stream and whether it is known.
func (t *Table) Find(stream StreamID) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[stream]
	return r, ok && t.clock.Now().Before(r.Expires)
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Add records an origin of which another host told this one.
func (t *Table) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(r)
}

// AddOwn records the origin of a stream that this host relays, of which other hosts may have to be told later.
func (t *Table) AddOwn(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(r)
	t.unshared[r.Stream] = true
}

// put adds or replaces a record. The caller holds mu.
func (t *Table) put(r Record) {
	now := t.clock.Now()
	if latest := now.Add(maxLifetime); r.Expires.After(latest) {
		r.Expires = latest
	}
	t.expire(now)
	known, ok := t.records[r.Stream]
	if !ok {
		t.order = append(t.order, r.Stream)
	} else if known.Expires.After(r.Expires) {
		r.Expires = known.Expires
	}
	if ok && known.Upstream == "" && r.Upstream != "" {
		r.Origin, r.Upstream = known.Origin, ""
	}
	t.records[r.Stream] = r
}

// expire drops the oldest records that have expired or exceed maxRecords. The caller holds mu.
func (t *Table) expire(now time.Time) {
	n := 0
	for _, stream := range t.order {
		if len(t.order)-n < maxRecords && now.Before(t.records[stream].Expires) {
			break
		}
		delete(t.records, stream)
		delete(t.unshared, stream)
		n++
	}
	t.order = t.order[n:]
}

// TakeUnshared returns the records of streams of this host of which other hosts have not been told, at most limit. They
// count as shared from then on.
func (t *Table) TakeUnshared(limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []Record
	for stream := range t.unshared {
		if len(list) == limit {
			break
		}
		delete(t.unshared, stream)
		if r := t.records[stream]; now.Before(r.Expires) {
			list = append(list, r)
		}
	}
	return list
}
