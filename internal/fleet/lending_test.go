package fleet

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/lending"
)

// Guards against questions and answers that change on their way between two hosts, and against a host that cannot answer.
func TestLoanIsAskedOverHTTP(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	lender := startHost(t, clock)
	h := askingHost(t, clock, lender.Self)
	_, ok, err := h.AskLoan(context.Background(), lender.Self, lending.Question{Service: "s", Version: "1"})
	is.NoErr(err)
	is.True(!ok) // nothing answers there yet
	question := lending.Question{Service: "s", Version: "v1.1", AffinityHash: 1<<63 + 1, Upstreams: []uint32{7, 1 << 31}}
	lender.OnAskLoan(func(q lending.Question) (uint32, bool) {
		is.Equal(q, question)
		return 1<<31 + 3, true
	})
	id, ok, err := h.AskLoan(context.Background(), lender.Self, question)
	is.NoErr(err)
	is.True(ok)
	is.Equal(id, uint32(1<<31+3))
	_, ok, err = h.AskLoan(context.Background(), "127.0.0.1:1", question)
	is.True(err != nil)
	is.True(!ok)
}
