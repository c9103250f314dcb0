package logging

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fields splits a log line into its key=value pairs and fails the test if the line is malformed.
func fields(t *testing.T, line string) [][2]string {
	t.Helper()
	var pairs [][2]string
	for line != "" {
		key, rest := token(t, line)
		if !strings.HasPrefix(rest, "=") {
			t.Fatalf("no = after key %q in %q", key, line)
		}
		value, after := token(t, rest[1:])
		pairs = append(pairs, [2]string{key, value})
		line = strings.TrimPrefix(after, " ")
	}
	return pairs
}

func token(t *testing.T, text string) (string, string) {
	t.Helper()
	if strings.HasPrefix(text, `"`) {
		quoted, err := strconv.QuotedPrefix(text)
		if err != nil {
			t.Fatalf("bad quoting in %q", text)
		}
		value, _ := strconv.Unquote(quoted)
		return value, text[len(quoted):]
	}
	end := strings.IndexAny(text, " =")
	if end < 0 {
		end = len(text)
	}
	return text[:end], text[end:]
}

var hostileTexts = []string{
	"a\nlevel=error event=forged", "a\r\nlevel=error", "x event=forged", `x" event="forged`, `\" event=forged`,
	"tab\there", "bell\a", "del\x7f", "nul\x00", "next line\u0085x", "separator\u2028x", "right to left\u202ex",
	"bad utf8 \xff\xfe", "", "=", `"`, `\`, "x=y", strings.Repeat("long ", 1000),
}

func TestNoTextForgesLineOrPair(t *testing.T) {
	for _, text := range hostileTexts {
		is := is.New(t)
		var out bytes.Buffer
		log := New(&out, "info", "test")
		log.Info().Str("event", "request").Str("path", text).AnErr("cause", errors.New(text)).Strs("list", []string{text}).Send()
		line, rest, _ := strings.Cut(out.String(), "\n")
		is.Equal(rest, "") // one line for each event
		for _, r := range line {
			is.True(r >= ' ' && r < 0x7f) // printable ASCII only
		}
		var keys []string
		for _, pair := range fields(t, line) {
			keys = append(keys, pair[0])
			if pair[0] == "path" {
				is.Equal(pair[1], strings.ToValidUTF8(text, "\ufffd\ufffd"))
			}
		}
		is.Equal(keys, []string{"level", "process", "event", "path", "cause", "list", "time"})
	}
}

func FuzzNoTextCanForgeALine(f *testing.F) {
	for _, text := range hostileTexts {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, key, value string) {
		var out bytes.Buffer
		log := New(&out, "debug", "test")
		log.Debug().Str(key, value).Send()
		if strings.Count(out.String(), "\n") != 1 {
			t.Fatalf("%d lines: %q", strings.Count(out.String(), "\n"), out.String())
		}
		if got := len(fields(t, strings.TrimSuffix(out.String(), "\n"))); got != 4 {
			t.Fatalf("%d pairs: %q", got, out.String())
		}
	})
}

func TestLevels(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, "", "test")
	log.Debug().Msg("no")
	is.Equal(out.Len(), 0)
	log.Info().Msg("yes")
	is.True(out.Len() > 0)
}
