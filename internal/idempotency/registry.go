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
	// keyLifetime is how long an issued key may be used and its answer is kept.
	keyLifetime = 10 * time.Minute
	// maxRuns bounds the runs that are remembered. A run is never forgotten before its key expires.
	maxRuns = 100_000
	// maxKeptBytes bounds the bodies of all kept answers, in bytes.
	maxKeptBytes = 32 << 20
	// sweepInterval is the time between two removals of expired runs.
	sweepInterval = time.Second
)

// ErrStopping is returned by Issue during a planned stop: the key would die with the process.
var ErrStopping = errors.New("the process is stopping")

// Result is the answer of a key's only run.
type Result struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	// Refusal is set when the run did not end with a whole answer.
	Refusal *outcome.Refusal
	// Dropped is set when the run was answered but the answer did not fit into the bound of kept bytes.
	Dropped bool
}

// Decision says what is to be done with a request that carries a key.
type Decision int

// The verdicts of Begin.
const (
	// Execute: the caller must run the request and call Finish.
	Execute Decision = iota + 1
	// Join: the request has been run or is running; its run says when it is done.
	Join
	// Expired: the key may not be used any more.
	Expired
	// DifferentRequest: the key was used for another request.
	DifferentRequest
	// Full: the registry cannot remember another run.
	Full
)

// Registry holds the state of every key that this incarnation issued and has seen used. It is safe for concurrent use.
type Registry struct {
	signer   *Signer
	clock    clockwork.Clock
	maxRuns  int
	maxBytes int

	mu sync.Mutex
	// latest is the latest time seen; a wall clock that is set back must not revive expired keys.
	latest    time.Time
	swept     time.Time
	sequence  uint64
	runs      map[uint64]*Run
	running   int
	keptBytes int
	stopping  bool
}

// Run is the one run of a key.
type Run struct {
	sequence uint64
	request  [sha256.Size]byte
	done     chan struct{}
	kept     Result
	expires  time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(signer *Signer, clock clockwork.Clock) *Registry {
	return &Registry{
		signer: signer, clock: clock, maxRuns: maxRuns, maxBytes: maxKeptBytes, runs: map[uint64]*Run{},
	}
}

// now returns the clock's time, but never one before an earlier result.
func (r *Registry) now() time.Time {
	if now := r.clock.Now(); now.Round(0).After(r.latest) {
		r.latest = now.Round(0)
	}
	return r.latest
}

// Issue returns a fresh key for the team.
func (r *Registry) Issue(team string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return "", ErrStopping
	}
	r.sequence++
	return r.signer.Sign(team, r.sequence, r.now().Add(keyLifetime)), nil
}

// MatchesIncarnation reports whether this incarnation is the one that the key names.
func (r *Registry) MatchesIncarnation(k Key) bool {
	return k.Host == r.signer.host && k.Incarnation == r.signer.incarnation
}

// Verify reports whether this incarnation issued the key to the team.
func (r *Registry) Verify(k Key, team string) bool {
	return k.Team == team && r.signer.Verify(k)
}

// Begin decides about a request with a verified key. Request is the hash of what the key stands for. The run is
// returned with Execute and Join.
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

// sweep forgets finished runs whose key has expired. Expired keys are refused before any look-up, so that forgetting
// cannot lead to a second run.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepInterval {
		return
	}
	r.swept = now
	for seq, run := range r.runs {
		if !now.Before(run.expires) && run.finished() {
			r.keptBytes -= len(run.kept.Body)
			delete(r.runs, seq)
		}
	}
}

// Finish keeps the run's answer and wakes everyone who waits for it. A key whose run did not reach an upstream may be
// used again.
func (r *Registry) Finish(run *Run, kept Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keptBytes+len(kept.Body) > r.maxBytes {
		kept = Result{Dropped: true, Upstream: kept.Upstream}
	}
	r.keptBytes += len(kept.Body)
	run.kept = kept
	close(run.done)
	if kept.Refusal != nil && kept.Refusal.Outcome == outcome.NotRun {
		delete(r.runs, run.sequence)
	}
	r.running--
}

// StopIssuing ends the issue of keys. Keys that were issued before may be used until the process ends.
func (r *Registry) StopIssuing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Wait returns when no run is left or the context ends. Runs outlive the connections of their callers, so that a
// server's own stop does not wait for them.
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

// Done is closed when the run has finished.
func (run *Run) Done() <-chan struct{} { return run.done }

// Result returns the answer of a finished run.
func (run *Run) Result() Result { return run.kept }

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
