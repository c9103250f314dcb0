// Package platform is the stand-in for the platform's services: a configuration service that routers can only read and
// watch, and a lagging list of live and leaving hosts. Operators publish on its admin address.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
	"github.com/orioleusher/orioleusher/internal/standin/server"
)

// HeaderIndex carries the index of a configuration value.
const HeaderIndex = "X-Config-Index"

// maxValueBytes is the largest value that the platform holds.
const maxValueBytes = 1 << 20

// maxWait bounds a watch.
const maxWait = time.Minute

// Kinds of fault beyond those of package faults.
const (
	// Down answers every call with 503 for Duration.
	Down faults.Kind = "down"
	// Stale serves the value of the time of the order for Duration, whatever is published.
	Stale faults.Kind = "stale"
)

// HostStatus says what the platform believes of a host.
type HostStatus string

// The statuses.
const (
	HostLive    HostStatus = "live"
	HostLeaving HostStatus = "leaving"
)

// Host is one row of the list of hosts.
type Host struct {
	Name   string     `json:"name"`
	Status HostStatus `json:"status"`
}

// value is one version of the configuration value.
type value struct {
	index uint64
	raw   []byte
}

// Platform is the stand-in.
type Platform struct {
	settings settings.Platform
	server   *faults.Server

	mu         sync.Mutex
	current    value
	stale      value
	staleUntil time.Time
	downUntil  time.Time
	hosts      []timedHosts
	calls      Calls
	changed    chan struct{}
}

type timedHosts struct {
	at    time.Time
	hosts []Host
}

// Calls counts each call; a waiting watch is one.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
	Refused uint64 `json:"refused"`
}

// New returns a platform that publishes raw as its first value.
func New(s settings.Platform, raw []byte, log zerolog.Logger) *Platform {
	p := &Platform{settings: s, current: value{index: 1, raw: raw}, changed: make(chan struct{})}
	p.server = faults.NewServer(s.Address, p.handler(), nil, log)
	return p
}

// Server returns the public server.
func (p *Platform) Server() *faults.Server { return p.server }

func (p *Platform) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/config/{fleet}", p.serveConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/hosts", p.serveHosts).Methods(http.MethodGet)
	return r
}

// AdminHandler returns the handler of the admin address, where operators publish.
func (p *Platform) AdminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/config", p.servePublish).Methods(http.MethodPut)
	r.HandleFunc("/admin/hosts", p.servePublishHosts).Methods(http.MethodPut)
	r.PathPrefix("/").Handler(server.AdminHandler(p))
	return r
}

// Fault implements server.StandIn.
func (p *Platform) Fault(o faults.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(o.Duration())
	switch o.Kind {
	case Down:
		p.downUntil = until
		p.wakeWatches()
	case Stale:
		p.stale, p.staleUntil = p.current, until
	default:
		return p.server.Apply(o)
	}
	return nil
}

// wakeWatches makes every waiting watch look again. The caller holds mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish replaces the value.
func (p *Platform) Publish(raw []byte) error {
	if len(raw) > maxValueBytes {
		return errors.Errorf("value has %d bytes, limit is %d", len(raw), maxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = value{index: p.current.index + 1, raw: raw}
	p.wakeWatches()
	return nil
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err == nil {
		err = p.Publish(raw)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (p *Platform) servePublishHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, timedHosts{at: time.Now(), hosts: hosts})
}

// visible returns the value that readers see, and whether the platform is down. The caller holds mu.
func (p *Platform) visible() (value, bool) {
	now := time.Now()
	if now.Before(p.downUntil) {
		return value{}, true
	}
	if now.Before(p.staleUntil) {
		return p.stale, false
	}
	return p.current, false
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	index := r.URL.Query().Get("index")
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	p.count(index != "")
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	for {
		p.mu.Lock()
		v, down := p.visible()
		changed := p.changed
		p.mu.Unlock()
		if down {
			p.refuse(w)
			return
		}
		if text := strconv.FormatUint(v.index, 10); text != index {
			w.Header().Set(HeaderIndex, text)
			_, _ = w.Write(v.raw)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (p *Platform) count(watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		p.calls.Watches++
	} else {
		p.calls.Reads++
	}
}

func (p *Platform) refuse(w http.ResponseWriter) {
	p.mu.Lock()
	p.calls.Refused++
	p.mu.Unlock()
	http.Error(w, "platform is down", http.StatusServiceUnavailable)
}

// serveHosts answers with the newest list that is at least HostLag old.
func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.calls.Hosts++
	_, down := p.visible()
	hosts := []Host{}
	for _, h := range p.hosts {
		if time.Since(h.at) >= p.settings.HostLag.Std() {
			hosts = h.hosts
		}
	}
	p.mu.Unlock()
	if down {
		p.refuse(w)
		return
	}
	admin.WriteJSON(w, hosts)
}

// State is the platform's state dump.
type State struct {
	Index uint64 `json:"index"`
	Calls Calls  `json:"calls"`
}

// State implements server.StandIn.
func (p *Platform) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{Index: p.current.index, Calls: p.calls}
}
