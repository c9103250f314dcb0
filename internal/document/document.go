// Package document defines the fleet's configuration document: one JSON value that operators publish on the platform
// and that every router applies. The console, oriolectl and the router share its parsing, validation and hash.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/strictjson"
)

// SchemaVersion is the only document schema that this build reads.
const SchemaVersion = 1

// MaxBytes is the largest document that the platform stores in one value.
const MaxBytes = 1 << 20

// Document is the whole configuration of one fleet.
type Document struct {
	Schema      int          `json:"schema"`
	Fleet       string       `json:"fleet"`
	Version     uint64       `json:"version"`
	Parent      Parent       `json:"parent"`
	DataCentres []DataCentre `json:"data_centres"`
	Pools       []Pool       `json:"pools"`
	Routes      []Route      `json:"routes"`
	Teams       []Team       `json:"teams"`
}

// Parent names the document that this one was edited from; it lets the console detect concurrent edits.
type Parent struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// State says whether a data centre or an upstream takes new work.
type State string

// The states of data centres and upstreams.
const (
	StateIn  State = "in"
	StateOut State = "out"
)

// DataCentre lists the entry hosts of one data centre. Each listed host is a seat: it holds a fixed part of each rate.
type DataCentre struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	Hosts []Host `json:"hosts"`
}

// Host is one entry host.
type Host struct {
	Name          string `json:"name"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	// Retired is the operator's word that the host's process is stopped and will not run again under this name.
	Retired bool `json:"retired,omitempty"`
}

// PoolKind tells model engines from plain services.
type PoolKind string

// The kinds of pool.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name  string   `json:"name"`
	Kind  PoolKind `json:"kind"`
	Model string   `json:"model,omitempty"`
	// NearFirst prefers upstreams of the entry host's own data centre.
	NearFirst bool `json:"near_first,omitempty"`
	// LoadFactor bounds an upstream's load to this multiple of the pool's mean load.
	LoadFactor float64    `json:"load_factor"`
	Upstreams  []Upstream `json:"upstreams"`
}

// Upstream is one model engine or plain server.
type Upstream struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      State  `json:"state"`
	// Capacity is the number of requests that the upstream runs at once without queueing.
	Capacity int `json:"capacity"`
}

// Route maps a path prefix to a pool.
type Route struct {
	Name    string   `json:"name"`
	Path    string   `json:"path"`
	Methods []string `json:"methods"`
	Pool    string   `json:"pool"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Repeatable routes may run more than once; all others demand an issued idempotency key.
	Repeatable bool `json:"repeatable,omitempty"`
	// Teams limits the route to these teams; empty means every team.
	Teams []string `json:"teams,omitempty"`
}

// Team is one customer of the fleet.
type Team struct {
	Name string `json:"name"`
	// RatePerSecond and Burst count requests over the whole fleet.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// Weight is the team's part in fair queueing; 0 means 1.
	Weight int   `json:"weight,omitempty"`
	Keys   []Key `json:"keys"`
}

// Key is the hash of one of a team's keys; the key itself is never in the document.
type Key struct {
	ID       string     `json:"id"`
	SHA256   string     `json:"sha256"`
	NotAfter *time.Time `json:"not_after,omitempty"`
}

// HashKey returns the lower-case hexadecimal SHA-256 of a caller's key, as stored in Key.SHA256.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Parse decodes and validates raw. Unknown fields, oversized values and every problem found by Validate are errors.
func Parse(raw []byte) (*Snapshot, error) {
	if len(raw) > MaxBytes {
		return nil, errors.Errorf("document has %d bytes, limit is %d", len(raw), MaxBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var doc Document
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	if dec.More() {
		return nil, errors.New("decode document: data after the JSON object")
	}
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return NewSnapshot(&doc)
}

// Inspect decodes raw as strictly as an operator wants it and returns every problem at once. The snapshot is nil if there
// is any. Parse, which routers use, accepts all that Inspect accepts.
func Inspect(raw []byte) (*Snapshot, []Problem) {
	if len(raw) > MaxBytes {
		return nil, []Problem{{Field: "(file)", Value: fmt.Sprintf("%d bytes", len(raw)), Want: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	var doc Document
	problems := strictjson.Decode(raw, &doc)
	found := map[string]bool{}
	for _, p := range problems {
		found[p.Field] = true
	}
	var invalid *ValidationError
	if errors.As(doc.Validate(), &invalid) {
		for _, p := range invalid.Problems {
			if !found[p.Field] {
				problems = append(problems, p)
			}
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	snap, err := NewSnapshot(&doc)
	if err != nil {
		return nil, []Problem{{Field: "(file)", Want: err.Error()}}
	}
	return snap, nil
}

// Encode returns the canonical form of the document, the one that its hash covers.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return append(raw, '\n'), nil
}
