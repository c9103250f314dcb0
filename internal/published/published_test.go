package published

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

func item(key string, revision uint64) Item { return Item{Key: key, Revision: revision} }

// newMirror returns a mirror in which values that begin with the same byte mean the same.
func newMirror(prefix string, changed func([]Item)) *Mirror {
	same := func(before, now Item) bool {
		return len(before.Value) > 0 && len(now.Value) > 0 && before.Value[0] == now.Value[0]
	}
	return NewMirror(prefix, same, clockwork.NewFakeClock(), changed)
}

func TestWhatMeansTheSameIsNotTold(t *testing.T) {
	is := is.New(t)
	told := 0
	m := newMirror("a/", func(items []Item) { told += len(items) })
	beat := func(revision uint64, value string) {
		m.Merge(revision-1, Batch{Items: []Item{{Key: "a/x", Value: []byte(value), Revision: revision}}, Revision: revision})
	}
	m.Replace(Batch{Revision: 1})
	beat(2, "r1")
	beat(3, "r2")
	beat(4, "r3")
	is.Equal(told, 1)
	is.Equal(len(m.Since(2).Items), 0) // who knows revision 2 knows what 4 means
	is.Equal(m.Since(2).Revision, uint64(4))
	is.Equal(len(m.Since(1).Items), 1)
	beat(5, "d1")
	is.Equal(told, 2)
	is.Equal(len(m.Since(4).Items), 1)
}

func TestAMirrorNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var seen []Item
	m := newMirror("a/", func(items []Item) { seen = append(seen, items...) })
	m.Replace(Batch{Items: []Item{item("a/x", 5), item("a/y", 6)}, Revision: 9})
	is.Equal(m.CompleteRevision(), uint64(9))
	is.Equal(m.Merge(9, Batch{Items: []Item{item("a/x", 4)}, Revision: 9}), 0) // older revision
	is.Equal(m.Replace(Batch{Items: []Item{item("a/x", 5)}, Revision: 7}), 1)  // y was removed before 7
	is.Equal(m.CompleteRevision(), uint64(9))                                  // an older list takes nothing back
	is.Equal(m.Merge(9, Batch{Items: []Item{item("a/y", 6)}, Revision: 9}), 0) // the tombstone is newer
	is.Equal(len(seen), 3)
}

func TestAListOlderThanAnItemDoesNotRemoveIt(t *testing.T) {
	is := is.New(t)
	m := newMirror("a/", func([]Item) {})
	m.Replace(Batch{Items: []Item{item("a/x", 5)}, Revision: 5})
	m.Merge(5, Batch{Items: []Item{item("a/new", 12)}, Revision: 12})
	is.Equal(m.Replace(Batch{Items: []Item{item("a/x", 5)}, Revision: 10}), 0)
	is.Equal(len(m.Since(0).Items), 2)
}

func TestAGapDoesNotCountAsComplete(t *testing.T) {
	is := is.New(t)
	m := newMirror("a/", func([]Item) {})
	m.Replace(Batch{Revision: 5})
	m.Merge(8, Batch{Items: []Item{item("a/z", 9)}, Revision: 9}) // changes 6 to 8 are missing
	is.Equal(m.CompleteRevision(), uint64(5))
	is.Equal(len(m.Since(5).Items), 1) // the change itself is known
}

// Whatever way changes take between mirrors, and however often, each ends with the newest revision of every key that
// it was told, and mirrors that were told all agree.
func TestMirrorsAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := make([]Item, rapid.IntRange(1, 20).Draw(t, "changes"))
		newest := map[string]Item{}
		for i := range history {
			key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
			history[i] = Item{Key: key, Revision: uint64(i + 1), Removed: rapid.Bool().Draw(t, "removed")}
			newest[key] = history[i]
		}
		m := newMirror("k", func([]Item) {})
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			from := rapid.IntRange(0, len(history)).Draw(t, "from")
			to := rapid.IntRange(from, len(history)).Draw(t, "to")
			before := m.CompleteRevision()
			m.Merge(uint64(from), Batch{Items: history[from:to], Revision: uint64(to)})
			if m.CompleteRevision() < before {
				t.Fatalf("complete went back from %d to %d", before, m.CompleteRevision())
			}
		}
		m.Merge(0, Batch{Items: history, Revision: uint64(len(history))})
		for _, got := range m.Since(0).Items {
			if want := newest[got.Key]; got.Revision != want.Revision || got.Removed != want.Removed {
				t.Fatalf("key %s: got %+v, want %+v", got.Key, got, want)
			}
		}
	})
}

// Removals are forgotten in time, and what was removed stays removed nevertheless: here, and at a host that hears of it
// only afterwards.
func TestForgottenRemovalsStayInForce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := NewMirror("", nil, clock, func([]Item) {})
	behind := newMirror("", func([]Item) {})
	start := Batch{Items: []Item{item("k", 1), item("kept", 2)}, Revision: 2}
	m.Replace(start)
	behind.Replace(start)
	m.Merge(2, Batch{Items: []Item{{Key: "k", Revision: 3, Removed: true}}, Revision: 3})
	is.Equal(len(m.Since(2).Items), 1)
	clock.Advance(tombstoneLife)
	m.Merge(3, Batch{Revision: 4})
	is.Equal(len(m.items), 1)
	is.Equal(m.Merge(0, Batch{Items: start.Items, Revision: 2}), 0) // an old item does not come back
	news := m.Since(behind.CompleteRevision())
	is.True(news.Full)
	behind.Merge(2, news)
	is.True(behind.items["k"].Removed)
	is.Equal(behind.CompleteRevision(), uint64(4))
	is.True(!m.Since(3).Full) // who knows of the removal needs no full list
	m.Merge(4, Batch{Items: []Item{item("k", 5)}, Revision: 5})
	is.Equal(len(m.items), 2) // published anew
}

// A host that has just read a full list never knew of what was removed before it, and another one that is behind must
// hear of it all the same.
func TestAListTellsOthersOfRemovalsBeforeIt(t *testing.T) {
	is := is.New(t)
	behind, listed := newMirror("", func([]Item) {}), newMirror("", func([]Item) {})
	behind.Replace(Batch{Items: []Item{item("k", 1), item("kept", 2)}, Revision: 2})
	listed.Replace(Batch{Items: []Item{item("kept", 2)}, Revision: 4}) // k was removed by revision 3
	behind.Merge(2, listed.Since(2))
	is.True(behind.items["k"].Removed)
	is.Equal(behind.CompleteRevision(), uint64(4))
}

// A removal beyond what the mirror is complete for is kept: changes before it may still come.
func TestRemovalsAreKeptUntilTheMirrorIsComplete(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := NewMirror("", nil, clock, func([]Item) {})
	m.Replace(Batch{Revision: 2})
	m.Merge(7, Batch{Items: []Item{{Key: "k", Revision: 9, Removed: true}}, Revision: 9})
	clock.Advance(2 * tombstoneLife)
	m.Merge(2, Batch{Revision: 3})
	is.Equal(m.Merge(3, Batch{Items: []Item{item("k", 4)}, Revision: 4}), 0)
	m.Merge(4, Batch{Revision: 9})
	is.Equal(len(m.items), 0)
}

// history is what was written into a store, its last revision the length.
type history struct {
	items  []Item
	newest map[string]Item
}

func (h *history) at() uint64 { return uint64(len(h.items)) }

func (h *history) write(key string, removed bool) {
	i := Item{Key: key, Revision: h.at() + 1, Removed: removed}
	h.items, h.newest[key] = append(h.items, i), i
}

// list returns what a full list returns.
func (h *history) list() Batch {
	b := Batch{Revision: h.at()}
	for _, i := range h.newest {
		if !i.Removed {
			b.Items = append(b.Items, i)
		}
	}
	return b
}

// since returns the changes after the revision.
func (h *history) since(after uint64) Batch { return Batch{Items: h.items[after:], Revision: h.at()} }

// differs returns what the mirror has otherwise than the store, once it has read all changes.
func (h *history) differs(m *Mirror) string {
	m.Merge(m.CompleteRevision(), h.since(m.CompleteRevision()))
	for key, want := range h.newest {
		got, known := m.items[key]
		if live := known && !got.Removed; live == want.Removed || live && got.Revision != want.Revision {
			return fmt.Sprintf("%+v, the store %+v", got.Item, want)
		}
	}
	return ""
}

// Two hosts that read the store and hear from each other, with long gaps between, know at last what the store has.
func TestHostsThatForgetRemovalsAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		never := func(_, _ Item) bool { return false }
		mirrors := [2]*Mirror{NewMirror("", never, clock, func([]Item) {}), NewMirror("", never, clock, func([]Item) {})}
		h := &history{newest: map[string]Item{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, "host")
			m, other := mirrors[n], mirrors[1-n]
			after := m.CompleteRevision()
			switch step := rapid.SampledFrom([]string{"write", "read", "list", "hear", "wait"}).Draw(t, "step"); {
			case step == "write":
				key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
				h.write(key, rapid.Bool().Draw(t, "removed"))
			case step == "read" && after > 0:
				m.Merge(after, h.since(after))
			case step == "list":
				m.Replace(h.list())
			case step == "hear":
				m.Merge(after, other.Since(after))
			case step == "wait":
				clock.Advance(tombstoneLife / 2)
			}
		}
		for n, m := range mirrors {
			if m.CompleteRevision() == 0 {
				continue
			}
			if d := h.differs(m); d != "" {
				t.Fatalf("host %d has %s", n, d)
			}
		}
	})
}

// fakeLapses counts what it is told.
type fakeLapses struct {
	outages, regained int
}

func (l *fakeLapses) Outage()                { l.outages++ }
func (l *fakeLapses) Regained(time.Duration) { l.regained++ }

// scripted answers each call with the next step.
type scripted struct {
	steps []func(list bool, after uint64) (Batch, error)
	calls []string
	// more is set by a step whose page is followed by another one.
	more string
}

func (s *scripted) next(list bool, after uint64) (Batch, error) {
	if len(s.steps) == 0 {
		return Batch{}, context.Canceled
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(list, after)
}

func (s *scripted) Page(_ context.Context, _, after string) (Batch, string, error) {
	s.calls = append(s.calls, "list"+after)
	s.more = ""
	b, err := s.next(true, 0)
	return b, s.more, err
}

func (s *scripted) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (Batch, error) {
	s.calls = append(s.calls, "changes")
	return s.next(false, after)
}

func TestAReaderListsAgainAfterLostHistoryAndReportsOutages(t *testing.T) {
	is := is.New(t)
	lapses := &fakeLapses{}
	source := &scripted{}
	m := newMirror("a/", func([]Item) {})
	r := NewReader(ReaderOptions{
		Source: source, Mirror: m, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		Lapses: lapses,
	})
	source.steps = []func(bool, uint64) (Batch, error){
		func(bool, uint64) (Batch, error) { return Batch{}, errors.New("down") },
		func(bool, uint64) (Batch, error) { return Batch{Items: []Item{item("a/x", 3)}, Revision: 4}, nil },
		func(_ bool, after uint64) (Batch, error) { is.Equal(after, uint64(4)); return Batch{}, ErrHistoryLost },
		func(bool, uint64) (Batch, error) { return Batch{Revision: 9}, nil },
	}
	for range 4 {
		r.step(context.Background())
	}
	is.Equal(source.calls, []string{"list", "list", "changes", "list"})
	is.Equal(m.CompleteRevision(), uint64(9))
	is.True(m.Since(0).Items[0].Removed)
	is.Equal(lapses.outages, 1)
	is.Equal(lapses.regained, 1)
}

// Hosts that start together share the store's bandwidth, so that single pages time out. What was read counts.
func TestAListGoesOnWhereItWasInterrupted(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	source := &scripted{}
	m := newMirror("", func([]Item) {})
	r := NewReader(ReaderOptions{
		Source: source, Mirror: m, Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope, Lapses: &fakeLapses{},
	})
	page := func(next string, at uint64, items ...Item) func(bool, uint64) (Batch, error) {
		return func(bool, uint64) (Batch, error) { source.more = next; return Batch{Items: items, Revision: at}, nil }
	}
	fail := func(bool, uint64) (Batch, error) { return Batch{}, context.DeadlineExceeded }
	source.steps = []func(bool, uint64) (Batch, error){
		page("a", 7, item("a", 3)), fail,
		page("b", 8, item("b", 8)), fail,
		page("", 9, item("c", 5)),
	}
	r.step(context.Background())
	is.Equal(len(m.Since(0).Items), 1) // the first page is in force
	is.Equal(m.CompleteRevision(), uint64(0))
	r.step(context.Background())
	r.step(context.Background())
	is.Equal(source.calls, []string{"list", "lista", "lista", "listb", "listb"})
	is.Equal(m.CompleteRevision(), uint64(7)) // changes since the first page are still to come
	is.Equal(len(m.Since(0).Items), 3)

	r.relist = true
	source.calls = nil
	source.steps = []func(bool, uint64) (Batch, error){page("a", 10, item("a", 3)), fail, page("", 30)}
	r.step(context.Background())
	clock.Advance(maxListTime + 1)
	r.step(context.Background())
	is.Equal(source.calls, []string{"list", "lista", "list"}) // too old to go on
	is.Equal(m.CompleteRevision(), uint64(30))
}

// A store that names a next page without end does not hold a list, nor its memory, for good.
func TestAListHasABoundOfPages(t *testing.T) {
	is := is.New(t)
	source := &scripted{}
	r := NewReader(ReaderOptions{
		Source: source, Mirror: newMirror("", func([]Item) {}), Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(),
		Scope: tally.NoopScope, Lapses: &fakeLapses{},
	})
	for range maxPages + 1 {
		source.steps = append(source.steps, func(bool, uint64) (Batch, error) {
			source.more = "k"
			return Batch{Items: []Item{item("k", 1)}, Revision: 1}, nil
		})
	}
	r.step(context.Background())
	is.Equal(len(source.calls), maxPages)
	is.True(r.Failing())
	is.True(r.listing == nil) // the next list begins anew
	is.Equal(r.Mirror.CompleteRevision(), uint64(0))
}
