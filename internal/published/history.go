package published

import (
	"context"

	"github.com/pkg/errors"
)

// maxHistoryCalls bounds the calls with which the oldest available change is searched for.
const maxHistoryCalls = 40

// ErrNoHistory reports that a source has no earlier changes, or that they are of another era.
var ErrNoHistory = errors.New("no earlier changes are available")

// ReadHistory returns all changes up to the version that the source still has, oldest first, and whether they begin with
// the first one ever made.
func ReadHistory(ctx context.Context, source Source, prefix string, until Version) (items []Item, whole bool, err error) {
	// Changes after the revision missing are no longer available, those after the revision available are.
	missing, available := uint64(0), until.Revision
	for call := range maxHistoryCalls {
		after := missing + (available-missing)/2
		if call == 0 {
			after = 0
		} else if after == missing {
			break
		}
		b, err := source.Changes(ctx, prefix, after, 0)
		switch {
		case errors.Is(err, ErrHistoryLost):
			missing = after
			continue
		case err != nil:
			return nil, false, errors.Wrapf(err, "read history of prefix %q after revision %d", prefix, after)
		case b.Era != until.Era:
			return nil, false, errors.Wrapf(ErrNoHistory, "read history of prefix %q: era %d follows era %d", prefix, b.Era, until.Era)
		}
		items, available = b.Items, after
		if after == 0 {
			return items, true, nil
		}
	}
	if available == until.Revision {
		return nil, false, errors.Wrapf(ErrNoHistory, "read history of prefix %q before revision %d", prefix, available)
	}
	return items, false, nil
}
