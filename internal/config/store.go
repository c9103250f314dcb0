// Package config holds the configuration document in force. The highest version ever offered wins and no version is
// ever reverted; two documents of one version are settled by their hash, the same on every host.
package config

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/document"
)

// Verdict is what the store did with an offered document.
type Verdict string

// The verdicts.
const (
	Applied  Verdict = "applied"
	Same     Verdict = "same"
	Older    Verdict = "older"
	Conflict Verdict = "conflict"
	Broken   Verdict = "broken"
)

// historyLimit is the number of applied versions that the store remembers for its state dump.
const historyLimit = 64

// Record is one applied document in the state dump.
type Record struct {
	Version uint64    `json:"version"`
	Hash    string    `json:"hash"`
	Source  string    `json:"source"`
	At      time.Time `json:"at"`
}

// Store holds the document in force. Its methods are safe for concurrent use.
type Store struct {
	clock clockwork.Clock
	log   zerolog.Logger

	mu        sync.RWMutex
	current   *document.Snapshot
	history   []Record
	conflicts uint64
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock, log zerolog.Logger) *Store {
	return &Store{clock: clock, log: log, changed: make(chan struct{})}
}

// Current returns the document in force, or nil before the first one.
func (s *Store) Current() *document.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// Changed returns a channel that is closed when the document in force changes.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Offer parses raw and applies it if it is newer than the document in force. Source names the peer or the platform.
// A document that does not parse is an error and leaves the one in force untouched.
func (s *Store) Offer(raw []byte, source string) (Verdict, error) {
	snap, err := document.Parse(raw)
	if err != nil {
		s.log.Error().Str("event", "document-refused").Str("source", source).Err(err).Send()
		return Broken, errors.Wrapf(err, "offer from %s", source)
	}
	verdict := s.apply(snap, source)
	if verdict == Applied || verdict == Conflict {
		s.log.Info().Str("event", "document-"+string(verdict)).Str("source", source).
			Uint64("version", snap.Version).Str("hash", snap.Hash).Send()
	}
	return verdict, nil
}

func (s *Store) apply(snap *document.Snapshot, source string) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := Compare(s.current, snap.Version, snap.Hash)
	switch {
	case verdict == Conflict:
		s.conflicts++
		if snap.Hash < s.current.Hash {
			return Conflict
		}
	case verdict != Applied:
		return verdict
	}
	s.current = snap
	s.remember(Record{Version: snap.Version, Hash: snap.Hash, Source: source, At: s.clock.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return verdict
}

func (s *Store) remember(r Record) {
	s.history = append(s.history, r)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
}

// Compare says what offering (version, hash) to a store that holds current would mean.
// In a conflict the document with the greater hash wins.
func Compare(current *document.Snapshot, version uint64, hash string) Verdict {
	switch {
	case current == nil || version > current.Version:
		return Applied
	case version < current.Version:
		return Older
	case hash == current.Hash:
		return Same
	default:
		return Conflict
	}
}

// State is the store's section of the state dump.
type State struct {
	Version   uint64   `json:"version"`
	Hash      string   `json:"hash"`
	Conflicts uint64   `json:"conflicts"`
	History   []Record `json:"history"`
}

// State returns a copy of the store's state.
func (s *Store) State() State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st := State{Conflicts: s.conflicts, History: append([]Record(nil), s.history...)}
	if s.current != nil {
		st.Version = s.current.Version
		st.Hash = s.current.Hash
	}
	return st
}
