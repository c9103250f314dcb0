// Package framing finds requests and responses whose end two readers may see in different places, so that one of them takes the
// rest for another message. net/http accepts some of them, and does not show which.
package framing

// Reason is why a message is ambiguous.
type Reason string

// Reasons of ambiguous messages.
const (
	// BothLengths is a Content-Length beside a Transfer-Encoding, DifferentLengths are two that contradict each other.
	BothLengths      Reason = "both-lengths"
	DifferentLengths Reason = "different-lengths"
	// BadLength is a Content-Length that is not a number of bytes.
	BadLength Reason = "content-length"
	// TransferEncoding is any but one "chunked" of HTTP/1.1.
	TransferEncoding Reason = "transfer-encoding"
	// FoldedLine is a field's line that begins with white space, LineEnd a carriage return or line feed without the other.
	FoldedLine Reason = "folded-line"
	LineEnd    Reason = "line-end"
	// FieldName is a field without a name that ends at a colon, for example one with white space before it.
	FieldName Reason = "field-name"
	// Chunk is a chunk of a body without a size and an end in the standard form.
	Chunk Reason = "chunk"
)

// Scanner reads the bytes of a connection's requests. The zero value is not valid; see NewScanner.
type Scanner struct {
	head   head
	inBody bool
	// left is the number of bytes of the body, or of a chunk of it, that are still to come.
	left  int64
	chunk chunk
	// inTrailer is set after the last chunk.
	inTrailer bool
	reason    Reason
}

// NewScanner returns a scanner for the beginning of a connection.
func NewScanner() Scanner { return Scanner{head: newHead()} }

// Reason returns why the connection must not be read on, or "".
func (s *Scanner) Reason() Reason { return s.reason }

// InBody reports whether the next byte belongs to a request's body.
func (s *Scanner) InBody() bool { return s.inBody }

// Scan reads the next bytes and returns how many of them may be used: those before the one with which a request became
// ambiguous. A reader of these cannot have reached the end of that request's head or body.
func (s *Scanner) Scan(p []byte) (usable int) {
	for n := 0; n < len(p); {
		if s.left > 0 {
			skip := min(s.left, int64(len(p)-n))
			s.left -= skip
			n += int(skip)
			s.inBody = s.inBody && (s.left > 0 || s.chunk.state != noChunk)
			continue
		}
		if s.reason = s.next(p[n]); s.reason != "" {
			return n
		}
		n++
	}
	return len(p)
}

func (s *Scanner) next(b byte) Reason {
	if s.inBody && !s.inTrailer {
		return s.nextOfChunk(b)
	}
	ended, reason := s.head.next(b)
	if !ended || reason != "" {
		return reason
	}
	if s.inTrailer {
		s.inBody, s.inTrailer = false, false
	} else {
		s.beginBody()
	}
	s.head = newHead()
	return ""
}

func (s *Scanner) beginBody() {
	s.left, s.chunk = s.head.length, chunk{}
	if s.head.chunked {
		s.chunk.state = sizeDigits
	}
	s.inBody = s.left > 0 || s.head.chunked
}

func (s *Scanner) nextOfChunk(b byte) Reason {
	if !s.chunk.next(b) {
		return Chunk
	}
	if s.chunk.state != chunkData {
		return ""
	}
	s.left = s.chunk.size
	s.chunk = chunk{state: dataCR}
	if s.left == 0 {
		s.chunk = chunk{}
		s.inTrailer, s.head = true, newTrailer()
	}
	return ""
}
