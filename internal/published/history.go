package published

import (
	"context"

	"github.com/pkg/errors"
)

const (
	// historyStep is the number of revisions for which a source is asked first.
	historyStep = 64
	// maxHistoryItems bounds the changes that are read.
	maxHistoryItems = 8192
)

// ErrNoHistory reports that a source has no earlier changes, too many, or those of another era.
var ErrNoHistory = errors.New("no earlier changes are available")

// ReadHistory returns all changes up to the version that the source still has, oldest first, and whether they begin with
// the first one ever made. It asks for twice as many revisions each time until some are no longer available, and then
// searches for the first one that is.
func ReadHistory(ctx context.Context, source Source, prefix string, until Version) (items []Item, whole bool, err error) {
	// Changes after the revision missing are no longer available, those after the revision available are.
	missing, available, step := uint64(0), until.Revision, uint64(historyStep)
	foundMissing := false
	for {
		after := missing + (available-missing)/2
		if !foundMissing {
			after = available - min(step, available)
			step *= 2
		}
		if after == available || foundMissing && after == missing {
			break
		}
		b, err := source.Changes(ctx, prefix, after, 0)
		switch {
		case errors.Is(err, ErrHistoryLost):
			missing, foundMissing = after, true
			continue
		case err != nil:
			return nil, false, errors.Wrapf(err, "read history of prefix %q after revision %d", prefix, after)
		case b.Era != until.Era:
			return nil, false, errors.Wrapf(ErrNoHistory, "read history of prefix %q: era %d follows era %d", prefix, b.Era, until.Era)
		case len(b.Items) > maxHistoryItems:
			return nil, false, errors.Wrapf(ErrNoHistory, "read history of prefix %q: %d changes", prefix, len(b.Items))
		}
		items, available = b.Items, after
	}
	if available == until.Revision {
		return nil, false, errors.Wrapf(ErrNoHistory, "read history of prefix %q before revision %d", prefix, available)
	}
	return items, available == 0, nil
}
