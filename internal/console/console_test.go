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

// passwordHash returns a hash of password with the minimum cost, to keep the tests fast.
var passwordHash = sync.OnceValue(func() string {
	hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.MinCost)
	if err != nil {
		panic(err)
	}
	return string(hash)
})

// testConsole is a running console that reads the document in force from a file.
type testConsole struct {
	t     *testing.T
	file  string
	url   string
	clock *clockwork.FakeClock
}

func newTestConsole(t *testing.T) *testConsole {
	t.Helper()
	tc := &testConsole{t: t, file: filepath.Join(t.TempDir(), "document.json"), clock: clockwork.NewFakeClock()}
	raw, err := os.ReadFile("../../deploy/lobue/document.json")
	if err != nil {
		t.Fatal(err)
	}
	tc.writeDocument(raw)
	hash := passwordHash()
	s := &settings.Console{
		DocumentFile: tc.file, TLS: settings.ConsoleTLS{Plaintext: true},
		Operators: []settings.Operator{{User: "anna", Bcrypt: hash}, {User: "bruno", Bcrypt: hash}},
		Sessions:  settings.Sessions{Idle: settings.Duration(30 * time.Minute), Lifetime: settings.Duration(time.Hour), Max: 2},
	}
	server := httptest.NewServer(New(s, tc.clock, zerolog.Nop()).Handler())
	t.Cleanup(server.Close)
	tc.url = server.URL
	return tc
}

func (tc *testConsole) writeDocument(raw []byte) {
	tc.t.Helper()
	if err := os.WriteFile(tc.file, raw, 0o600); err != nil {
		tc.t.Fatal(err)
	}
}

// browser is an HTTP client with its own cookies and, after login, a CSRF token.
type browser struct {
	tc   *testConsole
	http *http.Client
	csrf string
}

func (tc *testConsole) newBrowser() *browser {
	jar, err := cookiejar.New(nil)
	if err != nil {
		tc.t.Fatal(err)
	}
	return &browser{tc: tc, http: &http.Client{Jar: jar, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

func (tc *testConsole) login(user string) *browser {
	tc.t.Helper()
	b := tc.newBrowser()
	status, _ := b.send(http.MethodPost, "/login", url.Values{"user": {user}, "password": {password}}, nil)
	if status != http.StatusSeeOther {
		tc.t.Fatalf("login: status %d", status)
	}
	_, text := b.get("/")
	b.csrf = regexp.MustCompile(`name="csrf" value="([^"]+)"`).FindStringSubmatch(text)[1]
	return b
}

func (b *browser) send(method, path string, values url.Values, header http.Header) (int, string) {
	b.tc.t.Helper()
	req, err := http.NewRequest(method, b.tc.url+path, strings.NewReader(values.Encode()))
	if err != nil {
		b.tc.t.Fatal(err)
	}
	for name, value := range header {
		req.Header[name] = value
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	resp, err := b.http.Do(req)
	if err != nil {
		b.tc.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		b.tc.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func (b *browser) get(path string) (int, string) { return b.send(http.MethodGet, path, nil, nil) }

// post submits a form with the session's CSRF token.
func (b *browser) post(path string, pairs ...string) (int, string) {
	values := url.Values{"csrf": {b.csrf}}
	for i := 0; i < len(pairs); i += 2 {
		values.Set(pairs[i], pairs[i+1])
	}
	return b.send(http.MethodPost, path, values, nil)
}

func TestPagesAndFormsRequireLogin(t *testing.T) {
	t.Parallel()
	tc := newTestConsole(t)
	b := tc.newBrowser()
	for _, view := range views {
		status, text := b.get(view.path)
		is.New(t).Equal(status, http.StatusSeeOther)
		is.New(t).True(!strings.Contains(text, "lobue"))
	}
	for path := range allFormPaths() {
		status, _ := b.post(path)
		is.New(t).Equal(status, http.StatusSeeOther) // to the login
	}
}

// allFormPaths returns the path of each form that requires a session, with the path variables filled in.
func allFormPaths() map[string]bool {
	fill := strings.NewReplacer("{team}", "mills", "{key}", "demo", "{dc}", "acireale", "{host}", "acireale-1",
		"{pool}", "quotes", "{up}", "engine-1", "{route}", "chat")
	paths := map[string]bool{"/draft/restart": true, "/draft/download": true, "/teams/mills/keys/add": true, "/logout": true}
	for path := range editsByPath {
		paths[fill.Replace(path)] = true
	}
	return paths
}

func TestFormsRejectInvalidTokenAndCrossSiteRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tc := newTestConsole(t)
	b := tc.login("anna")
	crossSite := http.Header{"Sec-Fetch-Site": {"cross-site"}, "Origin": {"https://elsewhere.example"}}
	for path := range allFormPaths() {
		for _, token := range []string{"", "wrong", b.csrf + "x"} {
			status, _ := b.send(http.MethodPost, path, url.Values{"csrf": {token}}, nil)
			is.Equal(status, http.StatusForbidden)
		}
		status, _ := b.send(http.MethodPost, path, url.Values{"csrf": {b.csrf}}, crossSite)
		is.Equal(status, http.StatusForbidden) // even with a valid token
	}
	status, _ := tc.newBrowser().send(http.MethodPost, "/login", url.Values{"user": {"anna"}, "password": {password}}, crossSite)
	is.Equal(status, http.StatusForbidden)
	_, text := b.get("/")
	is.True(strings.Contains(text, "No changes yet"))
}

func TestSecurityHeadersAndCookieAttributes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tc := newTestConsole(t)
	resp, err := http.Get(tc.url + "/login")
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(strings.Contains(resp.Header.Get("Content-Security-Policy"), "default-src 'none'"))
	is.Equal(resp.Header.Get("X-Frame-Options"), "DENY")
	is.Equal(resp.Header.Get("Cache-Control"), "no-store")
	is.Equal(resp.Header.Get("X-Content-Type-Options"), "nosniff")
	cookie := (&Console{settings: &settings.Console{}}).cookie("id", 0)
	is.True(cookie.HttpOnly && cookie.Secure && cookie.SameSite == http.SameSiteStrictMode)
}

func TestLoginRejectsWrongPasswordAfterDelay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tc := newTestConsole(t)
	for _, user := range []string{"anna", "nobody"} {
		status := make(chan int)
		go func() {
			code, _ := tc.newBrowser().send(http.MethodPost, "/login", url.Values{"user": {user}, "password": {"wrong"}}, nil)
			status <- code
		}()
		is.NoErr(tc.clock.BlockUntilContext(context.Background(), 1))
		select {
		case <-status:
			t.Fatal("the console responded before the delay")
		default:
		}
		tc.clock.Advance(failedLoginDelay)
		is.Equal(<-status, http.StatusUnauthorized)
	}
}

func TestSessionsExpireAndAreLimited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tc := newTestConsole(t)
	anna := tc.login("anna")
	tc.login("bruno")
	status, text := tc.newBrowser().send(http.MethodPost, "/login", url.Values{"user": {"anna"}, "password": {password}}, nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "Too many sessions"))
	tc.clock.Advance(29 * time.Minute)
	status, _ = anna.get("/") // resets the idle timeout
	is.Equal(status, http.StatusOK)
	tc.clock.Advance(29 * time.Minute)
	status, _ = anna.get("/") // bruno's session has exceeded the idle timeout, anna's has not
	is.Equal(status, http.StatusOK)
	tc.login("bruno")
	tc.clock.Advance(2 * time.Minute)
	status, _ = anna.get("/") // past the lifetime
	is.Equal(status, http.StatusSeeOther)
	bruno := tc.login("bruno")
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

func TestOversizedFormIsRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newTestConsole(t).login("anna")
	status, _ := b.post("/teams/mills/save", "burst", strings.Repeat("9", maxFormBytes))
	is.True(status >= http.StatusBadRequest)
	_, text := b.get("/")
	is.True(strings.Contains(text, "No changes yet"))
}

func TestUnreadableDocumentInForceIsReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tc := newTestConsole(t)
	b := tc.login("anna")
	status, _ := b.post("/data-centres/acireale/state", "state", "out")
	is.Equal(status, http.StatusSeeOther)
	is.NoErr(os.Remove(tc.file))
	status, text := b.get("/")
	is.Equal(status, http.StatusOK) // the draft is kept
	is.True(strings.Contains(text, "cannot be read"))
	is.True(strings.Contains(text, "data_centres[acireale].state"))
	status, _ = b.post("/draft/download") // a conflict cannot be ruled out
	is.Equal(status, http.StatusServiceUnavailable)
	b = tc.newBrowser()
	b.send(http.MethodPost, "/login", url.Values{"user": {"bruno"}, "password": {password}}, nil)
	status, text = b.get("/teams")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "cannot be read"))
}

// parseDownload parses a downloaded document.
func parseDownload(t *testing.T, text string) *document.Snapshot {
	t.Helper()
	snap, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatalf("download: %v: %.200s", err, text)
	}
	return snap
}
