package placement

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/document"
)

func TestProblemDescribesDifference(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/lobue/document.json")
	if err != nil {
		t.Fatal(err)
	}
	retired := strings.Replace(string(raw), `"admin_address": "127.10.1.1:9080"`, `"admin_address": "127.10.1.1:9080", "retired": true`, 1)
	cases := map[string]struct{ doc, host, dc, want string }{
		"agree":             {string(raw), "acireale-1", "acireale", ""},
		"no data centre":    {string(raw), "acireale-1", "ragusa", `data_centre "ragusa" is not a data centre of document version 1`},
		"other data centre": {string(raw), "acireale-1", "siracusa", `lists host "acireale-1" under data centre "acireale", setting data_centre says "siracusa"`},
		"unlisted host":     {string(raw), "ragusa-1", "siracusa", `name "ragusa-1" is not a host`},
		"retired host":      {retired, "catania-a-1", "catania-a", `as retired, but it runs`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snap, err := document.Parse([]byte(c.doc))
			is.NoErr(err)
			got := Problem(snap, c.host, c.dc)
			is.Equal(got == "", c.want == "")
			is.True(strings.Contains(got, c.want))
		})
	}
	is.New(t).Equal(Problem(nil, "h", "dc"), "")
}
