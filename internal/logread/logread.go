// Package logread parses the lines that package logging writes and collects the lines that concern one request.
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

// Names of the common log fields.
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

// maxLineBytes bounds the length of one line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time   time.Time         `json:"time"`
	Host   string            `json:"host"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// Text is the unparsed line.
	Text string `json:"-"`
}

// Parse parses one line. Words before the first key=value pair, such as the prefix of a log collector, are skipped. It
// returns false for a line that is not an event.
func Parse(text string) (Line, bool) {
	line := Line{Fields: map[string]string{}, Text: text}
	for rest := strings.TrimSpace(text); rest != ""; {
		var word string
		word, rest = cutWord(rest)
		key, value, found := strings.Cut(word, "=")
		if !found {
			continue
		}
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		line.Fields[key] = value
	}
	line.Event, line.Host = line.Fields[FieldEvent], line.Fields[FieldHost]
	at, err := time.Parse(time.RFC3339Nano, line.Fields[FieldTime])
	line.Time = at
	return line, err == nil && line.Event != ""
}

// cutWord splits the text at the first space outside quotes.
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

// Read returns the events of the logs in order of time. The logs may be of any number of hosts, in any order.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
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

// contextWindow is the time before and after a request within which other events are reported as its context.
const contextWindow = 3 * time.Second

// RequestHistory holds the log lines that concern one request.
type RequestHistory struct {
	Request string `json:"request"`
	// RequestLines holds the lines of the request itself.
	RequestLines []Line `json:"own"`
	// ContextLines holds lines of the same hosts, about the upstreams to which the request was sent or about no
	// particular upstream, that show the state of the host at that time.
	ContextLines []Line `json:"facts"`
}

// FindRequest returns the history of the request. RequestLines is empty if the logs do not contain it: only a sample is
// logged of the requests that were served in time at the first attempt.
func FindRequest(lines []Line, request string) RequestHistory {
	history := RequestHistory{Request: request}
	var startTime, endTime time.Time
	hosts, upstreams := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Fields[FieldRequest] != request {
			continue
		}
		history.RequestLines = append(history.RequestLines, line)
		hosts[line.Host] = true
		took, err := strconv.ParseFloat(line.Fields[FieldTook], 64)
		startedAt := line.Time
		if err == nil {
			startedAt = startedAt.Add(-time.Duration(took * float64(time.Millisecond)))
		}
		if startTime.IsZero() || startedAt.Before(startTime) {
			startTime = startedAt
		}
		endTime = line.Time
		for _, attempt := range strings.Split(line.Fields[FieldTrail], ";") {
			id, _, _ := strings.Cut(attempt, "@")
			upstreams[id] = true
		}
		upstreams[line.Fields[FieldPeer]] = true
	}
	delete(upstreams, "")
	if len(history.RequestLines) == 0 {
		return history
	}
	for _, line := range lines {
		inWindow := !line.Time.Before(startTime.Add(-contextWindow)) && !line.Time.After(endTime.Add(contextWindow))
		if inWindow && line.Fields[FieldRequest] == "" && hosts[line.Host] && isRelevant(line, upstreams) {
			history.ContextLines = append(history.ContextLines, line)
		}
	}
	return history
}

// isRelevant reports whether a line without a request ID concerns requests that were sent to these upstreams: it names
// one of them, or no upstream at all.
func isRelevant(line Line, upstreams map[string]bool) bool {
	id := line.Fields[FieldUpstream]
	return id == "" || upstreams[id]
}
