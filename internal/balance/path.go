package balance

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"
)

const (
	// timedOutForPathDown is the number of upstreams of a data centre that must time out, with no response from that data
	// centre in between, before the path to it is considered down. A single upstream may itself be at fault.
	timedOutForPathDown = 2
	// pathDownTime is how long a path is considered down after the last timeout. Then it is retried.
	pathDownTime = time.Second
	// downPathsForIsolation is the number of paths that must be down before the local data centre is considered isolated
	// from all others.
	downPathsForIsolation = 2
)

// ErrResponseTimeout is the cause of a failure in which the upstream sent no data within the time limit.
var ErrResponseTimeout = errors.New("upstream sent no data within the time limit")

// IsTimeout reports whether a failure may be caused by the network path: nothing was received, not even a reset.
func IsTimeout(cause error) bool {
	var netErr net.Error
	return errors.Is(cause, ErrResponseTimeout) || errors.Is(cause, os.ErrDeadlineExceeded) || errors.As(cause, &netErr) && netErr.Timeout()
}

// path is the state of the network path from this host to a data centre.
type path struct {
	// timeouts is the set of upstreams that timed out since the last response from the data centre.
	timeouts     map[string]bool
	lastTimeout  time.Time
	lastResponse time.Time
	// data is when data of a response last arrived.
	data *moment
}

// ForgetFailures forgets what connections and responses that failed told of upstreams and paths: the fault was this host's own.
func (t *Table) ForgetFailures() {
	t.mu.Lock()
	defer t.unlock()
	now := t.clock.Now()
	t.resumedAt = now
	for _, s := range t.statsByKey {
		s.consecutiveFailures, s.suspectUntil, s.avgFailureShare = 0, time.Time{}, 0
	}
	for _, p := range t.paths {
		p.responded(now)
	}
}

// path returns the path to the data centre. The caller holds mu.
func (t *Table) path(dataCentre string) *path {
	p := t.paths[dataCentre]
	if p == nil {
		p = &path{timeouts: map[string]bool{}, data: newMoment(t.start)}
		t.paths[dataCentre] = p
		t.pathDataOf.Store(dataCentre, p.data)
	}
	p.mergeData()
	return p
}

// mergeData makes data that arrived since the last call count as a response.
func (p *path) mergeData() {
	if p.data.takeUnseen() {
		p.responded(p.data.time())
	}
}

func (p *path) responded(now time.Time) {
	p.lastResponse = now
	clear(p.timeouts)
}

// timedOut records that an upstream timed out. It reports whether this takes the path down.
func (p *path) timedOut(upstream string, now time.Time) bool {
	wasDown := p.down(now)
	p.timeouts[upstream], p.lastTimeout = true, now
	return p.down(now) && !wasDown
}

func (p *path) down(now time.Time) bool {
	return len(p.timeouts) >= timedOutForPathDown && now.Sub(p.lastTimeout) < pathDownTime
}

// pathDown returns a function that reports whether the path to a data centre is considered down. If the local data
// centre seems to be isolated, this holds for every other data centre without a recent response. The caller holds mu.
func (t *Table) pathDown(now time.Time) func(dataCentre string) bool {
	down := 0
	for name, p := range t.paths {
		p.mergeData()
		if name != t.local && p.down(now) {
			down++
		}
	}
	return func(dataCentre string) bool {
		p := t.path(dataCentre)
		if p.down(now) {
			return true
		}
		return down >= downPathsForIsolation && dataCentre != t.local && now.Sub(p.lastResponse) > pathDownTime/2
	}
}

// isDoubtful reports whether a request that could not reach the given data centres should avoid this one: it is one of
// them, or has not responded lately. The caller holds mu.
func (t *Table) isDoubtful(dataCentre string, unreached []string, now time.Time) bool {
	return slices.Contains(unreached, dataCentre) || now.Sub(t.path(dataCentre).lastResponse) > pathDownTime/2
}
