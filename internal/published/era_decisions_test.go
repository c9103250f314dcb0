package published

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// newEraMirror returns a mirror in era 2, complete up to revision 20, that has lost no change since revision 5.
func newEraMirror() (*Mirror, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	m := NewMirror(MirrorOptions{Lasting: func(string) bool { return true }, OnChange: func([]Item) {}, Clock: clock})
	m.complete, m.compacted = Version{Era: 2, Revision: 20}, Version{Era: 2, Revision: 5}
	return m, clock
}

func stateOf(key string, era, revision uint64) Item {
	return Item{Key: key, Value: []byte(key), Era: era, Revision: revision}
}

func removedState(i Item) Item { i.Removed = true; return i }

// Guards against items of a restored store that are taken for those of its copy, or the other way round.
func TestIsRewritten(t *testing.T) {
	other := stateOf("other", 2, 12)
	other.Value = []byte("x")
	for _, tt := range []struct {
		name      string
		item      Item
		rewritten bool
	}{
		{"another write had its revision", other, true},
		{"the same write had its revision", stateOf("other", 2, 12), false},
		{"removal where a write had its revision", removedState(stateOf("other", 2, 12)), true},
		{"later than what is known", stateOf("known", 2, 21), false},
		{"as late as what is known", stateOf("known", 2, 20), true},
		{"the known state", stateOf("known", 2, 10), false},
		{"older than the known state", stateOf("known", 2, 9), false},
		{"newer than the known state", stateOf("known", 2, 11), true},
		{"known to be removed then", stateOf("gone", 2, 10), true},
		{"known to be removed later", stateOf("gone", 2, 9), false},
		{"unknown, and no change is missing", stateOf("new", 2, 6), true},
		{"unknown, and changes are missing", stateOf("new", 2, 5), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, _ := newEraMirror()
			m.items["known"] = entry{Item: stateOf("known", 2, 10)}
			m.items["gone"] = entry{Item: removedState(stateOf("gone", 2, 10))}
			m.items["other"] = entry{Item: stateOf("other", 2, 12)}
			m.writes.record([]Item{stateOf("other", 2, 12)})
			is.Equal(m.isRewritten(tt.item), tt.rewritten)
			if tt.item.Key == "new" {
				m.compacted.Era = 1
				is.True(!m.isRewritten(tt.item))
			}
		})
	}
}

// Guards against a revision of a restoration that is later than an item known to have been written after it.
func TestFindRestoration(t *testing.T) {
	for _, tt := range []struct {
		name  string
		batch Batch
		want  uint64
	}{
		{"told by another host", Batch{Era: 3, Revision: 18, RestoredAt: 7, Items: []Item{stateOf("new", 3, 6)}}, 7},
		{"nothing rewritten", Batch{Era: 3, Revision: 18, Items: []Item{stateOf("known", 3, 10)}}, 18},
		{"one rewritten", Batch{Era: 3, Revision: 18, Items: []Item{stateOf("known", 3, 10), stateOf("known", 3, 11)}}, 10},
		{"the list's own revision", Batch{Era: 3, Revision: 18, Items: []Item{stateOf("new", 3, 18)}}, 17},
		{"the earliest of several", Batch{Era: 3, Revision: 18, Items: []Item{stateOf("a", 3, 9), stateOf("b", 3, 14), stateOf("c", 3, 8)}}, 7},
		{"of another era", Batch{Era: 3, Revision: 18, Items: []Item{stateOf("new", 2, 6)}}, 18},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := newEraMirror()
			m.items["known"] = entry{Item: stateOf("known", 2, 10)}
			is.New(t).Equal(m.findRestoration(tt.batch), tt.want)
		})
	}
}

// Guards against an era whose beginning is not learnt from a write that had the revision of another one.
func TestBeginningOfEraIsLearntFromRewrites(t *testing.T) {
	differs := stateOf("known", 2, 10)
	differs.Value = []byte("x")
	lost, late, old := differs, differs, differs
	lost.Lost = true
	late.Revision, old.Era = 16, 1
	contradicted := stateOf("unknown", 2, 12)
	for _, tt := range []struct {
		name  string
		batch Batch
		want  uint64
	}{
		{"the same write", Batch{Items: []Item{stateOf("known", 2, 10)}}, 15},
		{"another write of the revision", Batch{Items: []Item{differs}}, 9},
		{"another revision", Batch{Items: []Item{stateOf("known", 2, 11)}}, 15},
		{"another write of a logged revision", Batch{Items: []Item{contradicted}}, 11},
		{"lost", Batch{Items: []Item{lost}}, 15},
		{"removal told by a host", Batch{RestoredAt: 15, Items: []Item{removedState(stateOf("known", 2, 10))}}, 15},
		{"removal told by the store", Batch{Items: []Item{removedState(stateOf("known", 2, 10))}}, 9},
		{"write told by a host", Batch{RestoredAt: 15, Items: []Item{differs}}, 9},
		{"after the beginning", Batch{Items: []Item{late}}, 15},
		{"of another era", Batch{Items: []Item{old}}, 15},
		{"at the beginning", Batch{Items: []Item{{Key: "unknown", Era: 2, Revision: 15}}}, 14},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := newEraMirror()
			m.restoredAt = 15
			m.items["known"] = entry{Item: stateOf("known", 2, 10)}
			m.writes.record([]Item{stateOf("logged", 2, 12), stateOf("logged", 2, 15), stateOf("logged", 2, 16)})
			outdated := stateOf("kept", 1, 13)
			m.items["kept"] = entry{Item: stateOf("kept", 1, 18), storedEra: 1, outdated: &outdated}
			newer := m.learnFromRewrites(tt.batch)
			is := is.New(t)
			is.Equal(m.restoredAt, tt.want)
			is.Equal(len(newer) == 1, tt.want < outdated.Revision) // it was written in the era then
		})
	}
}

// Guards against states of the copy that stay in force although they were written in the era.
func TestEarlierBeginningOfEraReturnsNewerStates(t *testing.T) {
	for _, tt := range []struct {
		known, learnt, want uint64
		newer               int
	}{
		{15, 0, 15, 0}, {15, 15, 15, 0}, {15, 16, 15, 0}, {15, 12, 12, 0}, {15, 11, 11, 1}, {0, 30, 30, 0}, {0, 11, 11, 1},
	} {
		is := is.New(t)
		m, _ := newEraMirror()
		m.restoredAt = tt.known
		outdated := stateOf("kept", 1, 12)
		m.items["kept"] = entry{Item: stateOf("kept", 1, 18), storedEra: 1, outdated: &outdated}
		m.items["listed"] = entry{Item: stateOf("listed", 1, 12), storedEra: 2, equivalentSince: Version{1, 12}}
		newer := m.learnRestoredAt(tt.learnt)
		is.Equal(m.restoredAt, tt.want)
		is.Equal(len(newer), tt.newer)
		is.Equal(m.items["kept"].Era, uint64(1))
		listedEra := uint64(1 + tt.newer) // 12 is after the beginning as well
		is.Equal(m.items["listed"].Era, listedEra)
		is.Equal(m.items["listed"].equivalentSince.Era, listedEra)
		if tt.newer > 0 {
			is.Equal(newer[0].Version(), Version{Era: 2, Revision: 12})
		}
	}
}

func TestWrittenIn(t *testing.T) {
	for _, tt := range []struct {
		restoredAt uint64
		version    Version
		want       uint64
	}{
		{0, Version{2, 10}, 2}, {15, Version{2, 15}, 1}, {15, Version{2, 16}, 2}, {15, Version{1, 15}, 1}, {15, Version{1, 16}, 2}, {15, Version{3, 1}, 3}, {0, Version{1, 16}, 1},
	} {
		m, _ := newEraMirror()
		m.restoredAt = tt.restoredAt
		is.New(t).Equal(m.writtenIn(tt.version), tt.want)
	}
}

// Guards against lost items that stay in force too long, or end while operators write them again.
func TestLostItemsEndAfterGrace(t *testing.T) {
	for _, tt := range []struct {
		name       string
		after      time.Duration
		restoredAt uint64
		entry      entry
		removals   int
	}{
		{"within the grace", lostGrace - 1, 15, entry{Item: stateOf("k", 1, 10), listedEra: 1}, 0},
		{"after the grace", lostGrace, 15, entry{Item: stateOf("k", 1, 10), listedEra: 1}, 1},
		{"no restoration", lostGrace, 0, entry{Item: stateOf("k", 1, 10), listedEra: 1}, 0},
		{"in the store again", lostGrace, 15, entry{Item: stateOf("k", 2, 18), listedEra: 2}, 0},
		{"removed", lostGrace, 15, entry{Item: removedState(stateOf("k", 1, 10)), listedEra: 1}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, clock := newEraMirror()
			m.restoredAt, m.eraEnteredAt = tt.restoredAt, clock.Now()
			m.items["k"] = tt.entry
			m.kept["k"] = struct{}{}
			clock.Advance(tt.after)
			removals := m.expireLost()
			is.Equal(len(removals), tt.removals)
			for _, r := range removals {
				is.True(r.Removed)
				is.Equal(r.Version(), m.complete)
			}
		})
	}
}

// Guards against an era that begins with what was known of the one before.
func TestNextEraBeginsAnew(t *testing.T) {
	is := is.New(t)
	m, clock := newEraMirror()
	m.writes.record([]Item{stateOf("k", 2, 7)})
	clock.Advance(time.Minute)
	m.enterEra(3, 6)
	is.Equal(m.complete, Version{Era: 3})
	is.Equal(m.restoredAt, uint64(6))
	is.Equal(m.eraEnteredAt, clock.Now())
	is.True(!m.writes.contradicts(stateOf("other", 3, 7)))
}

// Guards against a first list of a store whose later items are not known to be of its era.
func TestFirstListSetsBeginningOfEra(t *testing.T) {
	for _, tt := range []struct {
		name  string
		batch Batch
		known uint64 // revision up to which the mirror is complete
		want  uint64
	}{
		{"first list", Batch{Era: 2, Revision: 18}, 0, 18},
		{"first list, and another host knows", Batch{Era: 2, Revision: 18, RestoredAt: 7}, 0, 7},
		{"later list", Batch{Era: 2, Revision: 18}, 9, 0},
		{"store without eras", Batch{Era: 0, Revision: 18}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, clock := newEraMirror()
			m.complete = Version{Era: tt.batch.Era, Revision: tt.known}
			m.beginEra(tt.batch)
			is.Equal(m.restoredAt, tt.want)
			is.Equal(m.eraEnteredAt.Equal(clock.Now()), tt.name != "later list" && tt.batch.Era > 0)
		})
	}
}
