// Package reach finds out whether this host is cut off from the upstreams, so that the fault is that of its own network path and
// not of the upstreams.
//
// Single failures start a round of probes: new connections to some upstreams of this and of other data centres. The host counts as
// cut off once all of them fail, and no longer once most of them succeed, or one while no other host serves.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// probeTimeout limits the time for a new connection of a probe. Hosts and upstreams of one region are milliseconds apart.
	probeTimeout = 200 * time.Millisecond
	// roundInterval is the time between the ends and the starts of two rounds of probes, and soonRoundInterval the same while no
	// request can be served.
	roundInterval     = 400 * time.Millisecond
	soonRoundInterval = 200 * time.Millisecond
	// detourTime is how long a request that another host has served shows that it reaches the upstreams.
	detourTime = time.Second
	// localProbes and remoteProbes are the numbers of upstreams of this and of other data centres in a round, if there are as many.
	localProbes  = 1
	remoteProbes = 3
	firstProbes  = localProbes + remoteProbes
	// openTime is how long a new connection must stay open to count.
	openTime = 20 * time.Millisecond
	// minProbes is the least number of probes that show anything.
	minProbes = 2
	// recentData is the time within which data of an upstream shows that the network path works.
	recentData = 150 * time.Millisecond
	// failuresDespiteData is the number of upstreams to which new connections must have failed, with none that succeeded in
	// between, to start a round while open connections still bring data.
	failuresDespiteData = 3
	// silentForRound is the number of upstreams that must have been silent since data last arrived to start a round that asks for
	// responses.
	silentForRound = 3
)

// Target is an upstream that can be probed.
type Target struct {
	Address    string
	DataCentre string
	// HealthPath is where the upstream responds to health checks; empty if that is not known.
	HealthPath string
}

// Options configures New.
type Options struct {
	// DataCentre is the name of this host's data centre.
	DataCentre string
	// Targets returns the published upstreams.
	Targets func() []Target
	// Connect opens a connection to the target, checks that it stays open and closes it.
	Connect func(ctx context.Context, t Target) error
	// Ask sends a health check to the target and waits for any response.
	Ask func(ctx context.Context, t Target) error
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
	// cutOff is set while the host is cut off. dataAt is when data of an upstream last arrived, and detourAt when another host last
	// served a request of this one, as nanoseconds since start; 0 if that never happened.
	cutOff           atomic.Bool
	dataAt, detourAt atomic.Int64
	gauge            tally.Gauge
	rounds           tally.Counter

	mu sync.Mutex
	// failed holds the addresses to which connections failed since a new one last brought a response.
	failed map[string]struct{}
	// silent holds the addresses of upstreams that sent no response in time, and when.
	silent map[string]time.Duration
	// asks is set if the latest round asks for responses, and asked if such a round found that the host is cut off.
	asks, asked bool
	// round is closed at the end of the round that runs; nil if none does. roundAt is the end of the last one.
	round   chan struct{}
	roundAt time.Time
	// next is the timer of the next round while the host is cut off.
	next clockwork.Timer
	// since is when the host was cut off.
	since time.Time
}

// New returns a detector of a host that is not cut off.
func New(o Options) *Detector {
	return &Detector{
		Options: o, start: o.Clock.Now(), failed: map[string]struct{}{}, silent: map[string]time.Duration{}, gauge: o.Scope.Gauge("cut_off"), rounds: o.Scope.Counter("reach_rounds"),
	}
}

// CutOff reports whether this host is cut off from the upstreams.
func (d *Detector) CutOff() bool { return d.cutOff.Load() }

// RecordData records that data of an upstream arrived on a connection of this host.
func (d *Detector) RecordData() { d.dataAt.Store(int64(d.Clock.Since(d.start))) }

// RecordDetour records that another host has served a request of this one.
func (d *Detector) RecordDetour() { d.detourAt.Store(int64(d.Clock.Since(d.start))) }

// CheckOpen returns an error if the other end closes or resets a new connection at once, as what stands in for upstreams that it does
// not reach either may do.
func CheckOpen(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(openTime)); err != nil {
		return errors.Wrapf(err, "probe %s", conn.RemoteAddr())
	}
	_, err := conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errors.Wrapf(err, "probe %s", conn.RemoteAddr())
}

// RecordConnected records that an upstream responded on a new connection of this host.
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

// RecordSilence records that an upstream sent no response in time, and starts a round of probes like RecordFailure. Something may accept
// connections in the place of upstreams: once several were silent, the round asks for responses.
func (d *Detector) RecordSilence(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent[address] = d.Clock.Since(d.start)
	if !d.hasRecentData() {
		d.startRound()
	}
}

// silentUpstreams returns how many upstreams were silent since data last arrived. The caller holds mu.
func (d *Detector) silentUpstreams() int {
	for address, at := range d.silent {
		if at <= time.Duration(d.dataAt.Load()) {
			delete(d.silent, address)
		}
	}
	return len(d.silent)
}

func (d *Detector) hasRecentData() bool { return d.isRecent(&d.dataAt, recentData) }

func (d *Detector) isRecent(at *atomic.Int64, within time.Duration) bool {
	since := at.Load()
	return since > 0 && d.Clock.Since(d.start)-time.Duration(since) < within
}

// othersServe reports whether another host has served a request of this one lately.
func (d *Detector) othersServe() bool { return d.isRecent(&d.detourAt, detourTime) }

// interval returns the time between two rounds.
func (d *Detector) interval() time.Duration {
	if d.CutOff() && !d.othersServe() {
		return soonRoundInterval
	}
	return roundInterval
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
	if d.round != nil || d.Clock.Since(d.roundAt) < d.interval() {
		return
	}
	targets := d.choose(d.Targets())
	if len(targets) < minProbes {
		return
	}
	d.round = make(chan struct{})
	d.rounds.Inc(1)
	connect := d.Connect
	if d.asks = d.asked || d.silentUpstreams() >= silentForRound; d.asks {
		connect = d.Ask
	}
	go d.runRound(targets, connect)
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
	return chosen[:min(len(chosen), firstProbes)]
}

// runRound probes the targets and draws the conclusion.
func (d *Detector) runRound(targets []Target, connect func(context.Context, Target) error) {
	var reached atomic.Int64
	var probes sync.WaitGroup
	for _, t := range targets {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			if err := connect(ctx, t); err == nil || isOwnLack(err) {
				reached.Add(1)
			}
		})
	}
	probes.Wait()
	if changed := d.endRound(len(targets), int(reached.Load())); changed {
		d.OnChange(d.CutOff())
	}
}

// isOwnLack reports whether a connection failed for lack of descriptors, ports or memory of this host, which says nothing about its
// network path.
func isOwnLack(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS)
}

// endRound records the result of a round and reports whether the conclusion has changed.
func (d *Detector) endRound(probes, reached int) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, was := d.Clock.Now(), d.CutOff()
	defer close(d.round) // once the conclusion is recorded
	d.round, d.roundAt = nil, now
	if reached > 0 {
		clear(d.failed)
	}
	is := d.conclude(probes, reached)
	d.asked = is && d.asks
	d.cutOff.Store(is)
	if is {
		d.planRound(d.interval())
	}
	if is == was {
		return false
	}
	if is {
		d.since = now
		d.gauge.Update(1)
		d.Log.Warn().Str("event", "host-cut-off").Int("probes", probes).Int("reached", reached).Bool("asked", d.asked).Int("failed_upstreams", len(d.failed)).Int("silent_upstreams", len(d.silent)).
			Dur("data_age_ms", d.Clock.Since(d.start)-time.Duration(d.dataAt.Load())).Send()
		return true
	}
	d.gauge.Update(0)
	d.Log.Warn().Str("event", "host-reconnected").Int("probes", probes).Int("reached", reached).Dur("after_ms", now.Sub(d.since)).Send()
	return true
}

// conclude reports whether the host is cut off, by the result of a round. The caller holds mu.
func (d *Detector) conclude(probes, reached int) bool {
	switch {
	case reached == 0:
		return true
	case d.CutOff():
		// Where no other host serves either, the upstreams may return one by one.
		return 2*reached <= probes && d.othersServe()
	default:
		return false
	}
}

// planRound makes probeAgain run after the time, and not earlier. The caller holds mu.
func (d *Detector) planRound(after time.Duration) {
	if d.next != nil {
		d.next.Stop()
	}
	d.next = d.Clock.AfterFunc(after, d.probeAgain)
}

// probeAgain starts the next round while the host is cut off. It is too early for one if another host has served a request since, and
// too few upstreams may be published now.
func (d *Detector) probeAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.CutOff() {
		return
	}
	if d.startRound(); d.round == nil {
		d.planRound(max(soonRoundInterval, d.interval()-d.Clock.Since(d.roundAt)))
	}
}
