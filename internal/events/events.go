// Package events splits a text/event-stream into complete events and parses their IDs.
package events

import (
	"bytes"
	"strconv"
)

// Scanner buffers the bytes of a stream and returns complete events. The zero value is ready to use.
type Scanner struct {
	pending []byte
	// LastID is the ID of the last event returned, or 0 before the first event with an ID.
	LastID int64
	// SkipThroughID is the ID up to which events are dropped because the caller already has them; 0 drops none.
	SkipThroughID int64
}

// Feed appends the next bytes and returns the events that they complete, without those up to SkipThroughID.
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

// Incomplete returns the bytes of an incomplete event at the end of the stream so far.
func (s *Scanner) Incomplete() []byte { return s.pending }

// Resume discards an incomplete event and skips events up to LastID, so that the stream can continue from another
// source.
func (s *Scanner) Resume() {
	s.pending = s.pending[:0]
	s.SkipThroughID = max(s.SkipThroughID, s.LastID)
}

// eventLength returns the length of the first event in b, including the empty line at its end, or 0 if the event is
// incomplete.
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
