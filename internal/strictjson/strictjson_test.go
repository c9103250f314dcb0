package strictjson

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type inner struct {
	Count uint64 `json:"count"`
}

type outer struct {
	Name  string     `json:"name"`
	On    bool       `json:"on"`
	Rate  float64    `json:"rate"`
	Size  int        `json:"size"`
	At    *time.Time `json:"at"`
	List  []inner    `json:"list"`
	Texts []string   `json:"texts"`
	Inner inner      `json:"inner"`
}

func TestDecodeReportsEveryFaultWithPosition(t *testing.T) {
	cases := []struct {
		name, raw string
		want      []Problem
	}{
		{"nothing wrong", `{"name":"a","at":"2026-01-31T15:04:05Z","list":[{"count":1}]}`, nil},
		{"unknown field", `{"nam":"a"}`, []Problem{{"nam", "a", "one of the fields at, inner, list, name, on, rate, size, texts"}}},
		{"letter case", `{"Name":"a"}`, []Problem{{"Name", "a", "one of the fields at, inner, list, name, on, rate, size, texts"}}},
		{"twice", `{"name":"a","name":"b"}`, []Problem{{"name", "b", "a field given only once"}}},
		{"text for a number", `{"size":"3"}`, []Problem{{"size", "3", "a whole number"}}},
		{"number for a text", `{"name":3}`, []Problem{{"name", "3", "text"}}},
		{"fraction for a whole number", `{"size":1.5}`, []Problem{{"size", "1.5", "a whole number"}}},
		{"negative", `{"inner":{"count":-1}}`, []Problem{{"inner.count", "-1", "a whole number of at least 0"}}},
		{"null", `{"on":null}`, []Problem{{"on", "null", "true or false"}}},
		{"list for an object", `{"inner":[]}`, []Problem{{"inner", "[]", "an object"}}},
		{"object for a list", `{"list":{}}`, []Problem{{"list", "{}", "a list"}}},
		{"bad time", `{"at":"today"}`, []Problem{{"at", "today", `a time such as "2026-01-31T15:04:05Z"`}}},
		{"several at once", `{"list":[{"count":"x"},{"cnt":1}],"rate":"y"}`, []Problem{
			{"list[0].count", "x", "a whole number of at least 0"}, {"list[1].cnt", "1", "one of the fields count"}, {"rate", "y", "a number"},
		}},
		{"trailing data", "{}\n{}", []Problem{{"(line 2, column 1)", "{}", "nothing after the JSON value"}}},
		{"no object", `3`, []Problem{{"", "3", "an object"}}},
		{"cut short", `{"name":`, []Problem{{"(line 1, column 8)", ":", "valid JSON: unexpected end of JSON input"}}},
		{"syntax", "{\n \"name\": nope}", []Problem{{"(line 2, column 11)", "ope}", "valid JSON: invalid character 'o' in literal null (expecting 'u')"}}},
		{"empty", ``, []Problem{{"(line 1, column 1)", "", "valid JSON: unexpected end of JSON input"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var v outer
			is.Equal(Decode([]byte(c.raw), &v), c.want)
		})
	}
}

func TestFieldsWithoutProblemsAreSet(t *testing.T) {
	is := is.New(t)
	var v outer
	problems := Decode([]byte(`{"name":"a","size":"wrong","list":[{"count":"wrong"},{"count":7}]}`), &v)
	is.Equal(len(problems), 2)
	is.Equal(v.Name, "a")
	is.Equal(v.Size, 0)
	is.Equal(v.List, []inner{{}, {Count: 7}})
}

func FuzzDecodeNeverFailsWithoutAProblem(f *testing.F) {
	for _, raw := range []string{`{}`, `[`, `{"list":[null]}`, `{"a":{"b":[1,2]}}`, "\xff", `{"name":"\ud800"}`} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var v outer
		for _, p := range Decode(raw, &v) {
			if p.Want == "" {
				t.Errorf("problem %v does not describe the accepted values", p)
			}
		}
	})
}
