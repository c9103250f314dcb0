// Package published keeps a local mirror of the items that operators and upstreams publish in a store. This process
// only reads the store.
//
// Each item carries its version: the era in which it was written and the store's revision. A mirror never replaces an item
// by an older version and keeps tombstones of removed items. Its content therefore never reverts to an older state, whether
// an item was read from the store or received from another host, and whether or not the store was restored from an older
// copy.
package published

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// ErrHistoryLost reports that a source no longer has the changes since the requested revision.
var ErrHistoryLost = errors.New("history is no longer available")

// Item is one published value. A removed item keeps its key and carries the version of its removal.
type Item struct {
	Key      string
	Value    []byte
	Era      uint64
	Revision uint64
	// Created is the revision at which the store created the item, if it is told; 0 if not.
	Created uint64
	Removed bool
	// Lost is set if the restored store does not have this state of the item, which stays in force.
	Lost bool
}

// Version returns the version of the item.
func (i *Item) Version() Version { return Version{Era: i.Era, Revision: i.Revision} }

// Batch is the result of one call to a source.
type Batch struct {
	Items []Item
	// Revision is the store revision up to which the batch is complete.
	Revision uint64
	// Era is the era of the store, or 0 if the store has none. A store that is restored from an older copy begins the next
	// era, in which it gives out revisions again.
	Era uint64
	// Full is set if the batch holds all items, so that an item missing from it was removed.
	Full bool
	// RestoredAt is the revision at which the era began, as far as another host knows: items up to it were written before
	// the era. 0 means that it is unknown.
	RestoredAt uint64
}

// Version returns the version up to which the batch is complete.
func (b *Batch) Version() Version { return Version{Era: b.Era, Revision: b.Revision} }

// Source reads a store. Implementations are safe for concurrent use. Their errors name the operation and the peer.
type Source interface {
	// Page returns the first items after the key after whose keys begin with prefix, in their current state, and the
	// key after which the next page begins. That key is empty after the last page.
	Page(ctx context.Context, prefix, after string) (page Batch, next string, err error)
	// Changes returns the changes since the revision after and waits up to wait for the first one. The error is
	// ErrHistoryLost if the source no longer has those changes.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (Batch, error)
}

// EquivalentFunc reports whether two values of one key are equivalent, in which case the newer one is not reported as a
// change.
type EquivalentFunc func(before, now Item) bool

// MirrorOptions configures NewMirror.
type MirrorOptions struct {
	// Prefix is the common prefix of the keys of all items.
	Prefix string
	// Equivalent is nil if no two values are equivalent.
	Equivalent EquivalentFunc
	// Lasting reports whether the item of the key stays in force for a while if a restored store lacks it. Others count as
	// removed. nil means that none stays.
	Lasting func(key string) bool
	// Supersedes reports whether the content of an item shows that it is newer than another one of its key, whatever their
	// versions. It may be nil.
	Supersedes func(known, next Item) bool
	// OnChange receives the items that a merge changed, and OnRestore is called before the first change of an era that
	// follows an earlier one. Calls are serialised and made without holding a lock of the mirror.
	OnChange  func([]Item)
	OnRestore func(era Version)
	Clock     clockwork.Clock
}

// Mirror holds the items whose keys begin with one prefix. It is safe for concurrent use.
type Mirror struct {
	MirrorOptions

	// mergeMu serialises merges, so that OnChange receives them in order.
	mergeMu sync.Mutex
	mu      sync.Mutex
	items   map[string]entry
	// kept are the keys of the items for which inKept holds.
	kept map[string]struct{}
	// complete is the version up to which no change is missing; its revision is 0 before the first full list.
	complete Version
	// restoredAt is the revision of the current era up to which items may have been written before the era; 0 before the
	// first full list, or if the store has no eras.
	restoredAt uint64
	// eraEnteredAt is when this mirror entered the current era.
	eraEnteredAt time.Time
	// changes is closed at the next change that is not equivalent to the previous value.
	changes chan struct{}
	// tombstones lists removals in the order in which they were received. Up to compacted it lacks some of them: their
	// tombstones expired, or they happened before a full list. An item that is missing from items and has a version up to
	// compacted was removed.
	tombstones []tombstone
	compacted  Version
	// forgotten is the version of the newest removal of a lasting item whose tombstone has expired.
	forgotten Version
	writes    writeLog
}

// tombstone records a removed item and when this mirror received the removal.
type tombstone struct {
	key        string
	version    Version
	receivedAt time.Time
}

// tombstoneTTL is how long the key of a removed item is kept. It is much longer than the lag between hosts.
const tombstoneTTL = time.Minute

// entry is an item with the version since which its values have been equivalent.
type entry struct {
	Item
	equivalentSince Version
	// listedEra is the latest era in which the store was seen to have the item in any state, and storedEra the latest one in
	// which it was seen to have this state.
	listedEra, storedEra uint64
	// outdated is the older state that the restored store has of the item; nil if there is none.
	outdated *Item
}

// NewMirror returns an empty mirror.
func NewMirror(o MirrorOptions) *Mirror {
	if o.Equivalent == nil {
		o.Equivalent = func(_, _ Item) bool { return false }
	}
	if o.Lasting == nil {
		o.Lasting = func(string) bool { return false }
	}
	if o.Supersedes == nil {
		o.Supersedes = func(_, _ Item) bool { return false }
	}
	if o.OnRestore == nil {
		o.OnRestore = func(Version) {}
	}
	return &Mirror{MirrorOptions: o, items: map[string]entry{}, kept: map[string]struct{}{}, changes: make(chan struct{}), writes: newWriteLog()}
}

// Complete returns the version up to which no change is missing; its revision is 0 before the first full list.
func (m *Mirror) Complete() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete
}

// CompleteRevision returns the revision of Complete.
func (m *Mirror) CompleteRevision() uint64 { return m.Complete().Revision }

// Changed returns a channel that is closed at the next change that is not equivalent to the previous value.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

// Merge applies a batch of changes that follow the revision after of the same era; 0 stands for all changes since the
// first. If the mirror is complete up to that revision, it is then complete up to the revision of the batch. Changes of
// another era are ignored, as only a full list leads from one era to the next. Merge returns how many items changed.
func (m *Mirror) Merge(after uint64, b Batch) int {
	if b.Full {
		return m.Replace(b)
	}
	m.mergeMu.Lock()
	defer m.mergeMu.Unlock()
	m.mu.Lock()
	if !m.sameEra(b) {
		m.mu.Unlock()
		return 0
	}
	items := append(m.learnRestoredAt(b.RestoredAt), m.learnFromRewrites(b)...)
	items = append(items, m.label(b.Items)...)
	return m.apply(items, b, func() {
		if m.complete.Revision != 0 && m.complete.Revision >= after || after == 0 {
			m.complete.Revision = max(m.complete.Revision, b.Revision)
		}
	})
}

// sameEra reports whether the batch is of the current era. A mirror without a full list enters the era of the batch. The
// caller holds mu.
func (m *Mirror) sameEra(b Batch) bool {
	if m.complete.Revision == 0 && b.Era > m.complete.Era {
		m.complete.Era, m.restoredAt = b.Era, 0
		m.resetKept()
	}
	return b.Era == m.complete.Era
}

// Replace applies a full list. Items missing from the list are marked as removed at its version, except newer ones and
// those that a restored store has lost and that stay in force. A list of an earlier era is ignored.
func (m *Mirror) Replace(b Batch) int {
	m.mergeMu.Lock()
	defer m.mergeMu.Unlock()
	m.mu.Lock()
	if b.Era < m.complete.Era {
		m.mu.Unlock()
		return 0
	}
	var items []Item
	if m.complete.Revision != 0 && b.Era > m.complete.Era {
		restoredAt := m.findRestoration(b)
		m.mu.Unlock()
		m.OnRestore(Version{Era: b.Era, Revision: restoredAt})
		m.mu.Lock()
		m.enterEra(b.Era, restoredAt)
	} else {
		items = m.beginEra(b)
	}
	items = append(append(items, m.label(b.Items)...), m.missing(b)...)
	return m.apply(items, b, func() {
		m.complete.Revision = max(m.complete.Revision, b.Revision)
		m.compacted = latest(m.compacted, m.complete) // removals before the list may never have been received
	})
}

// missing returns the removals of items that are not in the full list, those that are known from an earlier era among them.
// The caller holds mu.
func (m *Mirror) missing(b Batch) []Item {
	listed := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		// If the list's sender has not seen the store with the item in this era, and this mirror has, it was removed since.
		if e, ok := m.items[item.Key]; ok && item.Lost && !item.Removed && !e.Removed && e.listedEra == b.Era {
			continue
		}
		listed[item.Key] = true
	}
	var removals []Item
	for key, e := range m.items {
		if listed[key] || e.Removed && e.Era == b.Era {
			continue
		}
		if e.Removed || e.listedEra == b.Era || !m.Lasting(key) {
			removals = append(removals, Item{Key: key, Era: b.Era, Revision: b.Revision, Removed: true})
		}
	}
	return removals
}

// apply applies items of the batch and then calls update. The caller holds mu, which apply releases.
func (m *Mirror) apply(items []Item, b Batch, update func()) int {
	var changes []Item
	m.writes.record(b.Items)
	for _, item := range items {
		if m.applyItem(item, b) {
			changes = append(changes, item)
		}
	}
	update()
	for _, item := range m.expireLost() {
		if m.applyItem(item, b) {
			changes = append(changes, item)
		}
	}
	m.expireTombstones()
	if len(changes) > 0 {
		close(m.changes)
		m.changes = make(chan struct{})
	}
	m.mu.Unlock()
	if len(changes) > 0 {
		m.OnChange(changes)
	}
	return len(changes)
}

// applyItem applies one item and reports whether that changed the state of its key. The caller holds mu.
func (m *Mirror) applyItem(item Item, b Batch) bool {
	known, ok := m.items[item.Key]
	if !ok {
		return m.acceptsUnknown(item, b) && m.put(entry{}, item, b)
	}
	if known.Version().Compare(item.Version()) < 0 {
		return m.put(known, item, b)
	}
	if !known.Removed && !item.Removed && m.Supersedes(known.Item, item) {
		item.Era = b.Era // its content is newer, so that it must have been written in this era
		return m.put(known, item, b)
	}
	m.keep(known, item, b)
	return false
}

// acceptsUnknown reports whether an item is taken over whose key is unknown. An item that was removed before is not; if the
// restored store has it, it is kept as outdated. A lasting item, which is written only once, must have been removed to this
// mirror's knowledge: it may have been written since the restoration. The caller holds mu.
func (m *Mirror) acceptsUnknown(item Item, b Batch) bool {
	if item.Lost {
		// The sender must know of every removal that this mirror may have missed.
		return b.Full || m.complete.Revision != 0 && b.Version().Compare(m.complete) >= 0
	}
	if item.Version().Compare(m.compacted) > 0 {
		return true
	}
	if m.compacted.Era < b.Era && !item.Removed {
		if m.Lasting(item.Key) && item.Version().Compare(m.forgotten) > 0 {
			return true
		}
		removal := Item{Key: item.Key, Era: m.compacted.Era, Revision: m.compacted.Revision, Removed: true}
		m.set(entry{Item: removal, equivalentSince: m.compacted, listedEra: b.Era, outdated: &item})
	}
	return false
}

// keep keeps the known state of a key, and records that the store has the same state or an older one. The caller holds mu.
func (m *Mirror) keep(known entry, item Item, b Batch) {
	if item.Lost {
		return
	}
	known.listedEra = max(known.listedEra, b.Era)
	switch {
	case known.Version() == item.Version():
		known.storedEra = max(known.storedEra, b.Era)
	case known.Era < b.Era && !item.Removed:
		known.outdated = &item
	}
	m.set(known)
}

// put replaces the known state of a key. It returns false if the new value is equivalent. The caller holds mu.
func (m *Mirror) put(known entry, item Item, b Batch) bool {
	next := entry{Item: item, equivalentSince: item.Version(), listedEra: known.listedEra}
	present := known.Key != "" && !known.Removed
	if !item.Lost {
		next.listedEra, next.storedEra = max(known.listedEra, b.Era), b.Era
	} else if present && known.listedEra == b.Era {
		next.outdated = &known.Item
	}
	equivalent := present && !item.Removed && m.Equivalent(known.Item, item)
	if equivalent {
		next.equivalentSince = known.equivalentSince
	}
	m.set(next)
	if item.Removed {
		m.tombstones = append(m.tombstones, tombstone{key: item.Key, version: item.Version(), receivedAt: m.Clock.Now()})
	}
	return !equivalent
}

// set sets the state of the entry's key. The caller holds mu.
func (m *Mirror) set(e entry) {
	m.items[e.Key] = e
	if m.inKept(e) {
		m.kept[e.Key] = struct{}{}
	} else {
		delete(m.kept, e.Key)
	}
}

// expireTombstones drops tombstones that are older than tombstoneTTL and not newer than complete. The caller holds mu.
func (m *Mirror) expireTombstones() {
	now := m.Clock.Now()
	n := 0
	for _, t := range m.tombstones {
		if now.Sub(t.receivedAt) < tombstoneTTL || t.version.Compare(m.complete) > 0 {
			break
		}
		n++
		if known := m.items[t.key]; known.Removed && known.outdated == nil && known.Version() == t.version {
			delete(m.items, t.key)
			delete(m.kept, t.key)
			m.compacted = latest(m.compacted, t.version)
			if m.Lasting(t.key) {
				m.forgotten = latest(m.forgotten, t.version)
			}
		}
	}
	m.tombstones = m.tombstones[n:]
}

// Since returns the items, including removed ones, that changed to a non-equivalent value after the version, and the
// version up to which the mirror is complete. The batch is full if tombstones newer than the version may be missing, or if
// the version is of an earlier era.
func (m *Mirror) Since(after Version) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Era: m.complete.Era, Revision: m.complete.Revision, RestoredAt: m.restoredAt}
	b.Full = after.Era < m.complete.Era || after.Compare(m.compacted) < 0
	for _, e := range m.items {
		if b.Full || e.equivalentSince.Compare(after) > 0 {
			b.Items = append(b.Items, m.export(e)...)
		}
	}
	return b
}
