package exchange

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

func TestAttemptBudgetEndsAndKeepsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	b := NewAttemptBudget(2)
	is.True(b.TryTake())
	is.True(b.TryTake())
	is.True(!b.TryTake())
	is.Equal(b.Remaining(), 0)
	notRun := outcome.Unavailable("owner", "upstream-full", "full")
	is.Equal(AsRefusal(b.OverallError(notRun)).Outcome, outcome.NotRun)
	b.RecordUnknownOutcome()
	is.Equal(AsRefusal(b.OverallError(notRun)).Outcome, outcome.Unknown)
	is.Equal(notRun.Outcome, outcome.NotRun) // the refusal itself is not changed
	is.Equal(AsRefusal(b.OverallError(errors.New("broken"))).Outcome, outcome.Unknown)
	is.NoErr(b.OverallError(nil))
}
