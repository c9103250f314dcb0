package console

import (
	"crypto/rand"
	"encoding/base64"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// session is one operator's login with its draft. Its fields other than user and csrf are guarded by mu.
type session struct {
	user string
	// csrf must come back with each form.
	csrf    string
	started time.Time

	mu    sync.Mutex
	draft *draft
	// notice is shown on the next page.
	notice string
}

// sessions holds the sessions in memory. It is safe for concurrent use.
type sessions struct {
	clock  clockwork.Clock
	limits settings.Sessions

	mu     sync.Mutex
	byID   map[string]*session
	usedAt map[string]time.Time
}

func newSessions(limits settings.Sessions, clock clockwork.Clock) *sessions {
	return &sessions{clock: clock, limits: limits, byID: map[string]*session{}, usedAt: map[string]time.Time{}}
}

// newToken returns 256 random bits as text.
func newToken() string {
	const tokenBytes = 32
	raw := make([]byte, tokenBytes)
	// crypto/rand.Read never fails; it ends the process if the system has no randomness.
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// open starts a session and returns its id, or "" if there are too many.
func (s *sessions) open(user string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(s.byID) >= s.limits.Max {
		return ""
	}
	id, now := newToken(), s.clock.Now()
	s.byID[id] = &session{user: user, csrf: newToken(), started: now}
	s.usedAt[id] = now
	return id
}

// get returns the session, or nil if there is none, and marks it as used.
func (s *sessions) get(id string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found := s.byID[id]
	if found != nil {
		s.usedAt[id] = s.clock.Now()
	}
	return found
}

func (s *sessions) close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id)
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return len(s.byID)
}

// expire removes the sessions whose time is over. The caller holds mu.
func (s *sessions) expire() {
	now := s.clock.Now()
	for id, one := range s.byID {
		idle, age := now.Sub(s.usedAt[id]), now.Sub(one.started)
		if idle >= s.limits.Idle.Std() || age >= s.limits.Lifetime.Std() {
			s.remove(id)
		}
	}
}

// remove forgets a session. The caller holds mu.
func (s *sessions) remove(id string) {
	delete(s.byID, id)
	delete(s.usedAt, id)
}
