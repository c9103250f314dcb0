package document

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// readSampleDocument returns the text of the deployed document of the fleet lobue.
func readSampleDocument(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/lobue/document.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestInspectReportsFieldValueAndExpectation(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"missing data centre", `"data_centre": "siracusa"`, `"data_centre": "ragusa"`, []string{`field pools[0].upstreams[8].data_centre: value "ragusa": want the name of a data centre`}},
		{"address used twice", `127.10.1.2:7080`, `127.10.1.1:7080`, []string{`field data_centres[0].hosts[1].peer_address: value "127.10.1.1:7080": want an address other than that of data_centres[0].hosts[0].peer_address`}},
		{"name used twice", `"name": "engine-2"`, `"name": "engine-1"`, []string{`field pools[0].upstreams[1].name: value "engine-1": want a name used once`}},
		{"unknown state", `"state": "in"`, `"state": "up"`, []string{`field data_centres[0].state: value "up": want "in" or "out"`}},
		{"unknown field", `"schema": 1`, `"schema": 1, "shcema": 1`, []string{"field shcema: "}},
		{"wrong type", `"burst": 120`, `"burst": "120"`, []string{`field teams[0].burst: value "120": want a number`}},
		{"rate of zero", `"rate_per_second": 60`, `"rate_per_second": 0`, []string{`field teams[0].rate_per_second: value "0": want a rate above 0`}},
		{"load factor below one", `"load_factor": 1.25`, `"load_factor": 0.9`, []string{`field pools[0].load_factor: value "0.9": want 1 to 100`}},
		{"path with a dot segment", `"path": "/v1/chat/completions"`, `"path": "/v1/../chat"`, []string{`field routes[0].path`}},
		{"lower-case method", `"POST"`, `"post"`, []string{`field routes[0].methods[0]: value "post"`}},
		{"two routes with the same method and path", `"path": "/v1/opening-hours"`, `"path": "/v1/orders"`, []string{`field routes[3].methods[0]: value "GET": want a method and path that route order-status does not serve`}},
		{"key instead of its hash", `"sha256": "a5db568451e6818d9d2e5c56eda95127600e6afa18131d3d0a0bf77048ef5231"`, `"sha256": "very-secret"`, []string{`field teams[0].keys[0].sha256: value "(not shown)": want 64 lower-case`}},
		{"parent version not below version", `"version": 0`, `"version": 1`, []string{`field parent.version: value "1": want a version below 1`}},
		{"two problems", `"schema": 1,
  "fleet": "lobue"`, `"schema": 2,
  "fleet": "lo bue"`, []string{"field schema: ", "field fleet: "}},
	}
	text := readSampleDocument(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			edited := strings.Replace(text, c.old, c.new, 1)
			is.True(edited != text)
			snap, problems := Inspect([]byte(edited))
			is.True(snap == nil)
			is.Equal(len(problems), len(c.want))
			for i, want := range c.want {
				is.True(strings.Contains(problems[i].String(), want))
			}
		})
	}
}

func TestInspectAndParseReturnTheSameHash(t *testing.T) {
	is := is.New(t)
	inspected, problems := Inspect([]byte(readSampleDocument(t)))
	is.Equal(problems, nil)
	parsed, err := Parse([]byte(readSampleDocument(t)))
	is.NoErr(err)
	is.Equal(inspected.Hash, parsed.Hash)
	var compact any
	is.NoErr(json.Unmarshal([]byte(readSampleDocument(t)), &compact))
	raw, err := json.Marshal(compact)
	is.NoErr(err)
	reparsed, err := Parse(raw)
	is.NoErr(err)
	is.Equal(reparsed.Hash, parsed.Hash) // independent of white space and field order
}
