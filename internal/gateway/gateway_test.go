package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/upconn"
)

// A peer or a store that sends without end must not fill the memory of this host.
func TestResponsesOfPeersAreLimited(t *testing.T) {
	block := []byte(strings.Repeat("x", 64<<10))
	tests := []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"body", func(w http.ResponseWriter, _ *http.Request) {
			for sent := 0; sent < 4*maxPeerResponseBytes; sent += len(block) {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}},
		{"head", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 2*maxPeerHeaderBytes))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(tt.serve)
			defer server.Close()
			client := &http.Client{Transport: NewTransport(upconn.NewPool(nil, clockwork.NewRealClock()))}
			resp, err := client.Get(server.URL)
			if err == nil {
				defer resp.Body.Close()
				var n int64
				n, err = io.Copy(io.Discard, resp.Body)
				is.True(n <= maxPeerResponseBytes)
			}
			is.True(err != nil)
		})
	}
}
