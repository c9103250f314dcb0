package exchange

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

func TestABudgetEndsAndKeepsAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2)
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take())
	is.Equal(b.Left(), 0)
	notRun := outcome.Unavailable("owner", "upstream-full", "full")
	is.Equal(Refusal(b.Truthful(notRun)).Outcome, outcome.NotRun)
	b.NoteUnknown()
	is.Equal(Refusal(b.Truthful(notRun)).Outcome, outcome.Unknown)
	is.Equal(notRun.Outcome, outcome.NotRun) // the refusal itself is not changed
	is.Equal(Refusal(b.Truthful(errors.New("broken"))).Outcome, outcome.Unknown)
	is.NoErr(b.Truthful(nil))
}
