package published

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// pagedSource is a Source of which each page holds one item.
type pagedSource struct {
	Source
	items []Item
	eras  []uint64
	err   error
}

func (s *pagedSource) Page(_ context.Context, _, after string) (Batch, string, error) {
	n := 0
	if _, err := fmt.Sscan(after, &n); after != "" && err != nil {
		return Batch{}, "", err
	}
	next := fmt.Sprint(n + 1)
	if n+1 == len(s.items) {
		next = ""
	}
	return Batch{Items: s.items[n : n+1], Era: s.eras[min(n, len(s.eras)-1)]}, next, s.err
}

// Guards against a list that is read in part, or across the restoration of a store, and taken for all items.
func TestItemsAreReadFromAllPages(t *testing.T) {
	is := is.New(t)
	items := []Item{item("a", 3), item("b", 1), item("c", 7)}
	read, err := ReadItems(context.Background(), &pagedSource{items: items, eras: []uint64{1}}, "", 1)
	is.NoErr(err)
	is.Equal(read, items)
	_, err = ReadItems(context.Background(), &pagedSource{items: items, eras: []uint64{1, 2}}, "", 1)
	is.True(errors.Is(err, ErrNoHistory))
	_, err = ReadItems(context.Background(), &pagedSource{items: items, eras: []uint64{1}, err: errors.New("down")}, "", 1)
	is.True(err != nil && !errors.Is(err, ErrNoHistory))
}

// Guards against a change that no list tells and that counts as known.
func TestLastUnknownRevision(t *testing.T) {
	for _, tt := range []struct {
		known       []uint64
		until, want uint64
	}{
		{nil, 0, 0},
		{nil, 5, 5},
		{[]uint64{1, 2, 3, 4, 5}, 5, 0},
		{[]uint64{2, 3, 5}, 5, 4},
		{[]uint64{3, 4, 5}, 5, 2},
		{[]uint64{1, 2, 3}, 5, 5},
		{[]uint64{4, 5, 6, 9}, 5, 3}, // later changes do not matter
		{[]uint64{6, 9}, 5, 5},
	} {
		t.Run(fmt.Sprint(tt.known, tt.until), func(t *testing.T) {
			is := is.New(t)
			var listed, history []Item
			for i, revision := range tt.known {
				listed = append(listed, item("k", revision))
				if i%2 == 0 {
					history = append(history, item("k", revision))
				}
			}
			slices.Reverse(listed) // lists are in the order of keys
			changes := MergeChanges(history, listed)
			is.Equal(len(changes), len(tt.known))
			is.Equal(LastUnknown(changes, tt.until), tt.want)
		})
	}
}
