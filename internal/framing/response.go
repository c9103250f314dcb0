package framing

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrBothLengths is the error of a response with a Content-Length beside a Transfer-Encoding.
var ErrBothLengths = errors.New("response has a Content-Length beside a Transfer-Encoding")

// CheckResponse returns ErrBothLengths if the bytes begin with the head of a response with both lengths, after any number of
// informational ones.
func CheckResponse(raw []byte) error {
	var length, encoding, informational, inHead bool
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case !inHead:
			inHead, informational = true, bytes.HasPrefix(line, []byte("HTTP/1.1 1"))
			continue
		case len(line) == 0 && !informational:
			return bothLengths(length, encoding)
		case len(line) == 0:
			length, encoding, inHead = false, false, false
			continue
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		encoding = encoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return bothLengths(length, encoding)
}

func bothLengths(length, encoding bool) error {
	if length && encoding {
		return ErrBothLengths
	}
	return nil
}
