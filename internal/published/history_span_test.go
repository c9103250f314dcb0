package published

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against repetitions that are counted on the wrong side of the split, and changes that are none.
func TestHistorySpanCountsRepetitions(t *testing.T) {
	write := func(key, value string, revision uint64) Item {
		return Item{Key: key, Value: []byte(value), Revision: revision}
	}
	gone := func(key string, revision uint64) Item { return Item{Key: key, Revision: revision, Removed: true} }
	equivalent := func(before, now Item) bool { return string(before.Value) == string(now.Value) }
	for _, tt := range []struct {
		name          string
		items         []Item
		before, after int
	}{
		{"first write", []Item{write("a", "x", 1)}, 0, 0},
		{"before the split", []Item{write("a", "x", 1), write("a", "x", 9)}, 1, 0},
		{"at the split", []Item{write("a", "x", 1), write("a", "x", 10)}, 1, 0},
		{"after the split", []Item{write("a", "x", 1), write("a", "x", 11), write("a", "x", 12)}, 0, 2},
		{"other value", []Item{write("a", "x", 1), write("a", "y", 2)}, 0, 0},
		{"other value repeated", []Item{write("a", "x", 1), write("a", "y", 2), write("a", "y", 3)}, 1, 0},
		{"other key", []Item{write("a", "x", 1), write("b", "x", 2)}, 0, 0},
		{"removed", []Item{write("a", "", 1), gone("a", 2)}, 0, 0},
		{"written after a removal", []Item{gone("a", 1), write("a", "", 2)}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewHistorySpan(10, equivalent)
			for _, i := range tt.items {
				s.Add([]Item{i})
			}
			is.Equal(s.before["a"], tt.before)
			is.Equal(s.after["a"], tt.after)
		})
	}
}

// Guards against a history that is taken to cover more time than it does.
func TestTimeBeforeSplit(t *testing.T) {
	const sinceSplit = 12 * time.Second
	for _, tt := range []struct {
		name          string
		before, after []int
		want          time.Duration
	}{
		{"nothing known", nil, nil, 0},
		{"nothing after the split", []int{4}, []int{0}, 0},
		{"one writer", []int{4}, []int{3}, 4 * sinceSplit / 4},
		{"as often before as after", []int{3, 3}, []int{2, 2}, 3 * sinceSplit / 3},
		{"one in four deviates", []int{1, 2, 3, 4, 90}, []int{1, 2, 3, 3, 90}, 4 * sinceSplit / 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := NewHistorySpan(10, nil)
			for i := range tt.before {
				s.before[fmt.Sprint(i)], s.after[fmt.Sprint(i)] = tt.before[i], tt.after[i]
			}
			for range 20 { // the keys come in random order
				is.New(t).Equal(s.Before(sinceSplit), tt.want)
			}
		})
	}
}

// Guards against a history of the greatest length that is refused.
func TestHistoryOfGreatestLengthIsRead(t *testing.T) {
	is := is.New(t)
	items, whole, err := ReadHistory(context.Background(), &historySource{era: 1, revision: maxHistoryItems}, "a/", Version{Era: 1, Revision: maxHistoryItems})
	is.NoErr(err)
	is.True(whole)
	is.Equal(len(items), maxHistoryItems)
	_, _, err = ReadHistory(context.Background(), &historySource{era: 1, revision: maxHistoryItems + 1}, "a/", Version{Era: 1, Revision: maxHistoryItems + 1})
	is.True(err != nil)
}

// Guards against messages of kept states without bound, and states that other hosts need and are not told.
func TestKeptStatesAreBounded(t *testing.T) {
	for _, count := range []int{maxKept - 1, maxKept, maxKept + 1} {
		is := is.New(t)
		m, _ := newEraMirror()
		for n := range count {
			key := fmt.Sprint(n)
			m.items[key] = entry{Item: stateOf(key, 1, uint64(n+1)), listedEra: 1, storedEra: 1}
			m.kept[key] = struct{}{}
		}
		is.Equal(len(m.Kept().Items), min(count, maxKept))
	}
	outdated := stateOf("k", 1, 3)
	for _, tt := range []struct {
		name    string
		lasting bool
		entry   entry
		kept    bool
	}{
		{"older in the store", false, entry{Item: stateOf("k", 2, 18), listedEra: 2, outdated: &outdated}, true},
		{"in the store", true, entry{Item: stateOf("k", 2, 18), listedEra: 2}, false},
		{"lost", true, entry{Item: stateOf("k", 1, 18), listedEra: 1}, true},
		{"lost and not lasting", false, entry{Item: stateOf("k", 1, 18), listedEra: 1}, false},
		{"removed", true, entry{Item: removedState(stateOf("k", 2, 18)), listedEra: 2}, true},
		{"removed and not lasting", false, entry{Item: removedState(stateOf("k", 2, 18)), listedEra: 2}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := newEraMirror()
			m.Lasting = func(string) bool { return tt.lasting }
			is.New(t).Equal(m.inKept(tt.entry), tt.kept)
		})
	}
}
