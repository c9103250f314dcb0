package callers

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errBudget says that the bodies of all requests in flight together hold as many bytes as they may.
var errBudget = errors.New("too many body bytes in flight")

// budget bounds the memory that callers' bodies take, over all requests in flight. It is safe for concurrent use.
type budget struct {
	total int64
	used  atomic.Int64
}

func (b *budget) take(n int64) bool {
	if b.used.Add(n) <= b.total {
		return true
	}
	b.used.Add(-n)
	return false
}

// bodyReader takes from the budget what arrives, so that a slow caller holds no more than it has sent.
type bodyReader struct {
	body   io.Reader
	budget *budget
	taken  int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.budget.take(int64(n)) {
		return 0, errBudget
	}
	r.taken += int64(n)
	return n, err
}

// release gives back what was taken. A run that outlives its caller keeps its body without being counted.
func (r *bodyReader) release() {
	r.budget.used.Add(-r.taken)
	r.taken = 0
}
