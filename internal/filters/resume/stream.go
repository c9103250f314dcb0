package resume

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the size of one event in a stream.
const maxEventBytes = 1 << 20

// doneEvent is the event that ends a complete stream.
const doneEvent = "data: [DONE]"

// stream relays whole events only. When the underlying response breaks off, it continues with a replacement.
type stream struct {
	source *resumableResponse
	reader *bufio.Reader
	// pending holds the bytes that Read has yet to return.
	pending []byte
	// events counts the data events that were relayed, over all responses.
	events int
	done   bool
}

func newStream(resp *resumableResponse) *stream {
	return &stream{source: resp, reader: bufio.NewReader(resp.response.Body)}
}

// Read implements io.Reader. It returns io.EOF only after the event that ends the stream.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.done {
			return 0, io.EOF
		}
		if err := s.fetchEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// fetchEvent reads the next whole event, or resumes the stream when the read fails.
func (s *stream) fetchEvent() error {
	event, err := readEvent(s.reader)
	if err == nil {
		s.pending = event
		s.countEvent(event)
		return nil
	}
	if resumeErr := s.source.resumeFrom(s.source.firstEvent + s.events); resumeErr != nil {
		return errors.Wrapf(resumeErr, "stream broke off (%v)", err)
	}
	s.reader = bufio.NewReader(s.source.response.Body)
	return nil
}

func (s *stream) countEvent(event []byte) {
	if bytes.HasPrefix(event, []byte(doneEvent)) {
		s.done = true
		return
	}
	if bytes.HasPrefix(event, []byte("data:")) {
		s.events++
	}
}

// readEvent returns the bytes up to and including the next empty line. It returns io.ErrUnexpectedEOF if the stream
// ends before that.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, errors.Wrap(err, "read event")
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// Close closes the response that is being read.
func (s *stream) Close() error {
	return errors.Wrap(s.source.response.Body.Close(), "close stream")
}
