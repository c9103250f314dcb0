// Package reach finds out whether this host is cut off from the upstreams, so that the fault is that of its own network path and
// not of the upstreams.
//
// Single failures start a round of probes: new connections to some upstreams of this and of other data centres. The host counts as
// cut off once all of them fail, and no longer once most of them succeed.
package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// probeTimeout limits the time for a new connection of a probe. Hosts and upstreams of one region are milliseconds apart.
	probeTimeout = 200 * time.Millisecond
	// roundInterval is the time between the ends and the starts of two rounds of probes.
	roundInterval = 400 * time.Millisecond
	// localProbes and remoteProbes are the numbers of upstreams of this and of other data centres in a round, if there are as many.
	localProbes  = 1
	remoteProbes = 3
	// minProbes is the least number of probes that show anything.
	minProbes = 2
	// recentData is the time within which data of an upstream shows that the network path works.
	recentData = 150 * time.Millisecond
	// failuresDespiteData is the number of upstreams to which new connections must have failed, with none that succeeded in
	// between, to start a round while open connections still bring data.
	failuresDespiteData = 3
)

// Target is an upstream that can be probed.
type Target struct {
	Address    string
	DataCentre string
}

// Options configures New.
type Options struct {
	// DataCentre is the name of this host's data centre.
	DataCentre string
	// Targets returns the published upstreams.
	Targets func() []Target
	// Connect opens a connection to the address and closes it.
	Connect func(ctx context.Context, address string) error
	// OnChange is called after the host was cut off, or is no longer.
	OnChange func(cutOff bool)
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Detector tells whether this host is cut off. It is safe for concurrent use.
type Detector struct {
	Options
	start time.Time
	// cutOff is set while the host is cut off, dataAt is when data of an upstream last arrived, as nanoseconds since start.
	cutOff atomic.Bool
	dataAt atomic.Int64
	gauge  tally.Gauge
	rounds tally.Counter

	mu sync.Mutex
	// failed holds the addresses to which connections failed since the last one that was established.
	failed map[string]struct{}
	// round is closed at the end of the round that runs; nil if none does.
	round   chan struct{}
	roundAt time.Time
	// since is when the host was cut off.
	since time.Time
}

// New returns a detector of a host that is not cut off.
func New(o Options) *Detector {
	return &Detector{
		Options: o, start: o.Clock.Now(), failed: map[string]struct{}{}, gauge: o.Scope.Gauge("cut_off"), rounds: o.Scope.Counter("reach_rounds"),
	}
}

// CutOff reports whether this host is cut off from the upstreams.
func (d *Detector) CutOff() bool { return d.cutOff.Load() }

// RecordData records that data of an upstream arrived on a connection of this host.
func (d *Detector) RecordData() { d.dataAt.Store(int64(d.Clock.Since(d.start))) }

// RecordConnected records that this host established a connection to an upstream.
func (d *Detector) RecordConnected() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.failed)
}

// RecordFailure records that an upstream could not be reached, or that a connection to it failed. It starts a round of probes if
// the fault may be this host's.
func (d *Detector) RecordFailure(address string, newConn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if newConn {
		d.failed[address] = struct{}{}
	}
	if d.hasRecentData() && len(d.failed) < failuresDespiteData {
		return
	}
	d.startRound()
}

func (d *Detector) hasRecentData() bool {
	at := d.dataAt.Load()
	return at > 0 && d.Clock.Since(d.start)-time.Duration(at) < recentData
}

// Confirm reports whether this host is cut off, after a round of probes if that is not certain.
func (d *Detector) Confirm(ctx context.Context) bool {
	d.mu.Lock()
	if d.CutOff() || d.hasRecentData() {
		d.mu.Unlock()
		return d.CutOff()
	}
	d.startRound()
	round := d.round
	d.mu.Unlock()
	if round != nil {
		select {
		case <-ctx.Done():
		case <-round:
		}
	}
	return d.CutOff()
}

// startRound starts a round of probes, unless one runs or has just ended. The caller holds mu.
func (d *Detector) startRound() {
	if d.round != nil || d.Clock.Since(d.roundAt) < roundInterval {
		return
	}
	targets := d.choose(d.Targets())
	if len(targets) < minProbes {
		return
	}
	d.round = make(chan struct{})
	d.rounds.Inc(1)
	go d.runRound(targets)
}

// choose returns the upstreams to probe: at random, one of this data centre and the others from as many more as possible. The caller
// holds mu.
func (d *Detector) choose(all []Target) []Target {
	d.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var local, remote, spare []Target
	seen := map[string]bool{}
	for _, t := range all {
		switch {
		case t.DataCentre == d.DataCentre:
			local = append(local, t)
		case !seen[t.DataCentre]:
			seen[t.DataCentre] = true
			remote = append(remote, t)
		default:
			spare = append(spare, t)
		}
	}
	first := min(len(local), localProbes)
	chosen := slices.Concat(local[:first], remote, spare, local[first:])
	return chosen[:min(len(chosen), localProbes+remoteProbes)]
}

// runRound probes the targets and draws the conclusion.
func (d *Detector) runRound(targets []Target) {
	var reached atomic.Int64
	var probes sync.WaitGroup
	for _, t := range targets {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			if d.Connect(ctx, t.Address) == nil {
				reached.Add(1)
			}
		})
	}
	probes.Wait()
	if changed := d.endRound(len(targets), int(reached.Load())); changed {
		d.OnChange(d.CutOff())
	}
}

// endRound records the result of a round and reports whether the conclusion has changed.
func (d *Detector) endRound(probes, reached int) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	defer close(d.round) // once the conclusion is recorded
	d.round, d.roundAt = nil, now
	if reached > 0 {
		clear(d.failed)
	}
	was := d.CutOff()
	is := reached == 0 || was && 2*reached <= probes
	if is {
		d.Clock.AfterFunc(roundInterval, d.probeAgain)
	}
	if is == was {
		return false
	}
	d.cutOff.Store(is)
	if is {
		d.since = now
		d.gauge.Update(1)
		d.Log.Warn().Str("event", "host-cut-off").Int("probes", probes).Int("reached", reached).Int("failed_upstreams", len(d.failed)).
			Dur("data_age_ms", d.Clock.Since(d.start)-time.Duration(d.dataAt.Load())).Send()
		return true
	}
	d.gauge.Update(0)
	d.Log.Warn().Str("event", "host-reconnected").Int("probes", probes).Int("reached", reached).Dur("after_ms", now.Sub(d.since)).Send()
	return true
}

// probeAgain starts the next round while the host is cut off.
func (d *Detector) probeAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.CutOff() {
		return
	}
	due := d.Clock.Since(d.roundAt) >= roundInterval
	if d.startRound(); due && d.round == nil { // too few upstreams are published now
		d.Clock.AfterFunc(roundInterval, d.probeAgain)
	}
}
