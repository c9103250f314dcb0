// Package logread reads the lines that package logging writes and finds what they tell of one request.
package logread

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Names of fields that every reader of the logs needs.
const (
	FieldEvent    = "event"
	FieldHost     = "process"
	FieldTime     = "time"
	FieldRequest  = "request"
	FieldUpstream = "upstream"
	FieldPeer     = "peer"
	FieldTrail    = "trail"
	FieldTook     = "took_ms"
)

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time   time.Time         `json:"time"`
	Host   string            `json:"host"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// Text is the line as it was read.
	Text string `json:"-"`
}

// Parse reads one line. Words before the first pair, such as those that a collector puts there, are passed over. It
// returns false for a line that is no event.
func Parse(text string) (Line, bool) {
	line := Line{Fields: map[string]string{}, Text: text}
	for rest := strings.TrimSpace(text); rest != ""; {
		var word string
		word, rest = cutWord(rest)
		key, value, found := strings.Cut(word, "=")
		if !found {
			continue
		}
		if plain, err := strconv.Unquote(value); err == nil {
			value = plain
		}
		line.Fields[key] = value
	}
	line.Event, line.Host = line.Fields[FieldEvent], line.Fields[FieldHost]
	at, err := time.Parse(time.RFC3339Nano, line.Fields[FieldTime])
	line.Time = at
	return line, err == nil && line.Event != ""
}

// cutWord splits text at the first space outside of quotes.
func cutWord(text string) (word, rest string) {
	quoted := false
	for i := 0; i < len(text); i++ {
		switch {
		case quoted && text[i] == '\\':
			i++
		case text[i] == '"':
			quoted = !quoted
		case text[i] == ' ' && !quoted:
			return text[:i], strings.TrimLeft(text[i:], " ")
		}
	}
	return text, ""
}

// Read returns the events of the logs, of any number of hosts in any order, by time.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, ok := Parse(scanner.Text()); ok {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// around is how long before a request and after it a fact counts as one of its surroundings.
const around = 3 * time.Second

// RequestHistory is what the logs tell of one request.
type RequestHistory struct {
	Request string `json:"request"`
	// RequestLines are the lines of the request itself.
	RequestLines []Line `json:"own"`
	// ContextLines are the lines of the same host, and of the upstreams that the request was sent to, that tell what the host
	// believed at that time.
	ContextLines []Line `json:"facts"`
}

// FindRequest returns the life of the request. Own is empty if the logs do not have it: requests that were served in time at the
// first send are logged by a sample only.
func FindRequest(lines []Line, request string) RequestHistory {
	life := RequestHistory{Request: request}
	var from, to time.Time
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Fields[FieldRequest] != request {
			continue
		}
		life.RequestLines = append(life.RequestLines, line)
		hosts[line.Host] = true
		took, err := strconv.ParseFloat(line.Fields[FieldTook], 64)
		begun := line.Time
		if err == nil {
			begun = begun.Add(-time.Duration(took * float64(time.Millisecond)))
		}
		if from.IsZero() || begun.Before(from) {
			from = begun
		}
		to = line.Time
		for _, send := range strings.Split(line.Fields[FieldTrail], ";") {
			id, _, _ := strings.Cut(send, "@")
			upstreams[id] = true
		}
		upstreams[line.Fields[FieldPeer]] = true
	}
	delete(upstreams, "")
	if len(life.RequestLines) == 0 {
		return life
	}
	for _, line := range lines {
		near := !line.Time.Before(from.Add(-around)) && !line.Time.After(to.Add(around))
		if near && line.Fields[FieldRequest] == "" && hosts[line.Host] && bears(line, upstreams) {
			life.ContextLines = append(life.ContextLines, line)
		}
	}
	return life
}

// bears reports whether a line without a request bears on requests that were sent to these upstreams: it names one of
// them, or no upstream at all.
func bears(line Line, upstreams map[string]bool) bool {
	id := line.Fields[FieldUpstream]
	return id == "" || upstreams[id]
}
