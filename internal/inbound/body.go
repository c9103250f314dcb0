// Package inbound bounds what callers' requests take of this host: the size of their headers and the memory of their
// bodies.
package inbound

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrBudgetExceeded says that the bodies of all requests in flight together hold as many bytes as they may.
var ErrBudgetExceeded = errors.New("too many body bytes in flight")

// BodyBudget bounds the memory that callers' bodies take, over all requests in flight. It is safe for concurrent use.
type BodyBudget struct {
	total int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget of so many bytes.
func NewBodyBudget(total int64) *BodyBudget { return &BodyBudget{total: total} }

func (b *BodyBudget) take(n int64) bool {
	if b.used.Add(n) <= b.total {
		return true
	}
	b.used.Add(-n)
	return false
}

// Body takes from the budget what arrives, so that a slow caller holds no more than it has sent.
type Body struct {
	body   io.Reader
	budget *BodyBudget
	taken  int64
}

// Body returns a reader of a request's body whose bytes count until Release.
func (b *BodyBudget) Body(body io.Reader) *Body {
	return &Body{body: body, budget: b}
}

// Read implements io.Reader. The error is ErrFull once the budget is used up.
func (r *Body) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.budget.take(int64(n)) {
		return 0, ErrBudgetExceeded
	}
	r.taken += int64(n)
	return n, err
}

// Release gives back what was taken. A run that outlives its caller keeps its body without being counted.
func (r *Body) Release() {
	r.budget.used.Add(-r.taken)
	r.taken = 0
}

// HeaderBytes returns the size of the request line and the header fields as they came.
func HeaderBytes(r *http.Request) int {
	const separators = len(": \r\n")
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + separators
		}
	}
	return total
}
