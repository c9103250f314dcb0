package bounds

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// storeItem is an item in a response.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// store is a stand-in for the platform's store whose items do not change while it is read.
type store struct{ items []storeItem }

func (s *store) put(t *testing.T, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	s.items = append(s.items, storeItem{key, base64.StdEncoding.EncodeToString(raw), uint64(len(s.items) + 1)})
}

// ServeHTTP implements http.Handler. A watch never returns a change.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	response := map[string]any{"at": len(s.items), "items": s.items, "events": []storeItem{}, "has_more": false}
	if r.URL.Path == "/kv-watch" {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *store) start(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
}
