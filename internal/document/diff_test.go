package document

import (
	"testing"

	"github.com/matryer/is"
)

func TestDiffReportsEachChange(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Document)
		want []string
	}{
		{"no change", func(*Document) {}, nil},
		{"rate", func(d *Document) { d.Teams[1].RatePerSecond = 50 }, []string{"~ teams[mills].rate_per_second: 40 -> 50"}},
		{"data centre out", func(d *Document) { d.DataCentres[2].State = StateOut }, []string{`~ data_centres[acireale].state: "in" -> "out"`}},
		{"team removed", func(d *Document) { d.Teams = d.Teams[:9] }, []string{
			`- teams[workshop]: {"burst":10,"keys":[{"id":"demo","sha256":"577367c7a501a33b7954210cb5f3144eec5d4586063b5a5cb14bc31c74723d97"}],"name":"workshop","rate_per_second":5}`,
		}},
		{"first element removed", func(d *Document) { d.Pools[1].Upstreams = d.Pools[1].Upstreams[1:] }, []string{
			`- pools[counters].upstreams[counter-1]: {"address":"127.10.3.1:8000","capacity":64,"data_centre":"catania-a","name":"counter-1","state":"in"}`,
		}},
		{"key added", func(d *Document) {
			d.Teams[0].Keys = append(d.Teams[0].Keys, Key{ID: "k2", SHA256: HashKey("x")})
		}, []string{`+ teams[counter].keys[k2]: {"id":"k2","sha256":"2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881"}`}},
		{"all keys removed", func(d *Document) { d.Teams[0].Keys = nil }, []string{
			`- teams[counter].keys[demo]: {"id":"demo","sha256":"a5db568451e6818d9d2e5c56eda95127600e6afa18131d3d0a0bf77048ef5231"}`,
		}},
		{"optional field set", func(d *Document) { d.Routes[0].Open = true }, []string{"+ routes[chat].open: true"}},
		{"list of strings", func(d *Document) { d.Routes[0].Methods = []string{"POST", "PUT"} }, []string{`~ routes[chat].methods: ["POST"] -> ["POST","PUT"]`}},
		{"order", func(d *Document) { d.Pools[0], d.Pools[1] = d.Pools[1], d.Pools[0] }, []string{"~ pools: order quotes, counters -> counters, quotes"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, err := Parse([]byte(readSampleDocument(t)))
			is.NoErr(err)
			after, err := Parse([]byte(readSampleDocument(t)))
			is.NoErr(err)
			c.edit(after.Document)
			changes, err := Diff(before.Document, after.Document)
			is.NoErr(err)
			var lines []string
			for _, change := range changes {
				lines = append(lines, change.String())
			}
			is.Equal(lines, c.want)
		})
	}
}

func TestLookupKeyFindsNewKeyBySecret(t *testing.T) {
	is := is.New(t)
	secret, key, err := NewKey("k", nil)
	is.NoErr(err)
	other, _, err := NewKey("k", nil)
	is.NoErr(err)
	is.True(secret != other)
	is.Equal(key.SHA256, HashKey(secret))
	snap, err := Parse([]byte(readSampleDocument(t)))
	is.NoErr(err)
	snap.Teams[0].Keys = append(snap.Teams[0].Keys, key)
	is.NoErr(snap.indexTeams())
	found, ok := snap.LookupKey([]byte(secret))
	is.True(ok)
	is.Equal(found.Team.Name, "counter")
	_, ok = snap.LookupKey([]byte(other))
	is.True(!ok)
}
