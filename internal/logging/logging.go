// Package logging creates the loggers of all processes. They write each zerolog event as one line of key=value pairs.
package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// timeFormat includes milliseconds, since related events are often less than a second apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. Level is debug, info, warn or error; any other value means info.
func New(w io.Writer, level, process string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		lvl = zerolog.InfoLevel
	}
	stamp := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
	})
	return zerolog.New(&lineWriter{out: w}).Level(lvl).Hook(stamp).With().Str("process", process).Logger()
}

// lineWriter converts the JSON object of each event into one line of key=value pairs.
type lineWriter struct {
	out io.Writer
}

// Write implements io.Writer. It expects exactly one JSON object, as zerolog writes it.
func (l *lineWriter) Write(p []byte) (int, error) {
	line, err := formatLine(p)
	if err != nil {
		return 0, errors.Wrap(err, "format log line")
	}
	if _, err := l.out.Write(line); err != nil {
		return 0, errors.Wrap(err, "write log line")
	}
	return len(p), nil
}

// formatLine converts one flat JSON object, as zerolog writes it, in one pass. Only text that needs quoting is decoded.
func formatLine(event []byte) ([]byte, error) {
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' || rest[len(rest)-1] != '}' {
		return nil, errors.Errorf("event %q is not an object", event)
	}
	rest = rest[1 : len(rest)-1]
	line := make([]byte, 0, len(event))
	for len(rest) > 0 {
		key := rest[:valueLength(rest)]
		rest = rest[len(key):]
		if key[0] != '"' || len(rest) < 2 || rest[0] != ':' {
			return nil, errors.Errorf("event %q has a key that is not text", event)
		}
		value := rest[1 : 1+valueLength(rest[1:])]
		rest = bytes.TrimPrefix(rest[1+len(value):], []byte(","))
		if len(line) > 0 {
			line = append(line, ' ')
		}
		line = append(appendValue(line, key), '=')
		line = appendValue(line, value)
	}
	return append(line, '\n'), nil
}

// valueLength returns the length of the JSON value at the start of b, up to the next comma or colon outside the value.
func valueLength(b []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case depth == 0 && (c == ',' || c == ':'):
			return i
		}
	}
	return len(b)
}

// appendValue appends a JSON value: text without its quotes where that is unambiguous, and any other value unchanged.
func appendValue(line, value []byte) []byte {
	if len(value) > 2 && value[0] == '"' {
		if inner := value[1 : len(value)-1]; !bytes.ContainsFunc(inner, needsQuote) {
			return append(line, inner...)
		}
	}
	var text string
	if json.Unmarshal(value, &text) != nil {
		text = string(value)
	}
	return append(line, quote(text)...)
}

// quote returns the text unchanged if it is unambiguous, and as a quoted Go string otherwise.
func quote(text string) string {
	if text == "" || strings.ContainsFunc(text, needsQuote) {
		return strconv.QuoteToASCII(text)
	}
	return text
}

func needsQuote(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > unicode.MaxASCII || r == 0x7f
}
