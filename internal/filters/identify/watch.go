package identify

import (
	"io"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
)

// ErrKeyWithdrawn ends an answer whose key was withdrawn or expired while it was relayed.
var ErrKeyWithdrawn = errors.New("the key was withdrawn while its answer was relayed")

// watchedBody checks before it hands on bytes that the key is still valid. It costs a comparison of two pointers while
// the document in force stays the same.
type watchedBody struct {
	io.ReadCloser
	filter *Filter
	// secret is looked up again when the document changes.
	secret string
	seen   *document.Snapshot
	key    *document.Key
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.valid() {
		b.filter.cut.Inc(1)
		return 0, ErrKeyWithdrawn
	}
	return n, err
}

func (b *watchedBody) valid() bool {
	if now := b.filter.documents.Current(); now != b.seen {
		tk, ok := now.LookupKey([]byte(b.secret))
		if !ok {
			return false
		}
		b.seen, b.key = now, tk.Key
	}
	return !b.key.Expired(b.filter.clock.Now())
}
