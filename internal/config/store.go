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

// OfferResult is what the store did with an offered document.
type OfferResult string

// The verdicts.
const (
	Applied   OfferResult = "applied"
	Unchanged OfferResult = "same"
	Older     OfferResult = "older"
	Conflict  OfferResult = "conflict"
	Invalid   OfferResult = "broken"
)

// historyLimit is the number of applied versions that the store remembers for its state dump.
const historyLimit = 64

// HistoryEntry is one applied document in the state dump.
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

// ConflictRecord says that two different documents of one version were published. The one with the greater hash wins
// on every host; the other operator has to publish again.
type ConflictRecord struct {
	Version uint64    `json:"version"`
	Winner  string    `json:"winner"`
	Loser   string    `json:"loser"`
	Source  string    `json:"source"`
	At      time.Time `json:"at"`
}

// RefusedDocument is the last document that could not be read.
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

// Offer parses raw and applies it if it is newer than the document in force. Source names the peer or the platform.
// A document that does not parse is an error and leaves the one in force untouched.
func (s *Store) Offer(raw []byte, source string) (OfferResult, error) {
	verdict, _, err := s.OfferVersion(raw, source)
	return verdict, err
}

// OfferVersion is Offer that also returns the version of the offered document.
func (s *Store) OfferVersion(raw []byte, source string) (OfferResult, uint64, error) {
	snap, err := document.Parse(raw)
	if err != nil {
		s.log.Error().Str("event", "document-refused").Str("source", source).Err(err).Send()
		s.noteRefused(source, err)
		return Invalid, 0, errors.Wrapf(err, "offer from %s", source)
	}
	verdict := s.apply(snap, source)
	if verdict == Applied {
		s.log.Info().Str("event", "document-applied").Str("source", source).
			Uint64("version", snap.Version).Str("hash", snap.Hash).Send()
	}
	return verdict, snap.Version, nil
}

func (s *Store) apply(snap *document.Snapshot, source string) OfferResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := Compare(s.current, snap.Version, snap.Hash)
	switch {
	case verdict == Conflict:
		s.noteConflict(snap.Version, snap.Hash, source)
		if snap.Hash < s.current.Hash {
			return Conflict
		}
	case verdict != Applied:
		return verdict
	}
	s.current = snap
	s.remember(HistoryEntry{Version: snap.Version, Hash: snap.Hash, Source: source, At: s.clock.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return verdict
}

func (s *Store) noteRefused(source string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = &RefusedDocument{Source: source, Reason: err.Error(), At: s.clock.Now()}
}

// RecordConflict reports a document of the version in force whose hash differs, as a peer told of it.
func (s *Store) RecordConflict(version uint64, hash, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if Compare(s.current, version, hash) == Conflict {
		s.noteConflict(version, hash, source)
	}
}

// noteConflict counts each pair of documents once. The caller holds mu.
func (s *Store) noteConflict(version uint64, hash, source string) {
	winner, loser := max(hash, s.current.Hash), min(hash, s.current.Hash)
	if c := s.conflict; c != nil && c.Version == version && c.Winner == winner && c.Loser == loser {
		return
	}
	s.conflicts++
	s.conflict = &ConflictRecord{Version: version, Winner: winner, Loser: loser, Source: source, At: s.clock.Now()}
	s.log.Error().Str("event", "document-conflict").Str("source", source).Uint64("version", version).
		Str("winner", winner).Str("loser", loser).Send()
}

func (s *Store) remember(r HistoryEntry) {
	s.history = append(s.history, r)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
}

// Compare says what offering (version, hash) to a store that holds current would mean.
// In a conflict the document with the greater hash wins.
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
	// Conflicts counts the pairs of different documents of one version; Conflict is the last one.
	Conflicts uint64          `json:"conflicts"`
	Conflict  *ConflictRecord `json:"conflict,omitempty"`
	// Refused is the last document that could not be read.
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
