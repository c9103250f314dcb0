// Package published mirrors the items that operators and upstreams publish in a store that this process can only read.
//
// Each item carries the store's revision. A mirror never takes an older revision of an item for a newer one and keeps
// tombstones of removed items, so that what it knows never goes back, whichever way an item came: from the store or
// from another host.
package published

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// ErrHistoryLost says that a source no longer has the changes since the revision that was asked for.
var ErrHistoryLost = errors.New("history is no longer available")

// Item is one published value. Removed items keep their key and the revision of the removal.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Batch is the answer of one call of a source.
type Batch struct {
	Items []Item
	// Revision is the store's revision up to which the batch is complete.
	Revision uint64
	// Full batches hold all items: what they lack was removed.
	Full bool
}

// Source reads a store. Implementations are safe for concurrent use; their errors carry the step and the peer.
type Source interface {
	// Page returns the first items after the key whose keys begin with prefix, as the store has them now, and the key
	// after which the next page begins, empty after the last one.
	Page(ctx context.Context, prefix, after string) (page Batch, next string, err error)
	// Changes returns the changes after the revision, waiting up to wait for the first one. The error is
	// ErrHistoryLost if the source has forgotten them.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (Batch, error)
}

// EquivalentFunc reports whether two values of one key mean the same, so that the newer one need not be told to anybody.
type EquivalentFunc func(before, now Item) bool

// Mirror holds the items below one prefix. It is safe for concurrent use.
type Mirror struct {
	clock  clockwork.Clock
	prefix string
	same   EquivalentFunc
	// changed is called with the items that a merge changed, in no lock of the mirror's, one call at a time.
	changed func([]Item)

	// applying serialises merges, so that changed sees them in order.
	applying sync.Mutex
	mu       sync.Mutex
	items    map[string]entry
	// complete is the revision up to which no change is missing; 0 before the first list.
	complete uint64
	// news is closed at the next change of an item's meaning.
	news chan struct{}
	// removed lists the tombstones in the order in which they came. Of removals up to the revision floor this mirror does
	// not know all: they were forgotten, or came before a full list. An unknown item of a revision up to there was
	// removed.
	removed []tombstone
	floor   uint64
}

// tombstone is a removed item with when this mirror learned of it.
type tombstone struct {
	key      string
	revision uint64
	at       time.Time
}

// tombstoneLife is how long a removed item is remembered by its key: much longer than hosts differ in what they know.
const tombstoneLife = time.Minute

// entry is an item with the revision since which it has meant the same.
type entry struct {
	Item
	meant uint64
}

// NewMirror returns an empty mirror that reports changed items.
func NewMirror(prefix string, same EquivalentFunc, clock clockwork.Clock, changed func([]Item)) *Mirror {
	return &Mirror{
		clock: clock, prefix: prefix, same: same, changed: changed, items: map[string]entry{}, news: make(chan struct{}),
	}
}

// Prefix returns the prefix of the keys.
func (m *Mirror) Prefix() string { return m.prefix }

// CompleteRevision returns the revision up to which no change is missing, 0 if nothing was read yet.
func (m *Mirror) CompleteRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete
}

// Changed returns a channel that is closed at the next change of an item's meaning.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.news
}

// Merge takes the changes of the batch, which follow the revision after. If the mirror is complete up to there, it is
// complete up to the batch's revision afterwards. It returns how many items changed.
func (m *Mirror) Merge(after uint64, b Batch) int {
	if b.Full {
		return m.Replace(b)
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	return m.merge(b.Items, func() {
		if m.complete != 0 && m.complete >= after || after == 0 {
			m.complete = max(m.complete, b.Revision)
		}
	})
}

// Replace takes a full list: items that it lacks were removed by its revision; newer items stay.
func (m *Mirror) Replace(b Batch) int {
	m.applying.Lock()
	defer m.applying.Unlock()
	listed := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		listed[item.Key] = true
	}
	items := b.Items
	m.mu.Lock()
	for key, item := range m.items {
		if !listed[key] && !item.Removed {
			items = append(items, Item{Key: key, Revision: b.Revision, Removed: true})
		}
	}
	m.mu.Unlock()
	return m.merge(items, func() {
		m.complete = max(m.complete, b.Revision)
		m.floor = max(m.floor, b.Revision) // what was removed before the list, this mirror may never have known
	})
}

func (m *Mirror) merge(items []Item, finish func()) int {
	var news []Item
	m.mu.Lock()
	for _, item := range items {
		known, ok := m.items[item.Key]
		if ok && known.Revision >= item.Revision || !ok && item.Revision <= m.floor {
			continue
		}
		if ok && !known.Removed && !item.Removed && m.same(known.Item, item) {
			m.items[item.Key] = entry{Item: item, meant: known.meant}
			continue
		}
		m.items[item.Key] = entry{Item: item, meant: item.Revision}
		if item.Removed {
			m.removed = append(m.removed, tombstone{key: item.Key, revision: item.Revision, at: m.clock.Now()})
		}
		news = append(news, item)
	}
	finish()
	m.dropTombstones()
	if len(news) > 0 {
		close(m.news)
		m.news = make(chan struct{})
	}
	m.mu.Unlock()
	if len(news) > 0 {
		m.changed(news)
	}
	return len(news)
}

// dropTombstones forgets removals that are old and up to which the mirror is complete; the caller holds mu.
func (m *Mirror) dropTombstones() {
	now := m.clock.Now()
	n := 0
	for _, t := range m.removed {
		if now.Sub(t.at) < tombstoneLife || t.revision > m.complete {
			break
		}
		n++
		if known := m.items[t.key]; known.Removed && known.Revision == t.revision {
			delete(m.items, t.key)
			m.floor = max(m.floor, t.revision)
		}
	}
	m.removed = m.removed[n:]
}

// Since returns the items, removed ones too, whose meaning changed after the revision, and the revision up to which the
// mirror is complete. The batch is full if removals after the revision are no longer remembered.
func (m *Mirror) Since(after uint64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.complete, Full: after < m.floor}
	for _, item := range m.items {
		if item.meant > after || b.Full {
			b.Items = append(b.Items, item.Item)
		}
	}
	return b
}
