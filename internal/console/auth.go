package console

import (
	"bufio"
	"context"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/crypto/bcrypt"

	"github.com/orioleusher/orioleusher/internal/settings"
)

const (
	// passwordCost is the bcrypt cost of new hashes.
	passwordCost = 12
	// minPassword and maxPassword bound a new password, in bytes; bcrypt reads no more than the latter.
	minPassword = 12
	maxPassword = 72
	// loginSlots is the number of passwords that are checked at once.
	loginSlots = 2
	// failedDelay keeps a slot taken after a wrong password, which bounds the rate of guesses.
	failedDelay = time.Second
)

// HashPassword reads a password from the first line of in and writes its bcrypt hash to out.
func HashPassword(in io.Reader, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Scan()
	password := scanner.Bytes()
	if len(password) < minPassword || len(password) > maxPassword {
		return errors.Errorf("the password has %d bytes, want %d to %d", len(password), minPassword, maxPassword)
	}
	hash, err := bcrypt.GenerateFromPassword(password, passwordCost)
	if err != nil {
		return errors.Wrap(err, "hash password")
	}
	fmt.Fprintln(out, string(hash))
	return nil
}

// verdict is the result of a login.
type verdict int

const (
	loginWrong verdict = iota
	loginRight
	loginBusy
)

// gate checks operators' passwords.
type gate struct {
	hashes map[string][]byte
	slots  chan struct{}
	clock  clockwork.Clock
}

func newGate(operators []settings.Operator, clock clockwork.Clock) *gate {
	g := &gate{hashes: map[string][]byte{}, slots: make(chan struct{}, loginSlots), clock: clock}
	for _, o := range operators {
		g.hashes[o.User] = []byte(o.Bcrypt)
	}
	return g
}

// check compares the password. An unknown user takes as long as a known one, and every wrong password keeps its slot
// for failedDelay.
func (g *gate) check(ctx context.Context, user, password string) verdict {
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
	default:
		return loginBusy
	}
	hash, known := g.hashes[user]
	if !known {
		hash = g.anyHash()
	}
	if bcrypt.CompareHashAndPassword(hash, []byte(password)) == nil && known {
		return loginRight
	}
	select {
	case <-g.clock.After(failedDelay):
	case <-ctx.Done():
	}
	return loginWrong
}

func (g *gate) anyHash() []byte {
	for _, hash := range g.hashes {
		return hash
	}
	return nil
}

// cookieName is the cookie that holds the session's id.
const cookieName = "oriole_console"

func (c *Console) cookie(id string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Value: id, Path: "/", MaxAge: maxAge, HttpOnly: true, Secure: !c.settings.TLS.Plaintext,
		SameSite: http.SameSiteStrictMode,
	}
}

func (c *Console) sessionOf(r *http.Request) (string, *session) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return "", nil
	}
	return cookie.Value, c.sessions.get(cookie.Value)
}

// validToken reports whether the form came from a page of this session.
func validToken(s *session, r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(r.PostFormValue("csrf")), []byte(s.csrf)) == 1
}

func (c *Console) showLogin(w http.ResponseWriter, status int, problem string) {
	c.render(w, status, "login", &page{Title: "Log in", Problem: problem})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		c.showLogin(w, http.StatusOK, "")
		return
	}
	user := r.PostFormValue("user")
	switch c.gate.check(r.Context(), user, r.PostFormValue("password")) {
	case loginBusy:
		c.showLogin(w, http.StatusTooManyRequests, "Too many logins at once. Try again in a moment.")
	case loginWrong:
		c.failedLogins.Inc(1)
		// What was typed as a user may be a password, so it is not logged.
		c.log.Warn().Str("event", "login-failed").Str("peer", r.RemoteAddr).Send()
		c.showLogin(w, http.StatusUnauthorized, "User or password is wrong.")
	case loginRight:
		c.openSession(w, r, user)
	}
}

func (c *Console) openSession(w http.ResponseWriter, r *http.Request, user string) {
	id := c.sessions.open(user)
	if id == "" {
		c.showLogin(w, http.StatusServiceUnavailable, "Too many sessions are open. Try again later.")
		return
	}
	c.log.Info().Str("event", "login").Str("user", user).Str("peer", r.RemoteAddr).Send()
	http.SetCookie(w, c.cookie(id, 0))
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request, s *session) {
	id, _ := c.sessionOf(r)
	c.sessions.close(id)
	c.log.Info().Str("event", "logout").Str("user", s.user).Send()
	http.SetCookie(w, c.cookie("", -1))
	http.Redirect(w, r, "/login", http.StatusSeeOther)
}
