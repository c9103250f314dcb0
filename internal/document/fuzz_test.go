package document

import (
	"bytes"
	"os"
	"testing"
)

// FuzzParse checks that no input causes a panic and that the canonical form of an accepted document parses to the same
// document, with the same hash.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"../../deploy/lobue/document.json", "../../deploy/lumen/document.json"} {
		raw, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	minimal := `{"schema":1,"fleet":"f","version":1,"parent":{"version":0,"hash":""},"data_centres":[{"name":"a","state":"in",` +
		`"hosts":[]}],"pools":[],"routes":[],"teams":[{"name":"t","rate_per_second":1,"burst":1,"keys":[]}]}`
	for _, text := range []string{
		"", "{}", "null", "[]", minimal, minimal + "{}", minimal[:40], `{"schema":1,"schema":2}`, `{"version":-1}`,
		`{"teams":[{"rate_per_second":1e999}]}`, `{"unknown":1}`, "\xff\xfe",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		snap, err := Parse(raw)
		if err != nil {
			return
		}
		reparsed, err := Parse(snap.Raw)
		if err != nil {
			t.Fatalf("Parse rejects the canonical form: %v", err)
		}
		if reparsed.Hash != snap.Hash || !bytes.Equal(reparsed.Raw, snap.Raw) {
			t.Fatalf("reparsing the canonical form changed its hash from %s to %s", snap.Hash, reparsed.Hash)
		}
	})
}
