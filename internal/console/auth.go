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
	// bcryptCost is the bcrypt cost of new hashes.
	bcryptCost = 12
	// minPasswordBytes and maxPasswordBytes limit the length of a new password; bcrypt accepts at most 72 bytes.
	minPasswordBytes = 12
	maxPasswordBytes = 72
	// maxConcurrentLogins limits the number of passwords that are checked concurrently.
	maxConcurrentLogins = 2
	// failedLoginDelay is how long a failed login keeps its slot, which limits the rate of password guesses.
	failedLoginDelay = time.Second
)

// HashPassword reads a password from the first line of in and writes its bcrypt hash to out.
func HashPassword(in io.Reader, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Scan()
	password := scanner.Bytes()
	if len(password) < minPasswordBytes || len(password) > maxPasswordBytes {
		return errors.Errorf("the password has %d bytes, want %d to %d", len(password), minPasswordBytes, maxPasswordBytes)
	}
	hash, err := bcrypt.GenerateFromPassword(password, bcryptCost)
	if err != nil {
		return errors.Wrap(err, "hash password")
	}
	fmt.Fprintln(out, string(hash))
	return nil
}

// loginResult is the result of a password check.
type loginResult int

const (
	loginRejected loginResult = iota
	loginAccepted
	loginThrottled
)

// authenticator checks operators' passwords and limits the rate of attempts.
type authenticator struct {
	hashes map[string][]byte
	slots  chan struct{}
	clock  clockwork.Clock
}

func newAuthenticator(operators []settings.Operator, clock clockwork.Clock) *authenticator {
	a := &authenticator{hashes: map[string][]byte{}, slots: make(chan struct{}, maxConcurrentLogins), clock: clock}
	for _, o := range operators {
		a.hashes[o.User] = []byte(o.Bcrypt)
	}
	return a
}

// checkPassword checks the password of a user. For an unknown user it compares with the hash of another one, so that timing
// does not reveal which users exist. A failed check keeps its slot for failedLoginDelay.
func (a *authenticator) checkPassword(ctx context.Context, user, password string) loginResult {
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		return loginThrottled
	}
	hash, known := a.hashes[user]
	if !known {
		hash = a.anyHash()
	}
	if bcrypt.CompareHashAndPassword(hash, []byte(password)) == nil && known {
		return loginAccepted
	}
	select {
	case <-a.clock.After(failedLoginDelay):
	case <-ctx.Done():
	}
	return loginRejected
}

func (a *authenticator) anyHash() []byte {
	for _, hash := range a.hashes {
		return hash
	}
	return nil
}

// cookieName is the name of the cookie that holds the session ID.
const cookieName = "oriole_console"

func (c *Console) cookie(id string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Value: id, Path: "/", MaxAge: maxAge, HttpOnly: true, Secure: !c.settings.TLS.Plaintext,
		SameSite: http.SameSiteStrictMode,
	}
}

func (c *Console) sessionFromRequest(r *http.Request) (string, *session) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return "", nil
	}
	return cookie.Value, c.sessions.get(cookie.Value)
}

// validToken reports whether the form carries the CSRF token of the session.
func validToken(s *session, r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(r.PostFormValue("csrf")), []byte(s.csrf)) == 1
}

func (c *Console) renderLogin(w http.ResponseWriter, status int, problem string) {
	c.render(w, status, "login", &page{Title: "Log in", Problem: problem})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		c.renderLogin(w, http.StatusOK, "")
		return
	}
	user := r.PostFormValue("user")
	switch c.authenticator.checkPassword(r.Context(), user, r.PostFormValue("password")) {
	case loginThrottled:
		c.renderLogin(w, http.StatusTooManyRequests, "Too many logins at once. Try again in a moment.")
	case loginRejected:
		c.failedLogins.Inc(1)
		// The user name is not logged because an operator may have typed the password into that field.
		c.log.Warn().Str("event", "login-failed").Str("peer", r.RemoteAddr).Send()
		c.renderLogin(w, http.StatusUnauthorized, "User or password is wrong.")
	case loginAccepted:
		c.startSession(w, r, user)
	}
}

func (c *Console) startSession(w http.ResponseWriter, r *http.Request, user string) {
	id := c.sessions.create(user)
	if id == "" {
		c.renderLogin(w, http.StatusServiceUnavailable, "Too many sessions are open. Try again later.")
		return
	}
	c.log.Info().Str("event", "login").Str("user", user).Str("peer", r.RemoteAddr).Send()
	http.SetCookie(w, c.cookie(id, 0))
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request, s *session) {
	id, _ := c.sessionFromRequest(r)
	c.sessions.delete(id)
	c.log.Info().Str("event", "logout").Str("user", s.user).Send()
	http.SetCookie(w, c.cookie("", -1))
	http.Redirect(w, r, "/login", http.StatusSeeOther)
}
