// Package surface tests with real processes what routers, the console and the command-line tools expose to operators and
// callers.
package surface

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const callTimeout = 20 * time.Second

// prompt is a text that only the engine may receive; it must appear in no other place.
const prompt = "the-buyers-secret-prompt"

// sendChat makes one streamed call with the prompt.
func sendChat(t *testing.T, address, key string) *load.Result {
	t.Helper()
	return send(t, load.Call{Address: address, Key: key})
}

// sendChatWithID makes one streamed call with a chat ID.
func sendChatWithID(t *testing.T, address, chatID string) *load.Result {
	t.Helper()
	return send(t, load.Call{Address: address, Key: testfleet.TeamKey("team-1"), ChatID: chatID})
}

// send completes c with the method, path and body of a chat request and makes the call.
func send(t *testing.T, c load.Call) *load.Result {
	t.Helper()
	body, err := load.ChatBody(testfleet.Model, []engine.Message{{Role: "user", Content: prompt}}, true, 8)
	if err != nil {
		t.Fatal(err)
	}
	c.Method, c.Path, c.Body = http.MethodPost, testfleet.PathChat, body
	result, err := load.NewCaller(callTimeout).Do(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestNoKeyOrPromptInLogsDumpsAndMetrics checks that successful, refused and failed requests leave no API key and no prompt
// in debug-level logs, state dumps and metrics.
func TestNoKeyOrPromptInLogsDumpsAndMetrics(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 90, Hosts: []int{1, 1}, Engines: 2, Services: 1})
	key := testfleet.TeamKey("team-1")
	const wrongKey = "key-that-nobody-has"
	for n := range f.Routers {
		is.Equal(sendChat(t, f.CallerAddress(n), key).Status, http.StatusOK)
		is.Equal(sendChat(t, f.CallerAddress(n), wrongKey).Status, http.StatusUnauthorized)
		for _, path := range []string{"/v1/none?api_key=" + key, "/v1/" + prompt, testfleet.PathHours + "?api_key=" + wrongKey} {
			get(t, "http://"+f.CallerAddress(n)+path)
		}
	}
	for _, e := range f.Engines {
		e.Kill()
	}
	for n := range f.Routers {
		is.True(sendChat(t, f.CallerAddress(n), key).Status >= http.StatusInternalServerError)
	}
	for n, p := range f.Routers {
		raw, err := os.ReadFile(p.LogPath)
		is.NoErr(err)
		log := string(raw)
		is.True(strings.Contains(log, "event=refusal")) // the log is not empty
		shown := log + get(t, "http://"+p.AdminAddress+"/debug/state") + get(t, "http://"+p.AdminAddress+"/metrics")
		for _, secret := range []string{key, wrongKey, prompt, document.HashKey(key)} {
			if strings.Contains(shown, secret) {
				t.Errorf("router %d exposes %q", n, secret)
			}
		}
	}
}

func TestRouterReportsPlacementMismatch(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 91, Hosts: []int{1, 1}, Engines: 1, Services: 1})
	state, ok := f.RouterState(f.Routers[0])
	is.True(ok)
	is.Equal(state.Placement, "")
	f.Publish(func(d *document.Document) {
		d.DataCentres[0].Hosts, d.DataCentres[1].Hosts = d.DataCentres[1].Hosts, d.DataCentres[0].Hosts
	})
	testfleet.Eventually(t, callTimeout, "the log names the other data centre", func() bool {
		raw, _ := os.ReadFile(f.Routers[0].LogPath)
		return strings.Contains(string(raw), "event=placement-wrong") && strings.Contains(string(raw), `under data centre \"dc-2\"`)
	})
	state, ok = f.RouterState(f.Routers[0])
	is.True(ok)
	is.True(strings.Contains(state.Placement, `setting data_centre says "dc-1"`))
	is.Equal(sendChat(t, f.CallerAddress(0), testfleet.TeamKey("team-1")).Status, http.StatusOK) // it still serves requests
}
