package published

import (
	"context"
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
	return NewMirror(prefix, same, changed)
}

func TestWhatMeansTheSameIsNotTold(t *testing.T) {
	is := is.New(t)
	told := 0
	m := newMirror("a/", func(items []Item) { told += len(items) })
	beat := func(revision uint64, value string) {
		m.Merge(revision-1, Batch{Items: []Item{{Key: "a/x", Value: []byte(value), Revision: revision}}, At: revision})
	}
	m.Replace(Batch{At: 1})
	beat(2, "r1")
	beat(3, "r2")
	beat(4, "r3")
	is.Equal(told, 1)
	is.Equal(len(m.Since(2).Items), 0) // who knows revision 2 knows what 4 means
	is.Equal(m.Since(2).At, uint64(4))
	is.Equal(len(m.Since(1).Items), 1)
	beat(5, "d1")
	is.Equal(told, 2)
	is.Equal(len(m.Since(4).Items), 1)
}

func TestAMirrorNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var seen []Item
	m := newMirror("a/", func(items []Item) { seen = append(seen, items...) })
	m.Replace(Batch{Items: []Item{item("a/x", 5), item("a/y", 6)}, At: 9})
	is.Equal(m.Complete(), uint64(9))
	is.Equal(m.Merge(9, Batch{Items: []Item{item("a/x", 4)}, At: 9}), 0) // older revision
	is.Equal(m.Replace(Batch{Items: []Item{item("a/x", 5)}, At: 7}), 1)  // y was removed before 7
	is.Equal(m.Complete(), uint64(9))                                    // an older list takes nothing back
	is.Equal(m.Merge(9, Batch{Items: []Item{item("a/y", 6)}, At: 9}), 0) // the tombstone is newer
	is.Equal(len(seen), 3)
}

func TestAListOlderThanAnItemDoesNotRemoveIt(t *testing.T) {
	is := is.New(t)
	m := newMirror("a/", func([]Item) {})
	m.Replace(Batch{Items: []Item{item("a/x", 5)}, At: 5})
	m.Merge(5, Batch{Items: []Item{item("a/new", 12)}, At: 12})
	is.Equal(m.Replace(Batch{Items: []Item{item("a/x", 5)}, At: 10}), 0)
	is.Equal(len(m.Since(0).Items), 2)
}

func TestAGapDoesNotCountAsComplete(t *testing.T) {
	is := is.New(t)
	m := newMirror("a/", func([]Item) {})
	m.Replace(Batch{At: 5})
	m.Merge(8, Batch{Items: []Item{item("a/z", 9)}, At: 9}) // changes 6 to 8 are missing
	is.Equal(m.Complete(), uint64(5))
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
			before := m.Complete()
			m.Merge(uint64(from), Batch{Items: history[from:to], At: uint64(to)})
			if m.Complete() < before {
				t.Fatalf("complete went back from %d to %d", before, m.Complete())
			}
		}
		m.Merge(0, Batch{Items: history, At: uint64(len(history))})
		for _, got := range m.Since(0).Items {
			if want := newest[got.Key]; got.Revision != want.Revision || got.Removed != want.Removed {
				t.Fatalf("key %s: got %+v, want %+v", got.Key, got, want)
			}
		}
	})
}

// fakeLapses counts what it is told.
type fakeLapses struct {
	outages, regained int
	left              time.Duration
}

func (l *fakeLapses) Outage()                    { l.outages++ }
func (l *fakeLapses) Regained()                  { l.regained++ }
func (l *fakeLapses) LapseLeft() time.Duration   { return l.left }
func (l *fakeLapses) KeepLapsed(d time.Duration) { l.left = d }

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
		func(bool, uint64) (Batch, error) { return Batch{Items: []Item{item("a/x", 3)}, At: 4}, nil },
		func(_ bool, after uint64) (Batch, error) { is.Equal(after, uint64(4)); return Batch{}, ErrHistoryLost },
		func(bool, uint64) (Batch, error) { return Batch{At: 9}, nil },
	}
	for range 4 {
		r.step(context.Background())
	}
	is.Equal(source.calls, []string{"list", "list", "changes", "list"})
	is.Equal(m.Complete(), uint64(9))
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
	r := NewReader(ReaderOptions{Source: source, Mirror: m, Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope, Lapses: &fakeLapses{}})
	page := func(next string, at uint64, items ...Item) func(bool, uint64) (Batch, error) {
		return func(bool, uint64) (Batch, error) { source.more = next; return Batch{Items: items, At: at}, nil }
	}
	fail := func(bool, uint64) (Batch, error) { return Batch{}, context.DeadlineExceeded }
	source.steps = []func(bool, uint64) (Batch, error){
		page("a", 7, item("a", 3)), fail,
		page("b", 8, item("b", 8)), fail,
		page("", 9, item("c", 5)),
	}
	r.step(context.Background())
	is.Equal(len(m.Since(0).Items), 1) // the first page is in force
	is.Equal(m.Complete(), uint64(0))
	r.step(context.Background())
	r.step(context.Background())
	is.Equal(source.calls, []string{"list", "lista", "lista", "listb", "listb"})
	is.Equal(m.Complete(), uint64(7)) // changes since the first page are still to come
	is.Equal(len(m.Since(0).Items), 3)

	r.relist = true
	source.calls = nil
	source.steps = []func(bool, uint64) (Batch, error){page("a", 10, item("a", 3)), fail, page("", 30)}
	r.step(context.Background())
	clock.Advance(maxListTime + 1)
	r.step(context.Background())
	is.Equal(source.calls, []string{"list", "lista", "list"}) // too old to go on
	is.Equal(m.Complete(), uint64(30))
}
