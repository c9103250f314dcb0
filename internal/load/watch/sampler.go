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

// Intervals between samples, and the timeout for reading one state dump.
const (
	loadInterval    = 100 * time.Millisecond
	versionInterval = 500 * time.Millisecond
	stateTimeout    = time.Second
)

// Upstream is an upstream whose state dump is read.
type Upstream struct {
	Name         string
	AdminAddress string
}

// Pool is a pool of engines whose load is sampled.
type Pool struct {
	Name      string
	Factor    float64
	Upstreams []Upstream
}

// Sampler periodically reads the state dumps of engines and routers during a run. It is safe for concurrent use.
type Sampler struct {
	Pools []Pool
	Hosts []Host
	// IsDraining reports whether the document gives the upstream no new requests, IsCrashed whether it is in a simulated
	// crash.
	IsDraining func(upstream string) bool
	IsCrashed  func(upstream string) bool

	client   *http.Client
	mu       sync.Mutex
	loads    []record.Load
	versions []record.Version
}

// Run takes samples periodically until the context ends.
func (s *Sampler) Run(ctx context.Context) {
	s.client = &http.Client{Timeout: stateTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, loadInterval, func() { s.sampleLoads(ctx) }) })
	wg.Go(func() { runPeriodically(ctx, versionInterval, func() { s.sampleVersions(ctx) }) })
	wg.Wait()
}

func runPeriodically(ctx context.Context, interval time.Duration, do func()) {
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
		loads := make([]*record.UpstreamLoad, len(pool.Upstreams))
		var wg sync.WaitGroup
		for i, u := range pool.Upstreams {
			wg.Go(func() { loads[i] = s.sampleEngine(ctx, u) })
		}
		wg.Wait()
		for _, l := range loads {
			if l != nil {
				sample.Upstreams = append(sample.Upstreams, *l)
			}
		}
		s.mu.Lock()
		s.loads = append(s.loads, sample)
		s.mu.Unlock()
	}
}

// sampleEngine returns the load of an engine, or nil if the engine is crashed or its state cannot be read.
func (s *Sampler) sampleEngine(ctx context.Context, u Upstream) *record.UpstreamLoad {
	if s.IsCrashed(u.Name) {
		return nil
	}
	var state engine.State
	if err := readState(ctx, s.client, u.AdminAddress, &state); err != nil {
		return nil
	}
	return &record.UpstreamLoad{
		Name: u.Name, InFlight: state.Waiting + state.Active, Total: state.Stats.Requests, Draining: s.IsDraining(u.Name),
	}
}

// routerState is the part of a router state dump that is sampled.
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
		if h.AdminAddress == "" {
			continue
		}
		var state routerState
		if err := readState(ctx, s.client, h.AdminAddress, &state); err != nil {
			continue
		}
		s.mu.Lock()
		s.versions = append(s.versions, record.Version{
			At: time.Now(), Router: h.Name, Incarnation: state.Incarnation, Version: state.Config.Version,
			Hash: state.Config.Hash, Ready: state.NotReady == "",
		})
		s.mu.Unlock()
	}
}

// Samples returns all samples taken so far.
func (s *Sampler) Samples() ([]record.Load, []record.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]record.Load(nil), s.loads...), append([]record.Version(nil), s.versions...)
}

// ServiceRuns returns the calls that a service has run, from its state dump.
func ServiceRuns(ctx context.Context, u Upstream) ([]record.Run, error) {
	var state service.State
	if err := readState(ctx, &http.Client{Timeout: 10 * stateTimeout}, u.AdminAddress, &state); err != nil {
		return nil, errors.Wrapf(err, "read runs of service %s", u.Name)
	}
	runs := make([]record.Run, len(state.Runs))
	for i, r := range state.Runs {
		runs[i] = record.Run{
			Upstream: u.Name, At: r.At, RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey, Path: r.Path, Body: r.Body,
		}
	}
	return runs, nil
}

func readState(ctx context.Context, client *http.Client, admin string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/state", nil)
	if err != nil {
		return errors.Wrap(err, "build state request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "read state")
	}
	defer resp.Body.Close()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(v), "decode state of %s", admin)
}
