package scenario

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const valid = `{"name":"s","seed":1,"duration":"10s","warmup":"1s","chat":{"path":"/c","system_tokens":1,"history_tokens":1,
"turn_tokens":1,"answer_tokens":1,"max_turns":1},"teams":[{"name":"a","chats_per_second":1,"chats":2,"zipf_exponent":1.1}],
"faults":[{"at":"2s","act":"process","target":"r","signal":"kill"}]}`

func TestInvalidScenarioIsRejected(t *testing.T) {
	cases := []struct{ name, old, replacement string }{
		{"unknown field", `"seed":1`, `"sede":1`},
		{"no duration", `"10s"`, `"0s"`},
		{"warm-up as long as the run", `"1s"`, `"10s"`},
		{"no team", `"teams":[{"name":"a","chats_per_second":1,"chats":2,"zipf_exponent":1.1}]`, `"teams":[]`},
		{"chats without number", `"chats":2`, `"chats":0`},
		{"flat popularity", `1.1`, `1.0`},
		{"fault after the end", `"at":"2s"`, `"at":"20s"`},
		{"unknown act", `"act":"process"`, `"act":"dance"`},
		{"unknown signal", `"kill"`, `"poke"`},
		{"stand-in without order", `"act":"process"`, `"act":"standin"`},
		{"data centre without state", `"act":"process"`, `"act":"data-centre"`},
	}
	is := is.New(t)
	_, err := Parse([]byte(valid))
	is.NoErr(err)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old))
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.replacement, 1)))
			is.True(err != nil)
		})
	}
}

func TestRepositoryScenariosAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../../scenarios/*.json")
	is.NoErr(err)
	is.True(len(files) >= 2)
	for _, file := range files {
		_, err := Read(file)
		is.NoErr(err)
	}
}
