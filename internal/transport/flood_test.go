package transport

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// Guards against a faulty upstream that fills the memory with heads without end, in responses to requests and to probes.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	const (
		maxFloodBytes = 8 << 20 // a head and the socket buffers of both ends
		floodLimit    = 64 << 20
		patience      = 30 * time.Second
	)
	dialer := &net.Dialer{Timeout: patience}
	client := NewClient(settings.Timeouts{
		FirstByte: settings.Duration(patience), BetweenBytes: settings.Duration(patience),
	}, dialer, NewProber(dialer), tally.NoopScope)
	defer client.Close()
	for _, tt := range []struct {
		name, prefix, text string
		call               func(address string) error
	}{
		{"long line", "HTTP/1.1 200 OK\r\nX-Long: ", "x", func(address string) error {
			_, err := client.Send(context.Background(), testExchange(false), "u", address)
			return err
		}},
		{"many lines", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n", func(address string) error {
			_, err := client.Send(context.Background(), testExchange(true), "u", address)
			return err
		}},
		{"probe", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n", func(address string) error {
			_, err := client.prober.probe(context.Background(), address)
			return err
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			block := strings.Repeat(tt.text, 1+(64<<10)/len(tt.text))
			address := faultyUpstream(t, func(conn net.Conn) {
				respondWith(tt.prefix)(conn)
				for sent.Load() < floodLimit {
					n, err := io.WriteString(conn, block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			is.True(tt.call(address) != nil)
			is.True(sent.Load() <= maxFloodBytes)
		})
	}
}
