package logread

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/logging"
)

func TestParseReadsLoggerOutput(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := logging.New(&out, "info", "front-1")
	log.Info().Str("event", "retry").Str("request", "r 1").Str("error", `say "no" = never`).Int("sends", 2).Send()
	line, ok := Parse("  12.3456 front-1 " + out.String())
	is.True(ok)
	is.Equal(line.Host, "front-1")
	is.Equal(line.Event, "retry")
	is.Equal(line.Fields["request"], "r 1")
	is.Equal(line.Fields["error"], `say "no" = never`)
	is.Equal(line.Fields["sends"], "2")
	is.True(!line.Time.IsZero())
}

const hostOne = `collector: level=warn process=h1 event=upstream-suspected upstream=i-1 time=2026-03-08T14:37:39.100Z
level=warn process=h1 event=upstream-suspected upstream=i-9 time=2026-03-08T14:37:39.110Z
level=warn process=h1 event=store-lost time=2026-03-08T14:37:38.000Z
level=info process=h1 event=retry request=abc peer=i-1 time=2026-03-08T14:37:39.101Z
level=info process=h1 event=config-in-force version=3 time=2026-03-08T14:30:00.000Z
panic: not a line
`

const hostTwo = `level=info process=h2 event=served request=abc trail=i-2@a,load:3;i-3@b,load:1 took_ms=40.5 time=2026-03-08T14:37:40.000Z
level=info process=h2 event=upstream-gone upstream=i-3 time=2026-03-08T14:37:39.990Z
level=info process=h2 event=served request=other time=2026-03-08T14:37:39.990Z
`

func TestFindRequestCollectsRequestAndContextLines(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(hostTwo), strings.NewReader(hostOne))
	is.NoErr(err)
	history := FindRequest(lines, "abc")
	events := func(lines []Line) (names []string) {
		for _, l := range lines {
			names = append(names, l.Host+" "+l.Event)
		}
		return names
	}
	is.Equal(events(history.RequestLines), []string{"h1 retry", "h2 served"})
	is.Equal(events(history.ContextLines), []string{"h1 store-lost", "h1 upstream-suspected", "h2 upstream-gone"})
	is.Equal(len(FindRequest(lines, "unknown").RequestLines), 0)
}

func FuzzParse(f *testing.F) {
	f.Add(hostOne)
	f.Add(`a="x\" b=c`)
	f.Fuzz(func(t *testing.T, text string) {
		if line, ok := Parse(text); ok && line.Event == "" {
			t.Fatalf("parsed an event without a name: %q", text)
		}
	})
}
