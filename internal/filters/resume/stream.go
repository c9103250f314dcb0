package resume

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneEvent ends a whole stream.
const doneEvent = "data: [DONE]"

// stream relays whole events only. When the answer under it breaks off, it goes on with another one.
type stream struct {
	attempt *attempt
	reader  *bufio.Reader
	// ready holds what Read has still to return.
	ready []byte
	// events is the number of data events that were relayed.
	events int
	done   bool
}

func newStream(a *attempt) *stream {
	return &stream{attempt: a, reader: bufio.NewReader(a.answer.Body)}
}

// Read implements io.Reader. It returns io.EOF only after the event that ends a stream.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.done {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// fill reads the next whole event, resuming the stream as often as needed.
func (s *stream) fill() error {
	event, err := readEvent(s.reader)
	if err == nil {
		s.ready = event
		s.count(event)
		return nil
	}
	if again := s.attempt.again(s.attempt.base + s.events); again != nil {
		return errors.Wrapf(again, "stream broke off (%v)", err)
	}
	s.reader = bufio.NewReader(s.attempt.answer.Body)
	return nil
}

func (s *stream) count(event []byte) {
	if bytes.HasPrefix(event, []byte(doneEvent)) {
		s.done = true
		return
	}
	if bytes.HasPrefix(event, []byte("data:")) {
		s.events++
	}
}

// readEvent returns the bytes up to and with the next empty line. An end before that is io.ErrUnexpectedEOF.
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

// Close closes the answer that is read now.
func (s *stream) Close() error {
	return errors.Wrap(s.attempt.answer.Body.Close(), "close stream")
}
