package document

import (
	"testing"

	"pgregory.net/rapid"
)

// drawEdit changes one thing of the document, or nothing.
func drawEdit(t *rapid.T, d *Document) {
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

// Whatever is changed, the difference is empty exactly if the canonical forms, and so the hashes, are the same. Lists
// without elements are the one exception (absent and empty are written differently and mean the same); none is drawn here.
func TestDiffIsEmptyExactlyIfNothingChanged(t *testing.T) {
	text := sample(t)
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
				drawEdit(t, after.Document)
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
		if same := string(raw) == string(before.Raw); same != (len(changes) == 0) {
			t.Fatalf("same %t, changes %v", same, changes)
		}
	})
}
