// Package platform is a stand-in for the platform's services: a configuration service that routers can read and watch
// but not write, and a delayed list of live and leaving hosts. Operators publish through its admin address.
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

// HeaderIndex is the response header with the index of the configuration value.
const HeaderIndex = "X-Config-Index"

// maxValueBytes is the maximum size of a configuration value.
const maxValueBytes = 1 << 20

// maxWait is the maximum duration of a watch.
const maxWait = time.Minute

// Faults of the platform in addition to those of package faults.
const (
	// Down makes the platform respond to every call with status 503 for Duration.
	Down faults.Kind = "down"
	// Stale makes the platform serve its current value for Duration, regardless of later publications.
	Stale faults.Kind = "stale"
)

// HostStatus is the status of a host in the platform's list.
type HostStatus string

// Host statuses.
const (
	HostLive    HostStatus = "live"
	HostLeaving HostStatus = "leaving"
)

// Host is an entry of the list of hosts.
type Host struct {
	Name   string     `json:"name"`
	Status HostStatus `json:"status"`
}

// value is one version of the configuration.
type value struct {
	index uint64
	raw   []byte
}

// Platform is a stand-in platform.
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

// Calls counts the calls by kind. A watch counts once, when it begins.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
	Refused uint64 `json:"refused"`
}

// New returns a platform whose first configuration value is raw.
func New(s settings.Platform, raw []byte, log zerolog.Logger) *Platform {
	p := &Platform{settings: s, current: value{index: 1, raw: raw}, changed: make(chan struct{})}
	p.server = faults.NewServer(s.Address, p.handler(), nil, log)
	return p
}

// Server returns the server of the public address.
func (p *Platform) Server() *faults.Server { return p.server }

func (p *Platform) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/config/{fleet}", p.serveConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/hosts", p.serveHosts).Methods(http.MethodGet)
	return r
}

// AdminHandler returns the handler of the admin address, through which operators publish.
func (p *Platform) AdminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/config", p.servePublish).Methods(http.MethodPut)
	r.HandleFunc("/admin/hosts", p.servePublishHosts).Methods(http.MethodPut)
	r.PathPrefix("/").Handler(server.AdminHandler(p))
	return r
}

// Fault implements server.StandIn.
func (p *Platform) Fault(o faults.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(o.Duration())
	switch o.Kind {
	case Down:
		p.downUntil = until
		p.notifyWatches()
	case Stale:
		p.stale, p.staleUntil = p.current, until
	default:
		return p.server.Apply(o)
	}
	return nil
}

// notifyWatches makes every pending watch check the value again. The caller must hold mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish replaces the configuration value.
func (p *Platform) Publish(raw []byte) error {
	if len(raw) > maxValueBytes {
		return errors.Errorf("value has %d bytes, limit is %d", len(raw), maxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = value{index: p.current.index + 1, raw: raw}
	p.notifyWatches()
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

// visibleValue returns the value that readers see, and whether the platform is down. The caller must hold mu.
func (p *Platform) visibleValue() (value, bool) {
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
	p.countConfigCall(index != "")
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	for {
		p.mu.Lock()
		v, down := p.visibleValue()
		changed := p.changed
		p.mu.Unlock()
		if down {
			p.writeUnavailable(w)
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

func (p *Platform) countConfigCall(watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		p.calls.Watches++
	} else {
		p.calls.Reads++
	}
}

func (p *Platform) writeUnavailable(w http.ResponseWriter) {
	p.mu.Lock()
	p.calls.Refused++
	p.mu.Unlock()
	http.Error(w, "platform is down", http.StatusServiceUnavailable)
}

// serveHosts responds with the newest list that is at least HostLag old.
func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.calls.Hosts++
	_, down := p.visibleValue()
	hosts := []Host{}
	for _, h := range p.hosts {
		if time.Since(h.at) >= p.settings.HostLag.Std() {
			hosts = h.hosts
		}
	}
	p.mu.Unlock()
	if down {
		p.writeUnavailable(w)
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
