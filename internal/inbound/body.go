// Package inbound limits the resources that callers' requests use on this host: the size of their headers and the
// memory for their bodies.
package inbound

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrBudgetExceeded is returned when the bodies of all requests in flight together use up the budget.
var ErrBudgetExceeded = errors.New("too many body bytes in flight")

// Bodies of up to shortBodyBytes may use the whole budget. Longer ones leave the part 1/shortBodyShare of it to them.
const (
	shortBodyBytes = 16 << 10
	shortBodyShare = 4
)

// ByteBudget limits the memory for what all requests in flight hold together: bodies, heads or responses. It is safe for concurrent
// use.
type ByteBudget struct {
	total int64
	used  atomic.Int64
}

// NewByteBudget returns a budget of the given number of bytes.
func NewByteBudget(total int64) *ByteBudget { return &ByteBudget{total: total} }

// TryReserve reserves n bytes and reports whether the budget allows it. Release returns them.
func (b *ByteBudget) TryReserve(n int64) bool { return b.reserveWithin(n, b.total) }

func (b *ByteBudget) reserveWithin(n, limit int64) bool {
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (b *ByteBudget) Release(n int64) { b.used.Add(-n) }

// BudgetedReader is a request body that reserves budget for its bytes as they arrive, so that a slow caller holds no
// more than it has sent.
type BudgetedReader struct {
	body     io.Reader
	budget   *ByteBudget
	reserved int64
	ended    bool
}

// NewReader returns a reader of a request's body whose bytes count against the budget until Release.
func (b *ByteBudget) NewReader(body io.Reader) *BudgetedReader {
	return &BudgetedReader{body: body, budget: b}
}

// Read implements io.Reader. It returns ErrBudgetExceeded if the budget is exhausted.
func (r *BudgetedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.ended = r.ended || errors.Is(err, io.EOF)
	if !r.reserve(int64(n)) {
		return 0, ErrBudgetExceeded
	}
	return n, err
}

func (r *BudgetedReader) reserve(n int64) bool {
	limit := r.budget.total
	if r.reserved+n > shortBodyBytes {
		limit -= limit / shortBodyShare
	}
	if !r.budget.reserveWithin(n, limit) {
		return false
	}
	r.reserved += n
	return true
}

// Ended reports whether the end of the body has been read, even if the read returned ErrBudgetExceeded.
func (r *BudgetedReader) Ended() bool { return r.ended }

// Release returns the reserved bytes to the budget. The body of a request that continues after its caller has
// disconnected stays in memory without being counted.
func (r *BudgetedReader) Release() {
	r.budget.Release(r.reserved)
	r.reserved = 0
}

// HeaderBytes returns the size of the request line and the header fields in bytes, as received.
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
