package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestByteBudgetCountsBytesUntilRelease(t *testing.T) {
	is := is.New(t)
	budget := NewByteBudget(10)
	first := budget.NewReader(strings.NewReader("123456"))
	_, err := io.ReadAll(first)
	is.NoErr(err)
	second := budget.NewReader(strings.NewReader("12345"))
	_, err = io.ReadAll(second)
	is.True(errors.Is(err, ErrBudgetExceeded))
	second.Release()
	first.Release()
	first.Release() // has no effect the second time
	_, err = io.ReadAll(budget.NewReader(strings.NewReader("1234567890")))
	is.NoErr(err)
	is.Equal(budget.used.Load(), int64(10))
}

func TestEndOfBodyIsKnownBeyondBudget(t *testing.T) {
	is := is.New(t)
	beyond := NewByteBudget(3).NewReader(iotest.DataErrReader(strings.NewReader("1234")))
	_, err := io.ReadAll(beyond)
	is.True(errors.Is(err, ErrBudgetExceeded))
	is.True(beyond.Ended())
	partial := NewByteBudget(3).NewReader(strings.NewReader("1234"))
	_, err = io.ReadAll(partial)
	is.True(errors.Is(err, ErrBudgetExceeded))
	is.True(!partial.Ended()) // the reader has not returned the end yet
}

func TestHeaderBytesCountsRequestLineAndFields(t *testing.T) {
	is := is.New(t)
	r := &http.Request{Method: "GET", RequestURI: "/a", Proto: "HTTP/1.1", Host: "h", Header: http.Header{"A": {"b", "cc"}}}
	is.Equal(HeaderBytes(r), len("GET/aHTTP/1.1h")+len("A: b\r\n")+len("A: cc\r\n"))
}

// Guards against long bodies that arrive slowly and keep out all short ones.
func TestShortBodiesAreTakenBesideLongOnes(t *testing.T) {
	is := is.New(t)
	budget := NewByteBudget(8 * shortBodyBytes)
	long := budget.NewReader(strings.NewReader(strings.Repeat("x", 8*shortBodyBytes)))
	_, err := io.ReadAll(long)
	is.True(errors.Is(err, ErrBudgetExceeded))
	is.True(budget.used.Load() <= 6*shortBodyBytes)
	for range 2 {
		_, err = io.ReadAll(budget.NewReader(strings.NewReader(strings.Repeat("x", shortBodyBytes))))
		is.NoErr(err)
	}
	_, err = io.ReadAll(budget.NewReader(strings.NewReader("x" + strings.Repeat("x", shortBodyBytes))))
	is.True(errors.Is(err, ErrBudgetExceeded))
}
