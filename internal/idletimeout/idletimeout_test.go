package idletimeout

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const limit = 100 * time.Millisecond

// Guards against a response that is cut off as silent while its receiver takes long for what has been read.
func TestSlowReceiverDoesNotCountAsSilence(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	body := WithIdleTimeout(r, limit)
	go func() {
		for range 3 {
			_, _ = io.WriteString(w, "chunk")
		}
		w.Close()
	}()
	buf := make([]byte, len("chunk"))
	for range 3 {
		time.Sleep(2 * limit)
		n, err := body.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), "chunk")
	}
	_, err := body.Read(buf)
	is.Equal(err, io.EOF)
	is.NoErr(body.Close())
}

func TestSilenceEndsRead(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	body := WithIdleTimeout(r, limit)
	go func() { _, _ = io.WriteString(w, "chunk") }()
	start := time.Now()
	raw, err := io.ReadAll(body)
	is.Equal(string(raw), "chunk")
	is.True(errors.Is(err, ErrIdleTimeout))
	is.True(time.Since(start) >= limit)
}

// lateEnd is a body whose end comes as the timeout expires.
type lateEnd struct{}

func (lateEnd) Read([]byte) (int, error) {
	time.Sleep(2 * limit)
	return 0, io.EOF
}

func (lateEnd) Close() error { return nil }

// Guards against a whole response that is reported as cut off because its end came as the timeout expired.
func TestEndAtTimeoutIsEnd(t *testing.T) {
	_, err := WithIdleTimeout(lateEnd{}, limit).Read(make([]byte, 1))
	is.New(t).Equal(err, io.EOF)
}
