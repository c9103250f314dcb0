package document

import (
	"crypto/rand"
	"encoding/base64"
	"time"

	"github.com/pkg/errors"
)

// secretBytes is the number of random bytes in an API key.
const secretBytes = 32

// secretPrefix is the prefix of every API key; it lets secret scanners detect leaked keys.
const secretPrefix = "orl_"

// NewKey generates a random API key. It returns the secret and the entry for the document, which holds only its hash. The
// caller shows the secret once and must not store it. A nil notAfter means that the key does not expire.
func NewKey(id string, notAfter *time.Time) (string, Key, error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", Key{}, errors.Wrap(err, "generate key")
	}
	secret := secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Key{ID: id, SHA256: HashKey(secret), NotAfter: notAfter}, nil
}
