// Package logging makes the loggers of all processes: zerolog events, written as one line of key=value pairs each.
package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"unicode"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// New returns a logger that writes to w. Level is debug, info, warn or error; anything else means info.
func New(w io.Writer, level, process string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(&lineWriter{out: w}).Level(lvl).With().Timestamp().Str("process", process).Logger()
}

// lineWriter turns the JSON object of each event into one line of key=value pairs.
type lineWriter struct {
	out io.Writer
}

// Write expects exactly one JSON object, as zerolog writes it.
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

func formatLine(event []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(event))
	dec.UseNumber()
	if _, err := dec.Token(); err != nil {
		return nil, errors.Wrap(err, "open event")
	}
	var line bytes.Buffer
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, errors.Wrap(err, "read key")
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, errors.Wrap(err, "read value")
		}
		name, ok := key.(string)
		if !ok {
			return nil, errors.Errorf("key %v is not text", key)
		}
		appendPair(&line, name, value)
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

func appendPair(line *bytes.Buffer, key string, value json.RawMessage) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(quote(key))
	line.WriteByte('=')
	var text string
	if json.Unmarshal(value, &text) != nil {
		text = string(value)
	}
	line.WriteString(quote(text))
}

// quote returns text as it is if it cannot be mistaken for anything else, and as a quoted Go string otherwise.
func quote(text string) string {
	if text == "" || strings.ContainsFunc(text, needsQuote) {
		return strconv.QuoteToASCII(text)
	}
	return text
}

func needsQuote(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > unicode.MaxASCII || r == 0x7f
}
