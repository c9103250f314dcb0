package document

import (
	"crypto/rand"
	"encoding/base64"
	"time"

	"github.com/pkg/errors"
)

// secretBytes is the randomness of a caller's key.
const secretBytes = 32

// secretPrefix begins every caller's key, so that scanners for leaked secrets can find it.
const secretPrefix = "orl_"

// NewKey makes a random caller's key. It returns the secret, which is shown once and stored nowhere, and the document's
// entry for it. NotAfter may be nil.
func NewKey(id string, notAfter *time.Time) (string, Key, error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", Key{}, errors.Wrap(err, "make key")
	}
	secret := secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Key{ID: id, SHA256: HashKey(secret), NotAfter: notAfter}, nil
}
