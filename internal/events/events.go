// Package events cuts a text/event-stream into whole events and reads their ids.
package events

import (
	"bytes"
	"strconv"
)

// Scanner collects the bytes of a stream and gives out whole events. The zero value is ready.
type Scanner struct {
	pending []byte
	// LastID is the id of the last event that was given out, 0 before the first one that has an id.
	LastID int64
	// SkipThroughID is the id up to which events are dropped, because the caller has them; 0 drops none.
	SkipThroughID int64
}

// Feed takes the next bytes and returns the whole events that they complete, without those up to After.
func (s *Scanner) Feed(p []byte) []byte {
	s.pending = append(s.pending, p...)
	var out []byte
	end := 0
	for {
		length := eventLength(s.pending[end:])
		if length == 0 {
			break
		}
		event := s.pending[end : end+length]
		end += length
		id, ok := eventID(event)
		if ok && s.SkipThroughID > 0 && id <= s.SkipThroughID {
			continue
		}
		out = append(out, event...)
		if ok {
			s.LastID = id
		}
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return out
}

// Incomplete returns the bytes of an event that is not whole.
func (s *Scanner) Incomplete() []byte { return s.pending }

// Resume drops the bytes of an event that is not whole, before another stream goes on after Last.
func (s *Scanner) Resume() {
	s.pending = s.pending[:0]
	s.SkipThroughID = max(s.SkipThroughID, s.LastID)
}

// eventLength returns the length of the first event in b with its empty line, 0 if it is not whole.
func eventLength(b []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(b[at:], '\n')
		if end < 0 {
			return 0
		}
		line := b[at : at+end]
		at += end + 1
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return at
		}
	}
}

// eventID returns the number in the event's id field.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
