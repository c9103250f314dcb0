package published

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"
)

// ReadItems returns the items of the source in their current state. Its pages are not a snapshot.
func ReadItems(ctx context.Context, source Source, prefix string, era uint64) ([]Item, error) {
	var items []Item
	after := ""
	for range maxPages {
		page, next, err := source.Page(ctx, prefix, after)
		switch {
		case err != nil:
			return nil, errors.Wrapf(err, "list prefix %q after key %q", prefix, after)
		case page.Era != era:
			return nil, errors.Wrapf(ErrNoHistory, "list prefix %q: era %d follows era %d", prefix, page.Era, era)
		}
		items = append(items, page.Items...)
		if next == "" {
			return items, nil
		}
		after = next
	}
	return nil, errors.Errorf("list of prefix %q has more than %d pages", prefix, maxPages)
}

// MergeChanges returns the changes that any of the lists tells, oldest first.
func MergeChanges(lists ...[]Item) []Item {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return slices.CompactFunc(all, func(a, b Item) bool { return a.Revision == b.Revision })
}

// LastUnknown returns the greatest revision up to the given one that none of the changes has, which are in the order of their
// revisions. The store gives each change a revision of its own.
func LastUnknown(changes []Item, until uint64) uint64 {
	for _, c := range slices.Backward(changes) {
		if c.Revision < until {
			break
		}
		if c.Revision == until {
			until--
		}
	}
	return until
}
