package surface

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/process"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// documentFile writes the fleet's document to a file for oriolectl.
func documentFile(t *testing.T, doc *document.Document) string {
	t.Helper()
	return writeJSON(t, "document.json", doc)
}

func writeJSON(t *testing.T, name string, v any) string {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func runCtl(t *testing.T, args ...string) (int, string) {
	t.Helper()
	code, out, errOut := runProgram(t, "oriolectl", args...)
	return code, out + errOut
}

func TestOperatorCommandsOnRunningFleet(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 92, Hosts: []int{1, 1}, Engines: 2, Services: 1})
	file := documentFile(t, f.Document)
	var out string
	testfleet.Eventually(t, callTimeout, "status reports no problems", func() bool {
		var code int
		code, out = runCtl(t, "status", "-d", file)
		return code == process.ExitOK
	})
	is.True(strings.Contains(out, "\n0 problems\n"))
	is.True(strings.Contains(out, "2/2"))

	code, out := runCtl(t, "dump", "-d", file, "router-2")
	is.Equal(code, process.ExitOK)
	is.True(strings.HasPrefix(out, "== router-2\n"))
	is.True(strings.Contains(out, "-- members: 2"))
	is.True(!strings.Contains(out, "== router-1"))

	// The first upstream that explain lists must be the one that serves the chat.
	code, out = runCtl(t, "explain", "-d", file, "--router", "router-1", "--route", "chat", "--chat", "chat-7")
	is.Equal(code, process.ExitOK)
	is.True(strings.Contains(out, "as seen by router router-1, data centre dc-1"))
	first := strings.Fields(strings.Split(out, "\n")[4])
	is.Equal(first[0], "1")
	is.Equal(sendChatWithID(t, f.CallerAddress(0), "chat-7").Upstream, first[1])

	t.Setenv("ORIOLE_KEY", testfleet.TeamKey("team-1"))
	code, out = runCtl(t, "idempotency-key", "issue", "--address", f.CallerAddress(0), "--path", testfleet.PathOrders)
	is.Equal(code, process.ExitOK)
	is.True(len(strings.TrimSpace(out)) > 40)

	f.Routers[1].Kill()
	testfleet.Eventually(t, callTimeout, "status reports the unreachable router", func() bool {
		code, out = runCtl(t, "status", "-d", file)
		return code == process.ExitCheckFailed && strings.Contains(out, "unreachable") && strings.Contains(out, "sees 1 of 2 hosts live")
	})
	code, out = runCtl(t, "dump", "-d", file)
	is.Equal(code, process.ExitCheckFailed)
	is.True(strings.Contains(out, "== router-2\nunreachable: "))
}
