package soak

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// storeItem is an item or a change in a response.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store, implemented from its documentation.
type store struct {
	mu             sync.Mutex
	revision       uint64
	oldestRevision uint64
	items          map[string]storeItem
	history        []storeItem
	changed        chan struct{}
	// failing makes all calls fail with status 503.
	failing bool
}

func newStore(t *testing.T, address string) *store {
	t.Helper()
	s := &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *store) change(item storeItem) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
}

func (s *store) remove(key string) time.Time { return s.change(storeItem{Key: key, Deleted: true}) }

// dropHistory discards the change history, as the platform may do at any time.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision
}

func (s *store) fail(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = on
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		failing, oldest, at, changed := s.failing, s.oldestRevision, s.revision, s.changed
		items := []storeItem{}
		if r.URL.Path == "/kv-range" {
			for _, item := range s.items {
				items = append(items, item)
			}
		}
		for _, item := range s.history {
			if r.URL.Path == "/kv-watch" && item.Revision > after && strings.HasPrefix(item.Key, q.Get("prefix")) {
				items = append(items, item)
			}
		}
		s.mu.Unlock()
		switch {
		case failing:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case r.URL.Path == "/kv-range":
			_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "at": at})
			return
		case after < oldest:
			w.WriteHeader(http.StatusGone)
			return
		case len(items) > 0:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": items, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": items, "at": at})
			return
		}
	}
}
