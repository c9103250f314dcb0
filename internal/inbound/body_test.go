package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestBodyBudgetCountsBytesUntilRelease(t *testing.T) {
	is := is.New(t)
	budget := NewBodyBudget(10)
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

func TestHeaderBytesCountsRequestLineAndFields(t *testing.T) {
	is := is.New(t)
	r := &http.Request{Method: "GET", RequestURI: "/a", Proto: "HTTP/1.1", Host: "h", Header: http.Header{"A": {"b", "cc"}}}
	is.Equal(HeaderBytes(r), len("GET/aHTTP/1.1h")+len("A: b\r\n")+len("A: cc\r\n"))
}
