package published

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Bounds of the calls to a source.
const (
	// listTimeout bounds a full read; stores answer in milliseconds, and in about 200 ms when they are slow.
	listTimeout = 1500 * time.Millisecond
	// answerSlack is how much longer than its wait a call for changes may take before its connection counts as silent.
	answerSlack = 800 * time.Millisecond
	// minRetry and maxRetry bound the wait after a failed call; a configuration must be in force within 2 s.
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
)

// ReaderOptions configures NewReader.
type ReaderOptions struct {
	Source Source
	Mirror *Mirror
	// Wait is how long the source may hold a call for changes open.
	Wait time.Duration
	// Pause is the time between two calls, so that many small changes share one call.
	Pause time.Duration
	// Lost is called when the source fails, Regained when it answers again.
	Lost, Regained func()
	Clock          clockwork.Clock
	Log            zerolog.Logger
	Scope          tally.Scope
}

// Reader keeps a mirror up to date from a source.
type Reader struct {
	ReaderOptions
	calls, failures tally.Counter
	// failedSince is when the present outage began, in Unix nanoseconds of the clock; 0 while the source answers.
	failedSince atomic.Int64
	// relist is set until a full list has been read, at the start and after a loss of history.
	relist bool
	retry  time.Duration
}

// NewReader returns a reader; Run starts it.
func NewReader(o ReaderOptions) *Reader {
	scope := o.Scope.Tagged(map[string]string{"prefix": o.Mirror.Prefix()})
	return &Reader{ReaderOptions: o, calls: scope.Counter("store_calls"), failures: scope.Counter("store_failures"), relist: true}
}

// Failing reports whether the last call failed.
func (r *Reader) Failing() bool { return r.failedSince.Load() != 0 }

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.Clock.After(r.step(ctx)):
		}
	}
}

// step makes one call and returns how long to wait before the next one.
func (r *Reader) step(ctx context.Context) time.Duration {
	err := r.read(ctx)
	switch {
	case err == nil:
		r.retry = minRetry
		r.answered()
		return r.Pause
	case errors.Is(err, ErrHistoryLost):
		r.Log.Info().Str("event", "store-history-lost").Str("prefix", r.Mirror.Prefix()).
			Uint64("complete", r.Mirror.Complete()).Send()
		r.relist = true
		return 0
	case ctx.Err() == nil:
		r.failed(err)
	}
	wait := max(r.retry, minRetry)
	r.retry = min(2*wait, maxRetry)
	return wait
}

// read makes one call: a full list at first and after a loss of history, the changes otherwise.
func (r *Reader) read(ctx context.Context) error {
	r.calls.Inc(1)
	after := r.Mirror.Complete()
	if r.relist {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		b, err := r.Source.List(ctx, r.Mirror.Prefix())
		if err != nil {
			return errors.Wrapf(err, "list %q", r.Mirror.Prefix())
		}
		r.relist = false
		r.Mirror.Replace(b)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait+answerSlack)
	defer cancel()
	b, err := r.Source.Changes(ctx, r.Mirror.Prefix(), after, r.Wait)
	if err != nil {
		return errors.Wrapf(err, "changes of %q after %d", r.Mirror.Prefix(), after)
	}
	r.Mirror.Merge(after, b)
	return nil
}

func (r *Reader) failed(err error) {
	r.failures.Inc(1)
	if r.failedSince.CompareAndSwap(0, r.Clock.Now().UnixNano()) {
		r.Log.Warn().Str("event", "store-lost").Str("prefix", r.Mirror.Prefix()).
			Uint64("complete", r.Mirror.Complete()).Err(err).Send()
		r.Lost()
	}
}

func (r *Reader) answered() {
	since := r.failedSince.Swap(0)
	if since == 0 {
		return
	}
	outage := time.Duration(r.Clock.Now().UnixNano() - since)
	r.Log.Info().Str("event", "store-regained").Str("prefix", r.Mirror.Prefix()).Dur("outage_ms", outage).
		Uint64("complete", r.Mirror.Complete()).Send()
	r.Regained()
}
