// Package events splits a text/event-stream into complete events and parses their IDs.
package events

import (
	"bytes"
	"strconv"
)

// MaxEventBytes limits one event. The buffer of a stream holds at most one event and one read.
const MaxEventBytes = 256 << 10

// Scanner buffers the bytes of a stream and returns complete events. The zero value is ready to use.
type Scanner struct {
	pending []byte
	// lineStart is the start of the last line in pending, of which the first searched bytes of pending hold no end.
	lineStart, searched int
	// LastID is the ID of the last event returned, or 0 before the first event with an ID.
	LastID int64
	// SkipThroughID is the ID up to which events are dropped because the caller already has them; 0 drops none.
	SkipThroughID int64
	// DataEvents is the number of events with an ID or data so far. Others, such as comments, show no progress.
	DataEvents int
	// resumed is set once the stream continues from another source after an event with an ID.
	resumed bool
	// foreign is set once such a source sent something that is no event of the stream.
	foreign bool
}

// Feed appends the next bytes and returns the events that they complete, without those up to SkipThroughID.
func (s *Scanner) Feed(p []byte) []byte {
	if s.foreign {
		return nil
	}
	s.pending = append(s.pending, p...)
	var out []byte
	start := 0
	for s.nextEvent() {
		event := s.pending[start:s.lineStart]
		start = s.lineStart
		id, ok := eventID(event)
		if ok || hasData(event) {
			s.DataEvents++
		}
		if ok && s.SkipThroughID > 0 && id <= s.SkipThroughID {
			continue
		}
		if !ok && s.resumed && !isAuxiliary(event) {
			s.foreign = true
			break
		}
		out = append(out, event...)
		if ok {
			s.LastID = id
		}
	}
	if start > 0 {
		s.pending = append(s.pending[:0], s.pending[start:]...)
		s.lineStart -= start
		s.searched -= start
	}
	return out
}

// nextEvent searches for the end of the next event, which is an empty line, and sets lineStart behind it. It searches
// each byte once.
func (s *Scanner) nextEvent() bool {
	for {
		end := bytes.IndexByte(s.pending[s.searched:], '\n')
		if end < 0 {
			s.searched = len(s.pending)
			return false
		}
		line := s.pending[s.lineStart : s.searched+end]
		s.searched += end + 1
		s.lineStart = s.searched
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return true
		}
	}
}

// Incomplete returns the bytes of an incomplete event at the end of the stream so far.
func (s *Scanner) Incomplete() []byte { return s.pending }

// TooLarge reports whether the incomplete event exceeds MaxEventBytes.
func (s *Scanner) TooLarge() bool { return len(s.pending) > MaxEventBytes }

// Resume discards an incomplete event and skips events up to LastID, so that the stream can continue from another
// source.
func (s *Scanner) Resume() {
	s.pending, s.lineStart, s.searched = s.pending[:0], 0, 0
	s.SkipThroughID = max(s.SkipThroughID, s.LastID)
	s.resumed, s.foreign = s.LastID > 0, false
}

// Foreign reports whether the source from which the stream was resumed sent something without an ID that is no event of the
// stream, such as the text of an error.
func (s *Scanner) Foreign() bool { return s.foreign }

// isAuxiliary reports whether the event holds only comments and fields that need no ID.
func isAuxiliary(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) && !bytes.HasPrefix(line, []byte("event:")) {
			return false
		}
	}
	return true
}

func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
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
