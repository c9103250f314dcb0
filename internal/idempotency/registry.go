package idempotency

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

const (
	// keyLifetime is how long an issued key may be used and how long its result is stored.
	keyLifetime = 10 * time.Minute
	// maxRuns bounds the runs in the registry. A run that may have reached an upstream is never removed before its
	// key expires.
	maxRuns = 100_000
	// maxKeptBytes bounds the total size of the stored bodies.
	maxKeptBytes = 32 << 20
	// sweepInterval is the shortest time between two removals of expired runs.
	sweepInterval = time.Second
)

// ErrStopping is returned by Issue during a planned stop, since a new key would become invalid with the process.
var ErrStopping = errors.New("the process is stopping")

// Result is the stored result of a key's run.
type Result struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	// Refusal is set if the run did not end with a complete response.
	Refusal *outcome.Refusal
	// Dropped is set if the run received a response but storing it would have exceeded the bound on stored bytes.
	Dropped bool
}

// Decision states how to handle a request that carries a key.
type Decision int

// The decisions that Begin returns.
const (
	// Execute means that the calling code must run the request and call Finish.
	Execute Decision = iota + 1
	// Join means that the request has been run or is running. The returned run signals when it is done.
	Join
	// Expired means that the key may no longer be used.
	Expired
	// DifferentRequest means that the key was used for another request.
	DifferentRequest
	// Full means that the registry cannot record another run.
	Full
)

// Registry records the runs of the keys that this incarnation issued. It is safe for concurrent use.
type Registry struct {
	signer   *Signer
	clock    clockwork.Clock
	maxRuns  int
	maxBytes int

	mu sync.Mutex
	// latest is the latest time that the clock has returned. Setting the wall clock back must not make expired keys valid
	// again.
	latest    time.Time
	lastSweep time.Time
	sequence  uint64
	runs      map[uint64]*Run
	running   int
	keptBytes int
	stopping  bool
}

// Run is the only run of a key.
type Run struct {
	sequence uint64
	request  [sha256.Size]byte
	done     chan struct{}
	result   Result
	expires  time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(signer *Signer, clock clockwork.Clock) *Registry {
	return &Registry{
		signer: signer, clock: clock, maxRuns: maxRuns, maxBytes: maxKeptBytes, runs: map[uint64]*Run{},
	}
}

// now returns the clock's time, but never a time before one that it has already returned.
func (r *Registry) now() time.Time {
	if now := r.clock.Now(); now.Round(0).After(r.latest) {
		r.latest = now.Round(0)
	}
	return r.latest
}

// Issue returns a new key for the team.
func (r *Registry) Issue(team string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return "", ErrStopping
	}
	r.sequence++
	return r.signer.Sign(team, r.sequence, r.now().Add(keyLifetime)), nil
}

// MatchesIncarnation reports whether the key names this host and incarnation. It does not verify the MAC.
func (r *Registry) MatchesIncarnation(k Key) bool {
	return k.Host == r.signer.host && k.Incarnation == r.signer.incarnation
}

// Verify reports whether this incarnation issued the key to the team.
func (r *Registry) Verify(k Key, team string) bool {
	return k.Team == team && r.signer.Verify(k)
}

// Begin decides how to handle a request with a verified key. The argument request is a hash of the parts of the request
// that the key is bound to. Begin returns a run with Execute and Join only.
func (r *Registry) Begin(k Key, request [sha256.Size]byte) (*Run, Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.sweep(now)
	if !now.Before(k.Expires) {
		return nil, Expired
	}
	if run, ok := r.runs[k.Sequence]; ok {
		if run.request != request {
			return nil, DifferentRequest
		}
		return run, Join
	}
	if len(r.runs) >= r.maxRuns {
		return nil, Full
	}
	run := &Run{sequence: k.Sequence, request: request, done: make(chan struct{}), expires: k.Expires}
	r.runs[k.Sequence] = run
	r.running++
	return run, Execute
}

// sweep removes finished runs whose keys have expired. Expired keys are refused before any lookup, so the removal
// cannot lead to a second run.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for seq, run := range r.runs {
		if !now.Before(run.expires) && run.finished() {
			r.keptBytes -= len(run.result.Body)
			delete(r.runs, seq)
		}
	}
}

// Finish stores the run's result and signals that the run is done. A key whose run did not reach an upstream may be
// used again.
func (r *Registry) Finish(run *Run, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keptBytes+len(result.Body) > r.maxBytes {
		result = Result{Dropped: true, Upstream: result.Upstream}
	}
	r.keptBytes += len(result.Body)
	run.result = result
	close(run.done)
	if result.Refusal != nil && result.Refusal.Outcome == outcome.NotRun {
		delete(r.runs, run.sequence)
	}
	r.running--
}

// StopIssuing makes Issue fail. Keys that were issued before may be used until the process ends.
func (r *Registry) StopIssuing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Wait returns when no run is in progress or the context ends. A run may outlive its caller's connection, in which case
// the shutdown of the server does not wait for it.
func (r *Registry) Wait(ctx context.Context) error {
	for {
		run := r.anyRunning()
		if run == nil {
			return nil
		}
		select {
		case <-run.done:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for runs")
		}
	}
}

func (r *Registry) anyRunning() *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if !run.finished() {
			return run
		}
	}
	return nil
}

func (run *Run) finished() bool {
	select {
	case <-run.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the run has finished.
func (run *Run) Done() <-chan struct{} { return run.done }

// Result returns the result of a finished run.
func (run *Run) Result() Result { return run.result }

// State is the registry's section of the state dump.
type State struct {
	Issued    uint64 `json:"issued"`
	Runs      int    `json:"runs"`
	Running   int    `json:"running"`
	KeptBytes int    `json:"kept_bytes"`
	Stopping  bool   `json:"stopping"`
}

// State returns the counts.
func (r *Registry) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Issued: r.sequence, Runs: len(r.runs), Running: r.running, KeptBytes: r.keptBytes, Stopping: r.stopping,
	}
}
