package document

import (
	"testing"

	"pgregory.net/rapid"
)

// applyRandomEdit applies a randomly drawn edit to the document; one of the possible edits changes nothing.
func applyRandomEdit(t *rapid.T, d *Document) {
	team := rapid.IntRange(0, len(d.Teams)-1).Draw(t, "team")
	dc := rapid.IntRange(0, len(d.DataCentres)-1).Draw(t, "data centre")
	pool := &d.Pools[rapid.IntRange(0, len(d.Pools)-1).Draw(t, "pool")]
	up := rapid.IntRange(0, len(pool.Upstreams)-1).Draw(t, "upstream")
	edits := []func(){
		func() {},
		func() { d.Teams[team].Burst = float64(rapid.IntRange(1, 3).Draw(t, "burst")) },
		func() { d.Teams[team].Weight = rapid.IntRange(0, 1).Draw(t, "weight") },
		func() { d.Teams[team].Keys = nil },
		func() { d.Teams[team], d.Teams[0] = d.Teams[0], d.Teams[team] },
		func() { d.Teams = append(d.Teams[:team:team], d.Teams[team+1:]...) },
		func() { d.DataCentres[dc].State = StateOut },
		func() { d.DataCentres[dc].Hosts = nil },
		func() { d.DataCentres[dc].Hosts = []Host{} },
		func() { pool.NearFirst = true },
		func() { pool.Upstreams[up].Name = pool.Upstreams[0].Name },
		func() { pool.Upstreams = append(pool.Upstreams, pool.Upstreams[up]) },
		func() { d.Routes[0].Teams = []string{"mills"} },
		func() { d.Routes[0].Methods = append(d.Routes[0].Methods, "PUT") },
	}
	rapid.SampledFrom(edits).Draw(t, "edit")()
}

// Diff must return no changes if and only if the canonical forms, and so the hashes, are equal. The exception is an empty
// list: null and [] encode differently but mean the same. This test never compares the two.
func TestDiffIsEmptyIffCanonicalFormsAreEqual(t *testing.T) {
	text := readSampleDocument(t)
	rapid.Check(t, func(t *rapid.T) {
		before, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		after, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			if len(after.Teams) > 1 {
				applyRandomEdit(t, after.Document)
			}
		}
		changes, err := Diff(before.Document, after.Document)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := after.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if equal := string(raw) == string(before.Raw); equal != (len(changes) == 0) {
			t.Fatalf("canonical forms equal: %t, changes: %v", equal, changes)
		}
	})
}
