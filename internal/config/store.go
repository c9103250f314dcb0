// Package config holds the configuration document in force. The highest version ever offered is in force, and no older
// version ever replaces it. Of two documents with the same version every host uses the one with the greater hash.
package config

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/document"
)

// OfferResult is what the store did with an offered document.
type OfferResult string

// The possible results of an offer.
const (
	Applied   OfferResult = "applied"
	Unchanged OfferResult = "same"
	Older     OfferResult = "older"
	Conflict  OfferResult = "conflict"
	Invalid   OfferResult = "broken"
)

// historyLimit is the number of applied versions that the store keeps for its state dump.
const historyLimit = 64

// HistoryEntry describes one applied document in the state dump.
type HistoryEntry struct {
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
	history   []HistoryEntry
	conflicts uint64
	conflict  *ConflictRecord
	refused   *RefusedDocument
	changed   chan struct{}
}

// ConflictRecord describes two different documents that were published with the same version. Every host uses the one
// with the greater hash; the operator of the other one has to publish again.
type ConflictRecord struct {
	Version uint64    `json:"version"`
	Winner  string    `json:"winner"`
	Loser   string    `json:"loser"`
	Source  string    `json:"source"`
	At      time.Time `json:"at"`
}

// RefusedDocument describes the last document that could not be parsed.
type RefusedDocument struct {
	Source string    `json:"source"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
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

// Offer parses raw and applies it if it supersedes the document in force. Source names the peer or the platform. If raw
// cannot be parsed, Offer returns an error and the document in force remains.
func (s *Store) Offer(raw []byte, source string) (OfferResult, error) {
	result, _, err := s.OfferVersion(raw, source)
	return result, err
}

// OfferVersion is like Offer but also returns the version of the offered document.
func (s *Store) OfferVersion(raw []byte, source string) (OfferResult, uint64, error) {
	snap, err := document.Parse(raw)
	if err != nil {
		s.log.Error().Str("event", "document-refused").Str("source", source).Err(err).Send()
		s.recordRefused(source, err)
		return Invalid, 0, errors.Wrapf(err, "parse document offered by %s", source)
	}
	result := s.apply(snap, source)
	if result == Applied {
		s.log.Info().Str("event", "document-applied").Str("source", source).
			Uint64("version", snap.Version).Str("hash", snap.Hash).Send()
	}
	return result, snap.Version, nil
}

func (s *Store) apply(snap *document.Snapshot, source string) OfferResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := Compare(s.current, snap.Version, snap.Hash)
	switch {
	case result == Conflict:
		s.recordConflict(snap.Version, snap.Hash, source)
		if snap.Hash < s.current.Hash {
			return Conflict
		}
	case result != Applied:
		return result
	}
	s.current = snap
	s.appendHistory(HistoryEntry{Version: snap.Version, Hash: snap.Hash, Source: source, At: s.clock.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return result
}

func (s *Store) recordRefused(source string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = &RefusedDocument{Source: source, Reason: err.Error(), At: s.clock.Now()}
}

// RecordConflict records that a peer has a document with the version in force but a different hash.
func (s *Store) RecordConflict(version uint64, hash, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if Compare(s.current, version, hash) == Conflict {
		s.recordConflict(version, hash, source)
	}
}

// recordConflict counts each pair of documents once, however often it is offered in a row. The caller holds mu.
func (s *Store) recordConflict(version uint64, hash, source string) {
	winner, loser := max(hash, s.current.Hash), min(hash, s.current.Hash)
	if c := s.conflict; c != nil && c.Version == version && c.Winner == winner && c.Loser == loser {
		return
	}
	s.conflicts++
	s.conflict = &ConflictRecord{Version: version, Winner: winner, Loser: loser, Source: source, At: s.clock.Now()}
	s.log.Error().Str("event", "document-conflict").Str("source", source).Uint64("version", version).
		Str("winner", winner).Str("loser", loser).Send()
}

func (s *Store) appendHistory(r HistoryEntry) {
	s.history = append(s.history, r)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
}

// Compare returns the result of offering (version, hash) to a store that holds current. In a conflict the document with
// the greater hash wins.
func Compare(current *document.Snapshot, version uint64, hash string) OfferResult {
	switch {
	case current == nil || version > current.Version:
		return Applied
	case version < current.Version:
		return Older
	case hash == current.Hash:
		return Unchanged
	default:
		return Conflict
	}
}

// State is the store's section of the state dump.
type State struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// Conflicts counts the pairs of different documents with the same version; Conflict is the last one.
	Conflicts uint64          `json:"conflicts"`
	Conflict  *ConflictRecord `json:"conflict,omitempty"`
	// Refused is the last document that could not be parsed.
	Refused *RefusedDocument `json:"refused,omitempty"`
	History []HistoryEntry   `json:"history"`
}

// State returns a copy of the store's state.
func (s *Store) State() State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st := State{Conflicts: s.conflicts, Conflict: s.conflict, Refused: s.refused, History: append([]HistoryEntry(nil), s.history...)}
	if s.current != nil {
		st.Version = s.current.Version
		st.Hash = s.current.Hash
	}
	return st
}
