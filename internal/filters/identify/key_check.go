package identify

import (
	"io"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
)

// ErrKeyWithdrawn is the read error of a response whose key was withdrawn or expired while the response was relayed.
var ErrKeyWithdrawn = errors.New("the key was withdrawn or has expired while the response was relayed")

// keyCheckedBody checks before it returns bytes that the key is still valid. While the document does not change, the
// check costs one pointer comparison.
type keyCheckedBody struct {
	io.ReadCloser
	filter *Filter
	// secret is the key's text, which is looked up again when the document changes.
	secret   string
	snapshot *document.Snapshot
	key      *document.Key
}

// Read implements io.Reader.
func (b *keyCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.keyValid() {
		b.filter.streamsCut.Inc(1)
		return 0, ErrKeyWithdrawn
	}
	return n, err
}

func (b *keyCheckedBody) keyValid() bool {
	if current := b.filter.documents.Current(); current != b.snapshot {
		teamKey, ok := current.LookupKey([]byte(b.secret))
		if !ok {
			return false
		}
		b.snapshot, b.key = current, teamKey.Key
	}
	return !b.key.Expired(b.filter.clock.Now())
}
