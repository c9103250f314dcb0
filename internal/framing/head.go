package framing

import (
	"strconv"
	"strings"
)

// maxText is the most that is kept of a field's name or value. No longer one delimits a body.
const maxText = 20

// text is the beginning of a field's name or value.
type text struct {
	bytes [maxText]byte
	n     int
	long  bool
}

func (t *text) add(b byte) {
	if t.n == maxText {
		t.long = true
		return
	}
	t.bytes[t.n] = b
	t.n++
}

// String returns the text without the white space around it, or something that is no length and no encoding if it is too long.
func (t *text) String() string {
	if t.long {
		return "..."
	}
	return strings.Trim(string(t.bytes[:t.n]), " \t")
}

// part is the part of a head to which the next byte belongs.
type part int

const (
	startLine part = iota
	fieldStart
	fieldName
	fieldValue
)

// head reads the lines of a head, or of a trailer, and keeps what tells how long the body is.
type head struct {
	part part
	// empty is set until the start line has begun.
	empty bool
	cr    bool
	// tail is the last eight bytes of the start line.
	tail        uint64
	name, value text
	// length is the value of Content-Length, if hasLength is set.
	length             int64
	hasLength, chunked bool
}

func newHead() head    { return head{empty: true} }
func newTrailer() head { return head{part: fieldStart} }

// next reads a byte and reports whether it ends the head.
func (h *head) next(b byte) (ended bool, reason Reason) {
	switch {
	case b == '\r' && !h.cr:
		h.cr = true
		return false, ""
	case h.cr != (b == '\n'):
		return false, LineEnd
	case h.cr:
		h.cr = false
		return h.endLine()
	}
	return false, h.add(b)
}

func (h *head) add(b byte) Reason {
	switch h.part {
	case startLine:
		h.empty = false
		h.tail = h.tail<<8 | uint64(b)
		return ""
	case fieldStart:
		if b == ' ' || b == '\t' {
			return FoldedLine
		}
		h.name, h.value, h.part = text{}, text{}, fieldName
		return h.addToName(b)
	case fieldName:
		return h.addToName(b)
	default:
		h.value.add(b)
		return ""
	}
}

func (h *head) addToName(b byte) Reason {
	switch {
	case b == ':' && h.name.n > 0:
		h.part = fieldValue
	case isToken(b):
		h.name.add(b)
	default:
		return FieldName
	}
	return ""
}

// isToken reports whether a field's name may contain the byte.
func isToken(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func (h *head) endLine() (ended bool, reason Reason) {
	switch h.part {
	case startLine:
		if !h.empty {
			h.part = fieldStart
		}
		return false, ""
	case fieldStart:
		return true, h.check()
	case fieldName:
		return false, FieldName
	default:
		h.part = fieldStart
		return false, h.endField()
	}
}

func (h *head) endField() Reason {
	switch strings.ToLower(h.name.String()) {
	case "content-length":
		length, err := strconv.ParseUint(h.value.String(), 10, 63)
		if err != nil {
			return BadLength
		}
		if h.hasLength && h.length != int64(length) {
			return DifferentLengths
		}
		h.length, h.hasLength = int64(length), true
	case "transfer-encoding":
		if h.chunked || !strings.EqualFold(h.value.String(), "chunked") {
			return TransferEncoding
		}
		h.chunked = true
	}
	return ""
}

// check returns why the body of a whole head may be delimited in different ways.
func (h *head) check() Reason {
	switch {
	case h.chunked && h.hasLength:
		return BothLengths
	case h.chunked && !h.isHTTP11():
		return TransferEncoding
	default:
		return ""
	}
}

func (h *head) isHTTP11() bool {
	const version = 'H'<<56 | 'T'<<48 | 'T'<<40 | 'P'<<32 | '/'<<24 | '1'<<16 | '.'<<8 | '1'
	return h.tail == version
}
