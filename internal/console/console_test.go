package console

import (
	"context"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/crypto/bcrypt"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
)

const password = "a long enough password"

// passwordHash is the cheapest hash of password.
var passwordHash = sync.OnceValue(func() string {
	hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.MinCost)
	if err != nil {
		panic(err)
	}
	return string(hash)
})

// desk is a console in front of a document file.
type desk struct {
	t     *testing.T
	file  string
	url   string
	clock *clockwork.FakeClock
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	d := &desk{t: t, file: filepath.Join(t.TempDir(), "document.json"), clock: clockwork.NewFakeClock()}
	raw, err := os.ReadFile("../../deploy/lobue/document.json")
	if err != nil {
		t.Fatal(err)
	}
	d.publish(raw)
	hash := passwordHash()
	s := &settings.Console{
		DocumentFile: d.file, TLS: settings.ConsoleTLS{Plaintext: true},
		Operators: []settings.Operator{{User: "anna", Bcrypt: hash}, {User: "bruno", Bcrypt: hash}},
		Sessions:  settings.Sessions{Idle: settings.Duration(30 * time.Minute), Lifetime: settings.Duration(time.Hour), Max: 2},
	}
	server := httptest.NewServer(New(s, d.clock, zerolog.Nop()).Handler())
	t.Cleanup(server.Close)
	d.url = server.URL
	return d
}

func (d *desk) publish(raw []byte) {
	d.t.Helper()
	if err := os.WriteFile(d.file, raw, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// operator is one browser.
type operator struct {
	d    *desk
	http *http.Client
	csrf string
}

func (d *desk) stranger() *operator {
	jar, err := cookiejar.New(nil)
	if err != nil {
		d.t.Fatal(err)
	}
	return &operator{d: d, http: &http.Client{Jar: jar, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

func (d *desk) login(user string) *operator {
	d.t.Helper()
	o := d.stranger()
	status, _ := o.send(http.MethodPost, "/login", url.Values{"user": {user}, "password": {password}}, nil)
	if status != http.StatusSeeOther {
		d.t.Fatalf("login: status %d", status)
	}
	_, text := o.get("/")
	o.csrf = regexp.MustCompile(`name="csrf" value="([^"]+)"`).FindStringSubmatch(text)[1]
	return o
}

func (o *operator) send(method, path string, values url.Values, header http.Header) (int, string) {
	o.d.t.Helper()
	req, err := http.NewRequest(method, o.d.url+path, strings.NewReader(values.Encode()))
	if err != nil {
		o.d.t.Fatal(err)
	}
	for name, value := range header {
		req.Header[name] = value
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	resp, err := o.http.Do(req)
	if err != nil {
		o.d.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		o.d.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func (o *operator) get(path string) (int, string) { return o.send(http.MethodGet, path, nil, nil) }

// post sends a form with the session's token.
func (o *operator) post(path string, pairs ...string) (int, string) {
	values := url.Values{"csrf": {o.csrf}}
	for i := 0; i < len(pairs); i += 2 {
		values.Set(pairs[i], pairs[i+1])
	}
	return o.send(http.MethodPost, path, values, nil)
}

func TestNothingIsSeenWithoutALogin(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	o := d.stranger()
	for _, view := range views {
		status, text := o.get(view.path)
		is.New(t).Equal(status, http.StatusSeeOther)
		is.New(t).True(!strings.Contains(text, "lobue"))
	}
	for path := range allForms() {
		status, _ := o.post(path)
		is.New(t).Equal(status, http.StatusSeeOther) // to the login
	}
}

// allForms returns the path of each form with its variables filled in.
func allForms() map[string]bool {
	fill := strings.NewReplacer("{team}", "mills", "{key}", "demo", "{dc}", "acireale", "{host}", "acireale-1",
		"{pool}", "quotes", "{up}", "engine-1", "{route}", "chat")
	paths := map[string]bool{"/draft/restart": true, "/draft/download": true, "/teams/mills/keys/add": true, "/logout": true}
	for path := range edits {
		paths[fill.Replace(path)] = true
	}
	return paths
}

func TestFormsOfOtherSitesAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDesk(t)
	o := d.login("anna")
	foreign := http.Header{"Sec-Fetch-Site": {"cross-site"}, "Origin": {"https://elsewhere.example"}}
	for path := range allForms() {
		for _, token := range []string{"", "wrong", o.csrf + "x"} {
			status, _ := o.send(http.MethodPost, path, url.Values{"csrf": {token}}, nil)
			is.Equal(status, http.StatusForbidden)
		}
		status, _ := o.send(http.MethodPost, path, url.Values{"csrf": {o.csrf}}, foreign)
		is.Equal(status, http.StatusForbidden) // even with the token
	}
	status, _ := d.stranger().send(http.MethodPost, "/login", url.Values{"user": {"anna"}, "password": {password}}, foreign)
	is.Equal(status, http.StatusForbidden)
	_, text := o.get("/")
	is.True(strings.Contains(text, "No changes yet"))
}

func TestPagesCarrySecurityHeadersAndTheCookieIsProtected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDesk(t)
	resp, err := http.Get(d.url + "/login")
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(strings.Contains(resp.Header.Get("Content-Security-Policy"), "default-src 'none'"))
	is.Equal(resp.Header.Get("X-Frame-Options"), "DENY")
	is.Equal(resp.Header.Get("Cache-Control"), "no-store")
	is.Equal(resp.Header.Get("X-Content-Type-Options"), "nosniff")
	cookie := (&Console{settings: &settings.Console{}}).cookie("id", 0)
	is.True(cookie.HttpOnly && cookie.Secure && cookie.SameSite == http.SameSiteStrictMode)
}

func TestWrongPasswordsAreRefusedAndSlowed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDesk(t)
	for _, user := range []string{"anna", "nobody"} {
		status := make(chan int)
		go func() {
			code, _ := d.stranger().send(http.MethodPost, "/login", url.Values{"user": {user}, "password": {"wrong"}}, nil)
			status <- code
		}()
		is.NoErr(d.clock.BlockUntilContext(context.Background(), 1))
		select {
		case <-status:
			t.Fatal("answered before the delay")
		default:
		}
		d.clock.Advance(failedDelay)
		is.Equal(<-status, http.StatusUnauthorized)
	}
}

func TestSessionsEndAndAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDesk(t)
	anna := d.login("anna")
	d.login("bruno")
	status, text := d.stranger().send(http.MethodPost, "/login", url.Values{"user": {"anna"}, "password": {password}}, nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "Too many sessions"))
	d.clock.Advance(29 * time.Minute)
	status, _ = anna.get("/") // in use
	is.Equal(status, http.StatusOK)
	d.clock.Advance(29 * time.Minute)
	status, _ = anna.get("/") // bruno's session is idle too long, anna's is not
	is.Equal(status, http.StatusOK)
	d.login("bruno")
	d.clock.Advance(2 * time.Minute)
	status, _ = anna.get("/") // past the lifetime
	is.Equal(status, http.StatusSeeOther)
	bruno := d.login("bruno")
	status, _ = bruno.post("/logout")
	is.Equal(status, http.StatusSeeOther)
	status, _ = bruno.get("/")
	is.Equal(status, http.StatusSeeOther)
}

func TestHashPassword(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out strings.Builder
	is.NoErr(HashPassword(strings.NewReader(password+"\nsecond line"), &out))
	is.NoErr(bcrypt.CompareHashAndPassword([]byte(strings.TrimSpace(out.String())), []byte(password)))
	is.True(HashPassword(strings.NewReader("short\n"), io.Discard) != nil)
	is.True(HashPassword(strings.NewReader(strings.Repeat("x", 73)), io.Discard) != nil)
}

func TestAnOversizedFormIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := newDesk(t).login("anna")
	status, _ := o.post("/teams/mills/save", "burst", strings.Repeat("9", maxFormBytes))
	is.True(status >= http.StatusBadRequest)
	_, text := o.get("/")
	is.True(strings.Contains(text, "No changes yet"))
}

func TestWithoutTheDocumentInForceTheConsoleSaysSo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDesk(t)
	o := d.login("anna")
	status, _ := o.post("/data-centres/acireale/state", "state", "out")
	is.Equal(status, http.StatusSeeOther)
	is.NoErr(os.Remove(d.file))
	status, text := o.get("/")
	is.Equal(status, http.StatusOK) // the draft is still there
	is.True(strings.Contains(text, "cannot be read"))
	is.True(strings.Contains(text, "data_centres[acireale].state"))
	status, _ = o.post("/draft/download") // whether it conflicts is not known
	is.Equal(status, http.StatusServiceUnavailable)
	o = d.stranger()
	o.send(http.MethodPost, "/login", url.Values{"user": {"bruno"}, "password": {password}}, nil)
	status, text = o.get("/teams")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "cannot be read"))
}

// downloaded parses a downloaded document.
func downloaded(t *testing.T, text string) *document.Snapshot {
	t.Helper()
	snap, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatalf("download: %v: %.200s", err, text)
	}
	return snap
}
