// Package idempotency ensures that a request on a route that is not repeatable runs at most once.
//
// A router issues keys that are bound to its own process incarnation by a MAC, whose secret exists only in that
// process's memory. Only the issuing incarnation runs a request with the key, once, and stores the result for repeats.
// When the incarnation ends, its keys become permanently invalid, so that neither durable storage nor consensus is
// needed.
package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// macBytes is the length of a key's truncated MAC.
const macBytes = 16

// MaxKeyLength bounds the length of a key's text form.
const MaxKeyLength = 512

// Key is an issued idempotency key.
type Key struct {
	Host        string
	Incarnation uint64
	Team        string
	Sequence    uint64
	Expires     time.Time
	mac         []byte
}

// Signer issues and verifies the keys of one incarnation.
type Signer struct {
	host        string
	incarnation uint64
	secret      [sha256.Size]byte
}

// NewSigner returns a signer with a new random secret.
func NewSigner(host string, incarnation uint64) (*Signer, error) {
	s := &Signer{host: host, incarnation: incarnation}
	if _, err := rand.Read(s.secret[:]); err != nil {
		return nil, errors.Wrap(err, "generate idempotency key secret")
	}
	return s, nil
}

// Sign returns the text form of a new key.
func (s *Signer) Sign(team string, sequence uint64, expires time.Time) string {
	k := Key{Host: s.host, Incarnation: s.incarnation, Team: team, Sequence: sequence, Expires: expires}
	k.mac = s.mac(k)
	return k.String()
}

// Verify reports whether this incarnation issued the key.
func (s *Signer) Verify(k Key) bool {
	return k.Host == s.host && k.Incarnation == s.incarnation && hmac.Equal(k.mac, s.mac(k))
}

func (s *Signer) mac(k Key) []byte {
	h := hmac.New(sha256.New, s.secret[:])
	h.Write([]byte(k.payload()))
	return h.Sum(nil)[:macBytes]
}

// payload returns the part of the text form that the MAC covers: host, team and the fixed-size numbers, each in base64,
// separated by dots.
func (k Key) payload() string {
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[0:], k.Incarnation)
	binary.BigEndian.PutUint64(numbers[8:], k.Sequence)
	binary.BigEndian.PutUint64(numbers[16:], uint64(k.Expires.Unix()))
	enc := base64.RawURLEncoding
	return enc.EncodeToString([]byte(k.Host)) + "." + enc.EncodeToString([]byte(k.Team)) + "." + enc.EncodeToString(numbers[:])
}

// String returns the text form: the payload and the MAC, separated by a dot.
func (k Key) String() string {
	return k.payload() + "." + base64.RawURLEncoding.EncodeToString(k.mac)
}

// ParseKey decodes the text form. It does not verify the MAC, since only the issuer can.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, errors.Errorf("idempotency key has %d characters, limit is %d", len(text), MaxKeyLength)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return Key{}, errors.Errorf("idempotency key has %d parts, want 4", len(parts))
	}
	var raw [4][]byte
	for i, part := range parts {
		b, err := base64.RawURLEncoding.Strict().DecodeString(part)
		if err != nil {
			return Key{}, errors.Wrapf(err, "decode idempotency key part %d", i+1)
		}
		raw[i] = b
	}
	numbers, mac := raw[2], raw[3]
	if len(numbers) != 24 || len(mac) != macBytes {
		return Key{}, errors.New("idempotency key has parts of the wrong length")
	}
	key := Key{
		Host:        string(raw[0]),
		Team:        string(raw[1]),
		Incarnation: binary.BigEndian.Uint64(numbers[0:]),
		Sequence:    binary.BigEndian.Uint64(numbers[8:]),
		Expires:     time.Unix(int64(binary.BigEndian.Uint64(numbers[16:])), 0),
		mac:         mac,
	}
	// The decoder ignores line breaks, but a key must have exactly one text form.
	if key.String() != text {
		return Key{}, errors.New("idempotency key is not in its canonical form")
	}
	return key, nil
}
