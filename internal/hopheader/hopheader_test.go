package hopheader

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestDropRemovesOnlyHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{
		"Connection": {"keep-alive, X-Hop", "x-other"}, "X-Hop": {"1"}, "X-Other": {"1"}, "Keep-Alive": {"timeout=5"},
		"Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "X-End": {"1"},
	}
	Drop(h)
	is.Equal(h, http.Header{"Content-Length": {"3"}, "X-End": {"1"}})
}

func TestDropExceptKeepsEndToEndHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Connection": {" x-own ,X-Hop", "keep-alive"}, "X-Own": {"1"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}}
	DropExcept(h, func(name string) bool { return name == "X-Own" || name == "Keep-Alive" })
	is.Equal(h, http.Header{"X-Own": {"1"}})
}
