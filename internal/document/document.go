// Package document defines the configuration document of a fleet: one JSON object that operators publish to the
// configuration platform and that every router applies. The console, oriolectl and the router all use this package to
// parse, validate and hash it.
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

// SchemaVersion is the only document schema version that this build accepts.
const SchemaVersion = 1

// MaxBytes is the maximum size of an encoded document; the platform stores no larger value.
const MaxBytes = 1 << 20

// Document is the complete configuration of one fleet.
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

// Parent identifies the document from which this one was edited. The console uses it to detect concurrent edits.
type Parent struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// State is the administrative state of a data centre or an upstream: whether it accepts new requests.
type State string

// The states of data centres and upstreams.
const (
	StateIn  State = "in"
	StateOut State = "out"
)

// DataCentre lists the entry hosts of one data centre, which run the routers. Each listed host holds a fixed share of each
// team's rate limit.
type DataCentre struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	Hosts []Host `json:"hosts"`
}

// Host is an entry host: a host that runs a router and accepts callers' requests.
type Host struct {
	Name          string `json:"name"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	// Retired is set by the operator to declare that the router process on this host is stopped and will never run again
	// under this name.
	Retired bool `json:"retired,omitempty"`
}

// PoolKind distinguishes pools of model engines from pools of plain services.
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
	// NearFirst prefers upstreams in the same data centre as the entry host.
	NearFirst bool `json:"near_first,omitempty"`
	// LoadFactor limits an upstream's load to this multiple of the pool's mean load.
	LoadFactor float64    `json:"load_factor"`
	Upstreams  []Upstream `json:"upstreams"`
}

// Upstream is one model engine or plain server of a pool.
type Upstream struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      State  `json:"state"`
	// Capacity is the number of requests that the upstream processes concurrently without queueing.
	Capacity int `json:"capacity"`
}

// Route maps a path prefix to a pool.
type Route struct {
	Name    string   `json:"name"`
	Path    string   `json:"path"`
	Methods []string `json:"methods"`
	Pool    string   `json:"pool"`
	// Open routes accept requests without an API key.
	Open bool `json:"open,omitempty"`
	// Repeatable marks requests that may be executed more than once. All other routes require an idempotency key that was
	// issued by a router.
	Repeatable bool `json:"repeatable,omitempty"`
	// Teams restricts the route to these teams; an empty list allows all teams.
	Teams []string `json:"teams,omitempty"`
}

// Team is one tenant of the fleet, with its rate limit and API keys.
type Team struct {
	Name string `json:"name"`
	// RatePerSecond and Burst limit the team's requests across the whole fleet.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// Weight is the team's weight in fair queueing; 0 means 1.
	Weight int   `json:"weight,omitempty"`
	Keys   []Key `json:"keys"`
}

// Key describes one API key of a team. The document holds only the hash of the secret, never the secret itself.
type Key struct {
	ID       string     `json:"id"`
	SHA256   string     `json:"sha256"`
	NotAfter *time.Time `json:"not_after,omitempty"`
}

// HashKey returns the SHA-256 of an API key in lower-case hexadecimal, as stored in Key.SHA256.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Parse decodes and validates raw. It returns an error if raw is larger than MaxBytes, has an unknown field or fails
// Validate.
func Parse(raw []byte) (*Snapshot, error) {
	if len(raw) > MaxBytes {
		return nil, errors.Errorf("document has %d bytes, the limit is %d", len(raw), MaxBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var doc Document
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	if dec.More() {
		return nil, errors.New("decode document: unexpected data after the JSON object")
	}
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return NewSnapshot(&doc)
}

// Inspect decodes and validates raw for operators' tools. It is stricter than Parse, which routers use: Parse accepts all
// that Inspect accepts. It returns all problems at once; the snapshot is nil if there are any.
func Inspect(raw []byte) (*Snapshot, []Problem) {
	if len(raw) > MaxBytes {
		return nil, []Problem{{Field: "(file)", Value: fmt.Sprintf("%d bytes", len(raw)), Want: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	var doc Document
	problems := strictjson.Decode(raw, &doc)
	reported := map[string]bool{}
	for _, p := range problems {
		reported[p.Field] = true
	}
	var invalid *ValidationError
	if errors.As(doc.Validate(), &invalid) {
		for _, p := range invalid.Problems {
			if !reported[p.Field] {
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

// Encode returns the canonical encoding of the document, over which its hash is computed.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return append(raw, '\n'), nil
}
