package surface

import (
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/crypto/bcrypt"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const (
	consoleAddress  = "127.93.4.1:8443"
	consoleAdmin    = "127.93.4.1:9443"
	consolePassword = "the operators' password"
)

// startConsole starts oriole-console for the fleet's platform. It is killed when the test ends.
func startConsole(t *testing.T, platform string) {
	t.Helper()
	hash, err := bcrypt.GenerateFromPassword([]byte(consolePassword), bcrypt.DefaultCost)
	if err != nil {
		t.Fatal(err)
	}
	file := writeJSON(t, "console.json", settings.Console{
		Address: consoleAddress, AdminAddress: consoleAdmin, Platform: platform, Fleet: "test",
		TLS: settings.ConsoleTLS{Plaintext: true}, Operators: []settings.Operator{{User: "anna", Bcrypt: string(hash)}},
	})
	cmd := exec.Command(filepath.Join(testfleet.Binaries(t), "oriole-console"), "--settings", file)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	testfleet.Eventually(t, callTimeout, "the console is ready", func() bool {
		resp, err := http.Get("http://" + consoleAdmin + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// browser submits forms and follows redirects.
type browser struct {
	t    *testing.T
	http *http.Client
}

func (b *browser) post(path string, values url.Values) string {
	b.t.Helper()
	resp, err := b.http.PostForm("http://"+consoleAddress+path, values)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.t.Fatalf("%s: status %d, %v: %s", path, resp.StatusCode, err, text)
	}
	return string(text)
}

// TestConsoleKeyWorksAfterPublication creates a team's API key in the console, downloads the document and publishes it. The
// key must work on every router after the publication and on none before.
func TestConsoleKeyWorksAfterPublication(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 93, Hosts: []int{1, 1}, Engines: 2, Services: 1})
	startConsole(t, "http://"+f.PlatformIP()+":8500")
	jar, err := cookiejar.New(nil)
	is.NoErr(err)
	b := &browser{t: t, http: &http.Client{Jar: jar}}
	text := b.post("/login", url.Values{"user": {"anna"}, "password": {consolePassword}})
	token := regexp.MustCompile(`name="csrf" value="([^"]+)"`).FindStringSubmatch(text)[1]
	text = b.post("/teams/team-1/keys/add", url.Values{"csrf": {token}, "id": {"spring"}})
	secret := regexp.MustCompile(`<code class="secret">([^<]+)</code>`).FindStringSubmatch(text)[1]
	for n := range f.Routers {
		is.Equal(sendChat(t, f.CallerAddress(n), secret).Status, http.StatusUnauthorized)
	}
	text = b.post("/draft/download", url.Values{"csrf": {token}})
	is.True(!strings.Contains(text, secret))
	snap, err := document.Parse([]byte(text))
	is.NoErr(err)
	is.Equal(snap.Version, uint64(2))
	f.PublishRaw([]byte(text))
	for n := range f.Routers {
		testfleet.Eventually(t, callTimeout, "the key works", func() bool {
			return sendChat(t, f.CallerAddress(n), secret).Status == http.StatusOK
		})
	}
}
