package balance

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// silentUpstreams is how many upstreams of a data centre must fall silent, with no answer from there in between,
	// before the path to it counts as cut: one alone may be at fault itself.
	silentUpstreams = 2
	// cutFor is how long a path counts as cut after the last silence; then it is tried again.
	cutFor = time.Second
	// cutPaths is how many paths must be cut before this host's own data centre counts as cut off from all others.
	cutPaths = 2
)

// ErrResponseTimeout is the cause of a failure whose upstream stayed silent for too long.
var ErrResponseTimeout = errors.New("upstream stayed silent")

// isSilence reports whether a failure may come from the path: nothing came back, not even a reset.
func isSilence(cause error) bool {
	var netErr net.Error
	return errors.Is(cause, ErrResponseTimeout) || errors.Is(cause, os.ErrDeadlineExceeded) || errors.As(cause, &netErr) && netErr.Timeout()
}

// path is what this host knows of the way to a data centre.
type path struct {
	// quiet are the upstreams that fell silent since the last answer.
	quiet      map[string]bool
	lastQuiet  time.Time
	lastAnswer time.Time
}

// path returns the path to the data centre; the caller holds mu.
func (t *Table) path(dataCentre string) *path {
	p := t.paths[dataCentre]
	if p == nil {
		p = &path{quiet: map[string]bool{}}
		t.paths[dataCentre] = p
	}
	return p
}

func (p *path) answered(now time.Time) {
	p.lastAnswer = now
	clear(p.quiet)
}

// silent notes an upstream's silence. It returns true if the path counts as cut from now on.
func (p *path) silent(upstream string, now time.Time) bool {
	before := p.cut(now)
	p.quiet[upstream], p.lastQuiet = true, now
	return p.cut(now) && !before
}

func (p *path) cut(now time.Time) bool {
	return len(p.quiet) >= silentUpstreams && now.Sub(p.lastQuiet) < cutFor
}

// cutOff returns the data centres whose upstreams are not to be tried first: those whose paths are cut, and all others
// but the own one that have not answered meanwhile if the own one seems to be cut off. The caller holds mu.
func (t *Table) cutOff(now time.Time) func(dataCentre string) bool {
	cut := 0
	for name, p := range t.paths {
		if name != t.local && p.cut(now) {
			cut++
		}
	}
	return func(dataCentre string) bool {
		p := t.path(dataCentre)
		if p.cut(now) {
			return true
		}
		return cut >= cutPaths && dataCentre != t.local && now.Sub(p.lastAnswer) > cutFor/2
	}
}
