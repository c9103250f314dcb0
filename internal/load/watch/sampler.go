package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/record"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/standin/service"
)

// Times between two samples.
const (
	loadInterval    = 100 * time.Millisecond
	versionInterval = 500 * time.Millisecond
	stateTimeout    = time.Second
)

// Upstream is one engine that the sampler reads.
type Upstream struct {
	Name  string
	Admin string
}

// Pool is a pool of engines whose load is sampled.
type Pool struct {
	Name      string
	Factor    float64
	Upstreams []Upstream
}

// Sampler reads the admin addresses of engines and routers during a run. It is safe for concurrent use.
type Sampler struct {
	Pools []Pool
	Hosts []Host
	// Out reports whether the document gives the upstream no new work, Down whether it is known to be crashed.
	Out  func(upstream string) bool
	Down func(upstream string) bool

	client  *http.Client
	mu      sync.Mutex
	loads   []record.Load
	version []record.Version
}

// Run samples until the context ends.
func (s *Sampler) Run(ctx context.Context) {
	s.client = &http.Client{Timeout: stateTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, loadInterval, func() { s.sampleLoads(ctx) }) })
	wg.Go(func() { every(ctx, versionInterval, func() { s.sampleVersions(ctx) }) })
	wg.Wait()
}

func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (s *Sampler) sampleLoads(ctx context.Context) {
	for _, pool := range s.Pools {
		sample := record.Load{At: time.Now(), Pool: pool.Name, Factor: pool.Factor}
		answers := make([]*record.UpstreamLoad, len(pool.Upstreams))
		var wg sync.WaitGroup
		for i, u := range pool.Upstreams {
			wg.Go(func() { answers[i] = s.sampleEngine(ctx, u) })
		}
		wg.Wait()
		for _, a := range answers {
			if a != nil {
				sample.Upstreams = append(sample.Upstreams, *a)
			}
		}
		s.mu.Lock()
		s.loads = append(s.loads, sample)
		s.mu.Unlock()
	}
}

// sampleEngine returns nil if the engine is down or does not answer.
func (s *Sampler) sampleEngine(ctx context.Context, u Upstream) *record.UpstreamLoad {
	if s.Down(u.Name) {
		return nil
	}
	var state engine.State
	if err := getJSON(ctx, s.client, u.Admin, &state); err != nil {
		return nil
	}
	return &record.UpstreamLoad{
		Name: u.Name, InFlight: state.Waiting + state.Active, Total: state.Stats.Requests, Out: s.Out(u.Name),
	}
}

// routerState is the part of a router's state dump that a sample holds.
type routerState struct {
	Incarnation uint64 `json:"incarnation"`
	NotReady    string `json:"not_ready"`
	Config      struct {
		Version uint64 `json:"version"`
		Hash    string `json:"hash"`
	} `json:"config"`
}

func (s *Sampler) sampleVersions(ctx context.Context) {
	for _, h := range s.Hosts {
		if h.Admin == "" {
			continue
		}
		var state routerState
		if err := getJSON(ctx, s.client, h.Admin, &state); err != nil {
			continue
		}
		s.mu.Lock()
		s.version = append(s.version, record.Version{
			At: time.Now(), Router: h.Name, Incarnation: state.Incarnation, Version: state.Config.Version,
			Hash: state.Config.Hash, Ready: state.NotReady == "",
		})
		s.mu.Unlock()
	}
}

// Samples returns everything sampled so far.
func (s *Sampler) Samples() ([]record.Load, []record.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]record.Load(nil), s.loads...), append([]record.Version(nil), s.version...)
}

// ServiceRuns reads the record of what a service ran.
func ServiceRuns(ctx context.Context, u Upstream) ([]record.Run, error) {
	var state service.State
	if err := getJSON(ctx, &http.Client{Timeout: 10 * stateTimeout}, u.Admin, &state); err != nil {
		return nil, errors.Wrapf(err, "record of %s", u.Name)
	}
	runs := make([]record.Run, len(state.Runs))
	for i, r := range state.Runs {
		runs[i] = record.Run{
			Upstream: u.Name, At: r.At, RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey, Path: r.Path, Body: r.Body,
		}
	}
	return runs, nil
}

func getJSON(ctx context.Context, client *http.Client, admin string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/state", nil)
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "read state")
	}
	defer resp.Body.Close()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(v), "state of %s", admin)
}
