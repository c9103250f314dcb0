package published

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version orders the states of a store and of its items. A store that is restored from an older copy begins the next era,
// in which it gives out revisions again.
type Version struct {
	Era, Revision uint64
}

// Compare returns a negative number if v is older than other, 0 if they are equal, and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

func latest(a, b Version) Version {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// maxWrites limits the writes that a writeLog holds.
const maxWrites = 4096

// writeLog holds which write has which revision in the current store, as far as that was seen: the hash of the key and the
// value.
type writeLog struct {
	states map[uint64]uint64
	// order holds the revisions in the order in which they were recorded.
	order []uint64
}

func newWriteLog() writeLog { return writeLog{states: map[uint64]uint64{}} }

func hashState(i Item) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(i.Key) // a hash accepts all bytes
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(i.Value)
	if i.Removed {
		return ^d.Sum64()
	}
	return d.Sum64()
}

// record records the writes of the items. Removals are left out: those that follow from a list have its revision.
func (l *writeLog) record(items []Item) {
	for _, i := range items {
		if i.Removed || i.Lost {
			continue
		}
		if _, ok := l.states[i.Revision]; !ok {
			l.order = append(l.order, i.Revision)
		}
		l.states[i.Revision] = hashState(i)
	}
	for len(l.order) > maxWrites {
		delete(l.states, l.order[0])
		l.order = l.order[1:]
	}
}

// contradicts reports whether another write had the item's revision.
func (l *writeLog) contradicts(i Item) bool {
	state, ok := l.states[i.Revision]
	return ok && state != hashState(i)
}

// enterEra begins an era. The caller holds mu.
func (m *Mirror) enterEra(era, restoredAt uint64) {
	m.complete, m.restoredAt = Version{Era: era}, restoredAt
	m.eraEnteredAt = m.Clock.Now()
	m.writes = newWriteLog() // the store gives out revisions again
	m.resetKept()
}

// beginEra prepares the mirror for a full list of the current era, or of the first era that it knows. It returns the items
// that learnRestoredAt returns. The caller holds mu.
func (m *Mirror) beginEra(b Batch) []Item {
	first := m.sameEra(b) && m.complete.Revision == 0 && b.Era > 0
	items := m.learnRestoredAt(b.RestoredAt)
	if first {
		m.eraEnteredAt = m.Clock.Now()
		items = append(items, m.learnRestoredAt(b.Revision)...) // later items were written in the era
	}
	return items
}

// findRestoration returns a revision up to which the items of the list may be those of the copy from which the store was
// restored. Later ones were written since. That is at most the revision of the list, and is before every item of which
// this mirror knows that the store did not have it in the previous era. Another host may have found it out. The caller
// holds mu.
func (m *Mirror) findRestoration(b Batch) uint64 {
	if b.RestoredAt != 0 {
		return b.RestoredAt
	}
	restoredAt := b.Revision
	for _, item := range b.Items {
		if item.Era == b.Era && item.Revision <= restoredAt && m.isRewritten(item) {
			restoredAt = item.Revision - 1
		}
	}
	return restoredAt
}

// isRewritten reports whether the item cannot be a state of the era before: another write had its revision, or the mirror,
// which missed no change up to that revision, has an older state or none. The caller holds mu.
func (m *Mirror) isRewritten(item Item) bool {
	if m.writes.contradicts(item) {
		return true
	}
	if item.Revision > m.complete.Revision {
		return false
	}
	known, ok := m.items[item.Key]
	if !ok {
		return m.compacted.Era == m.complete.Era && item.Revision > m.compacted.Revision
	}
	return item.Revision > known.Revision || item.Revision == known.Revision && known.Removed
}

// label returns the items with the eras in which they were written. The source names them all as of its current era, and
// other hosts may know another revision at which the era began. The caller holds mu.
func (m *Mirror) label(items []Item) []Item {
	labelled := slices.Clone(items)
	for i := range labelled {
		if item := &labelled[i]; !item.Lost {
			item.Era = m.writtenIn(item.Version())
		}
	}
	return labelled
}

// writtenIn returns the era in which a state was written that the store has in the current era. The caller holds mu.
func (m *Mirror) writtenIn(v Version) uint64 {
	switch {
	case m.restoredAt == 0:
		return v.Era
	case v.Era == m.complete.Era && v.Revision <= m.restoredAt:
		return v.Era - 1
	case v.Era+1 == m.complete.Era && v.Revision > m.restoredAt:
		return v.Era + 1
	default:
		return v.Era
	}
}

// learnFromRewrites lowers the revision at which the era began if the batch has another write than the one that had its
// revision in the era before. It returns the items that learnRestoredAt returns. The caller holds mu.
func (m *Mirror) learnFromRewrites(b Batch) []Item {
	var newer []Item
	for _, item := range b.Items {
		if item.Lost || item.Removed && b.RestoredAt != 0 { // another host may have derived the removal from a list
			continue
		}
		known := m.items[item.Key]
		sameRevision := known.Revision == item.Revision && hashState(known.Item) != hashState(item)
		if item.Era == m.complete.Era && item.Revision <= m.restoredAt && (sameRevision || m.writes.contradicts(item)) {
			newer = append(newer, m.learnRestoredAt(item.Revision-1)...)
		}
	}
	return newer
}

// learnRestoredAt takes over the revision at which the current era began, if that is earlier than known. It returns the
// items that were held to be those of the copy and are newer. The caller holds mu.
func (m *Mirror) learnRestoredAt(revision uint64) []Item {
	if revision == 0 || m.restoredAt != 0 && m.restoredAt <= revision {
		return nil
	}
	m.restoredAt = revision
	var newer []Item
	for key, e := range m.items {
		if !m.isKept(e) {
			e.Era, e.equivalentSince.Era = m.writtenIn(e.Version()), m.writtenIn(e.equivalentSince)
			m.items[key] = e
		}
		if e.outdated != nil && e.outdated.Revision > revision {
			item := *e.outdated
			item.Era = m.complete.Era
			newer = append(newer, item)
		}
	}
	return newer
}

// export returns the states of the item of which other hosts are told: that in force, and the store's if it is older. The
// caller holds mu.
func (m *Mirror) export(e entry) []Item {
	e.Lost = m.isKept(e)
	if e.outdated == nil {
		return []Item{e.Item}
	}
	return []Item{*e.outdated, e.Item}
}

// isLost reports whether the restored store lacks an item that stays in force. The caller holds mu.
func (m *Mirror) isLost(e entry) bool {
	return !e.Removed && e.listedEra < m.complete.Era && m.Lasting(e.Key)
}

// isKept reports whether the entry's state is not that of the restored store: it has an older one, or has lost the item or
// its removal. The caller holds mu.
func (m *Mirror) isKept(e entry) bool { return e.storedEra < m.complete.Era }

// lostGrace is how long an item that the restored store lacks stays in force unless it is written again. Operators write
// again at once what is still wanted; what they removed meanwhile, the store need not tell.
const lostGrace = 5 * time.Second

// expireLost removes the items that were not written again within lostGrace, and returns the removals. The caller holds mu.
func (m *Mirror) expireLost() []Item {
	if m.restoredAt == 0 || m.Clock.Since(m.eraEnteredAt) < lostGrace {
		return nil
	}
	var removals []Item
	for key := range m.kept {
		if m.isLost(m.items[key]) {
			removals = append(removals, Item{Key: key, Era: m.complete.Era, Revision: m.complete.Revision, Removed: true})
		}
	}
	return removals
}

// maxKept is the maximum number of states that Kept returns.
const maxKept = 64

// Kept returns the states in force that the restored store does not have, and the removals of lasting items, of which a host
// may have missed that they were written again. Hosts that started since the restoration, or saw it late, can only learn
// of them from other hosts.
func (m *Mirror) Kept() Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Era: m.complete.Era, Revision: m.complete.Revision, RestoredAt: m.restoredAt}
	for key := range m.kept {
		if len(b.Items) >= maxKept {
			break // Map iteration order is random, so that each message has a different subset.
		}
		b.Items = append(b.Items, m.export(m.items[key])...)
	}
	return b
}

// inKept reports whether Kept returns the item. The caller holds mu.
func (m *Mirror) inKept(e entry) bool {
	return e.outdated != nil || m.Lasting(e.Key) && (e.Removed || m.isLost(e))
}

// resetKept drops the states that the store had in the previous era, and finds the kept items anew. The caller holds mu.
func (m *Mirror) resetKept() {
	for _, e := range m.items {
		e.outdated = nil
		m.set(e)
	}
}
