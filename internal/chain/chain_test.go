package chain

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// named is a filter that appends its name on the way in and on the way back, or fails if its name is "fail".
type named string

func (n named) Name() string { return string(n) }

func (n named) Handle(ctx context.Context, trail *strings.Builder, next Next[*strings.Builder]) error {
	trail.WriteString(string(n))
	if n == "fail" {
		return errors.New("refused")
	}
	err := next(ctx, trail)
	trail.WriteString("/" + string(n))
	return err
}

func TestFiltersRunInOrderAndInReverseOnTheWayBack(t *testing.T) {
	is := is.New(t)
	var trail strings.Builder
	is.NoErr(Compose[*strings.Builder](named("a"), named("b"))(context.Background(), &trail))
	is.Equal(trail.String(), "ab/b/a")
}

func TestFilterThatDoesNotCallNextEndsTheChain(t *testing.T) {
	is := is.New(t)
	var trail strings.Builder
	is.True(Compose[*strings.Builder](named("a"), named("fail"), named("b"))(context.Background(), &trail) != nil)
	is.Equal(trail.String(), "afail/a")
}

func TestEmptyChainReturnsNoError(t *testing.T) {
	is.New(t).NoErr(Compose[int]()(context.Background(), 1))
}
