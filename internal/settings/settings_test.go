package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
)

const validSettings = `{
  "name": "host-1", "data_centre": "dc-1", "fleet": "f", "platform": "http://127.0.0.1:8500",
  "caller_address": "127.0.0.1:8080", "peer_address": "127.0.0.1:7080", "admin_address": "127.0.0.1:9080",
  "peer_tls": {"plaintext": true}
}`

// load writes text to a file and loads it as router settings.
func load(t *testing.T, text string) (*Router, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var r Router
	return &r, Load(path, &r)
}

func TestDefaultsAreFilledIn(t *testing.T) {
	is := is.New(t)
	r, err := load(t, validSettings)
	is.NoErr(err)
	is.Equal(r.Limits, Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, TotalBodyBytes: defaultTotalBodyBytes})
	is.Equal(r.Timeouts.Request.Std(), defaultRequestTime)
	is.Equal(r.Gossip.SuspectAfter.Std(), defaultSuspectAfter)
}

// TestEachFaultIsReportedWithFieldValueAndExpectation replaces one part of the valid settings in each case, which lists
// exactly the problems that must be reported.
func TestEachFaultIsReportedWithFieldValueAndExpectation(t *testing.T) {
	const tls = `"peer_tls": {"plaintext": true}`
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown field", tls, tls + `, "colour": 1`, []string{`field colour: value "1": want one of the fields admin_address,`}},
		{"field twice", tls, tls + `, "fleet": "g"`, []string{`field fleet: value "g": want a field given only once`}},
		{"empty name", `"host-1"`, `""`, []string{`field name: value "": want a name of 1 to 64`}},
		{"name with a space", `"host-1"`, `"host 1"`, []string{`field name: value "host 1": want a name of 1 to 64`}},
		{"name of the wrong type", `"host-1"`, `7`, []string{`field name: value "7": want text`}},
		{"host name for an IP", `"127.0.0.1:8080"`, `"localhost:8080"`, []string{`field caller_address: value "localhost:8080": want IP:port`}},
		{"port zero", `127.0.0.1:9080`, `127.0.0.1:0`, []string{`field admin_address: value "127.0.0.1:0": want IP:port`}},
		{"address clash", `127.0.0.1:9080`, `127.0.0.1:7080`, []string{`field admin_address: value "127.0.0.1:7080": want an address that does not clash with peer_address`}},
		{"clash with all interfaces", `127.0.0.1:9080`, `0.0.0.0:8080`, []string{`field admin_address: value "0.0.0.0:8080": want an address that does not clash with caller_address`}},
		{"peer address of all interfaces", `127.0.0.1:7080`, `0.0.0.0:7080`, []string{`field peer_address: value "0.0.0.0:7080": want the host's own IP`}},
		{"platform without scheme", `http://127.0.0.1:8500`, `127.0.0.1:8500`, []string{`field platform: value "127.0.0.1:8500": want a URL`}},
		{"bad seed", tls, tls + `, "seed_peers": ["127.0.0.2:1", "x", "127.0.0.2:1"]`, []string{`field seed_peers[1]: value "x": want IP:port`, `field seed_peers[2]: value "127.0.0.2:1": want an address listed once`}},
		{"no TLS files", tls, `"peer_tls": {}`, []string{"field peer_tls.cert_file", "field peer_tls.key_file", "field peer_tls.ca_file"}},
		{"duration as a number", tls, tls + `, "timeouts": {"body": 5}`, []string{`field timeouts.body: value "5": want a duration such as`}},
		{"duration without unit", tls, tls + `, "timeouts": {"body": "5"}`, []string{`field timeouts.body: value "5": want a duration such as`}},
		{"negative duration", tls, tls + `, "timeouts": {"idle": "-1s"}`, []string{`field timeouts.idle: value "-1s": want 1ms to 1h0m0s`}},
		{"endless duration", tls, tls + `, "timeouts": {"request": "9999h"}`, []string{`field timeouts.request: value "9999h0m0s": want 20s to 1h0m0s`}},
		{"request shorter than first byte", tls, tls + `, "timeouts": {"request": "5s"}`, []string{`field timeouts.request: value "5s": want 20s to 1h0m0s`}},
		{"suspicion before two rounds", tls, tls + `, "gossip": {"suspect_after": "600ms"}`, []string{`field gossip.suspect_after: value "600ms": want 1s to 10m0s`}},
		{"tiny header", tls, tls + `, "limits": {"header_bytes": 10}`, []string{`field limits.header_bytes: value "10": want 1024 to 1048576`}},
		{"fraction of a byte", tls, tls + `, "limits": {"body_bytes": 1.5}`, []string{`field limits.body_bytes: value "1.5": want a whole number`}},
		{"unknown level", tls, tls + `, "log": {"level": "loud"}`, []string{`field log.level: value "loud": want debug, info, warn or error`}},
		{"trailing data", tls + "\n}", tls + "\n}\n{}", []string{`(line 6, column 1): value "{}": want nothing after the JSON value`}},
		{"all at once", `"host-1", "data_centre": "dc-1"`, `"", "site": "dc-1"`, []string{
			"field site: ", "field name: ", "field data_centre: ",
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, c.old, c.new, 1)
			is.True(text != validSettings)
			_, err := load(t, text)
			is.True(err != nil)
			lines := strings.Split(err.Error(), "\n")
			is.Equal(len(lines), len(c.want)) // one line per problem
			for i, want := range c.want {
				if !strings.Contains(lines[i], want) || !strings.HasPrefix(lines[i], "settings file /") {
					t.Errorf("line %q: want %q", lines[i], want)
				}
			}
		})
	}
}

func TestConsoleSettings(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Console)
		want []string
	}{
		{"valid", func(*Console) {}, nil},
		{"no source", func(c *Console) { c.Platform = "" }, []string{"document_file"}},
		{"two sources", func(c *Console) { c.DocumentFile = "d.json" }, []string{"document_file"}},
		{"platform without fleet", func(c *Console) { c.Fleet = "" }, []string{"fleet"}},
		{"no TLS", func(c *Console) { c.TLS.Plaintext = false }, []string{"tls.cert_file", "tls.key_file"}},
		{"no operators", func(c *Console) { c.Operators = nil }, []string{"operators"}},
		{"password instead of a hash", func(c *Console) { c.Operators[0].Bcrypt = "secret" }, []string{"operators[0].bcrypt"}},
		{"weak hash", func(c *Console) {
			c.Operators[0].Bcrypt = "$2a$04$XajjQvNhvvRt5GSeFk1xFeyqRrsxkhBkUiQeg0dt.wU1qD4aFDcga"
		}, []string{"operators[0].bcrypt"}},
		{"idle beyond lifetime", func(c *Console) { c.Sessions.Idle = Duration(9 * time.Hour) }, []string{"sessions.lifetime"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Console
			is.NoErr(Load("../../deploy/lobue/console.json", &s))
			c.edit(&s)
			var fields []string
			for _, p := range s.Check() {
				fields = append(fields, p.Field)
				is.True(!strings.Contains(p.String(), "secret"))
			}
			is.Equal(fields, c.want)
		})
	}
}

func TestStandInsMayNotShareNamesOrAddresses(t *testing.T) {
	is := is.New(t)
	s := StandIns{
		Platform: Platform{Address: "127.0.0.1:1", AdminAddress: "127.0.0.1:2", DocumentFile: "d"},
		Engines: []Engine{
			{Name: "e", Model: "m", Address: "127.0.0.1:3", AdminAddress: "127.0.0.1:4"},
			{Name: "e", Model: "m", Address: "127.0.0.1:5", AdminAddress: "127.0.0.1:4"},
		},
		Services: []Service{{Name: "s", Address: "127.0.0.1:1", AdminAddress: "127.0.0.1:6"}},
	}
	var fields []string
	for _, p := range s.Check() {
		fields = append(fields, p.Field)
	}
	is.Equal(fields, []string{"engines[1].name", "engines[1].admin_address", "services[0].address"})
}

// TestDeployedFilesAreValid checks that every deployment file is valid and that the router files agree with the
// document in the same folder.
func TestDeployedFilesAreValid(t *testing.T) {
	folders, err := filepath.Glob("../../deploy/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no deployments: %v", err)
	}
	for _, folder := range folders {
		switch filepath.Base(folder) {
		case "system.toml", "router.json.tmpl", "days":
			continue // files for the operators' platform; TestTemplateGivesValidSettings checks the template
		}
		check := checkDeployment
		if filepath.Base(folder) == "direct" {
			check = checkDirectDeployment
		}
		t.Run(filepath.Base(folder), func(t *testing.T) { check(t, folder) })
	}
}

func checkDirectDeployment(t *testing.T, folder string) {
	is := is.New(t)
	is.NoErr(Load(filepath.Join(folder, "standins.json"), &DirectStandIns{}))
	files, err := filepath.Glob(filepath.Join(folder, "*.router.json"))
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		is.NoErr(Load(file, &Direct{}))
	}
}

func checkDeployment(t *testing.T, folder string) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join(folder, "document.json"))
	is.NoErr(err)
	snap, problems := document.Inspect(raw)
	is.Equal(problems, nil)
	is.NoErr(Load(filepath.Join(folder, "standins.json"), &StandIns{}))
	var console Console
	is.NoErr(Load(filepath.Join(folder, "console.json"), &console))
	is.Equal(console.Fleet, snap.Fleet)
	files, err := filepath.Glob(filepath.Join(folder, "*.router.json"))
	is.NoErr(err)
	is.Equal(len(files), len(snap.EntryHosts()))
	for _, file := range files {
		var r Router
		is.NoErr(Load(file, &r))
		host, ok := snap.Host(r.Name)
		is.True(ok)
		is.Equal(r.DataCentre, host.DataCentre)
		is.Equal(r.Fleet, snap.Fleet)
		is.Equal(r.CallerAddress, host.CallerAddress)
		is.Equal(r.PeerAddress, host.PeerAddress)
		is.Equal(r.AdminAddress, host.AdminAddress)
	}
}
