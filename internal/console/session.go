package console

import (
	"crypto/rand"
	"encoding/base64"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// session is the session of a logged-in operator, with the draft. The fields user, csrf and started are immutable; mu guards
// the others.
type session struct {
	user string
	// csrf is the token that each form must carry.
	csrf    string
	started time.Time

	mu    sync.Mutex
	draft *draft
	// notice is a message to show on the next page.
	notice string
}

// sessionStore holds the sessions in memory. It is safe for concurrent use.
type sessionStore struct {
	clock  clockwork.Clock
	limits settings.Sessions

	mu       sync.Mutex
	byID     map[string]*session
	lastUsed map[string]time.Time
}

func newSessionStore(limits settings.Sessions, clock clockwork.Clock) *sessionStore {
	return &sessionStore{clock: clock, limits: limits, byID: map[string]*session{}, lastUsed: map[string]time.Time{}}
}

// newToken returns 256 random bits in base64.
func newToken() string {
	const tokenBytes = 32
	raw := make([]byte, tokenBytes)
	// crypto/rand.Read never returns an error; it crashes the process if the system's random source fails.
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// create creates a session and returns its ID, or "" if the limit of open sessions is reached.
func (s *sessionStore) create(user string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpired()
	if len(s.byID) >= s.limits.Max {
		return ""
	}
	id, now := newToken(), s.clock.Now()
	s.byID[id] = &session{user: user, csrf: newToken(), started: now}
	s.lastUsed[id] = now
	return id
}

// get returns the session, or nil if there is none, and updates its time of last use.
func (s *sessionStore) get(id string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpired()
	found := s.byID[id]
	if found != nil {
		s.lastUsed[id] = s.clock.Now()
	}
	return found
}

func (s *sessionStore) delete(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(id)
}

func (s *sessionStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpired()
	return len(s.byID)
}

// deleteExpired deletes the sessions that exceed the idle timeout or the lifetime. The caller holds mu.
func (s *sessionStore) deleteExpired() {
	now := s.clock.Now()
	for id, sess := range s.byID {
		idle, age := now.Sub(s.lastUsed[id]), now.Sub(sess.started)
		if idle >= s.limits.Idle.Std() || age >= s.limits.Lifetime.Std() {
			s.deleteLocked(id)
		}
	}
}

// deleteLocked deletes a session. The caller holds mu.
func (s *sessionStore) deleteLocked(id string) {
	delete(s.byID, id)
	delete(s.lastUsed, id)
}
