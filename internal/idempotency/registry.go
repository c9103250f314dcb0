package idempotency

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

// keyLifetime is how long an issued key may be used and its answer is kept.
const keyLifetime = 10 * time.Minute

// Kept is the answer of a key's only run.
type Kept struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	Refusal  *outcome.Refusal
}

// Registry holds the state of every key that this incarnation issued and has seen used. It is safe for concurrent use.
type Registry struct {
	signer *Signer
	clock  clockwork.Clock

	mu       sync.Mutex
	sequence uint64
	runs     map[uint64]*Run
}

// Run is the one run of a key.
type Run struct {
	done    chan struct{}
	kept    Kept
	expires time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(signer *Signer, clock clockwork.Clock) *Registry {
	return &Registry{signer: signer, clock: clock, runs: map[uint64]*Run{}}
}

// Issue returns a fresh key for the team.
func (r *Registry) Issue(team string) string {
	r.mu.Lock()
	r.sequence++
	seq := r.sequence
	r.mu.Unlock()
	return r.signer.Sign(team, seq, r.clock.Now().Add(keyLifetime))
}

// Verify reports whether this incarnation issued the key to the team.
func (r *Registry) Verify(k Key, team string) bool {
	return k.Team == team && r.signer.Verify(k)
}

// Begin claims the key's only run. It returns the run and true to the one caller that must execute it and call Finish;
// to every other it returns the run to wait for and false. It returns nil for an expired key.
func (r *Registry) Begin(k Key) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.expire(now)
	if !now.Before(k.Expires) {
		return nil, false
	}
	if run, ok := r.runs[k.Sequence]; ok {
		return run, false
	}
	run := &Run{done: make(chan struct{}), expires: k.Expires}
	r.runs[k.Sequence] = run
	return run, true
}

// expire forgets runs whose key can no longer be used. Expired keys are refused, so forgetting cannot repeat a run.
func (r *Registry) expire(now time.Time) {
	for seq, run := range r.runs {
		if !now.Before(run.expires) {
			delete(r.runs, seq)
		}
	}
}

// Finish keeps the run's answer and wakes everyone who waits for it.
func (run *Run) Finish(kept Kept) {
	run.kept = kept
	close(run.done)
}

// Done is closed when the run has finished.
func (run *Run) Done() <-chan struct{} { return run.done }

// Kept returns the answer of a finished run.
func (run *Run) Kept() Kept { return run.kept }

// State is the registry's section of the state dump.
type State struct {
	Issued uint64 `json:"issued"`
	Runs   int    `json:"runs"`
}

// State returns the counts.
func (r *Registry) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Issued: r.sequence, Runs: len(r.runs)}
}
