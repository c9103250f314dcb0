package allowance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
)

// RateLimit limits the requests of all hosts together to one upstream in any time window.
type RateLimit struct {
	// Requests is the number of requests that is divided among the hosts.
	Requests int
	// Max is the number of requests that the hosts must not exceed even if each is unaware of a quarter of the others.
	Max    int
	Window time.Duration
}

// ColdLimits limit the requests of all hosts together to one cold upstream in any second.
type ColdLimits struct {
	// The limit is Overage times the service's cold rate, plus Slack requests.
	Overage float64
	Slack   float64
}

// coldWindow is the time window of the limit on cold upstreams. It is slightly longer than the specified second, since
// requests may arrive closer together than they were sent.
const coldWindow = 1050 * time.Millisecond

// RateLimit returns the limit for an upstream whose service can handle rate requests per second while cold.
func (l ColdLimits) RateLimit(rate float64) RateLimit {
	limit := math.Floor(rate*l.Overage + l.Slack)
	return RateLimit{Requests: int(splitFraction * limit), Max: int(limit), Window: coldWindow}
}

const (
	// namedWindow is the time window of a limit that an upstream names. It is long enough for limits below one request a
	// second.
	namedWindow = 4 * time.Second
	// LongestWindow is the longest window of a limit.
	LongestWindow = namedWindow
	// Hosts that are unaware of each other may exceed what a named limit allows in a window namedOverage times, plus
	// namedSlack requests.
	namedOverage = 1.5
	namedSlack   = 5
	// maxNamedLimit is far beyond what any upstream can handle.
	maxNamedLimit = 1e6
	// maxPlaces is far beyond what any upstream can hold.
	maxPlaces = 1 << 20
)

// NamedRateLimit returns the limit for an upstream that accepts perSecond requests a second from all hosts together. At
// least one request is allowed, whose response tells whether the limit is still in force.
func NamedRateLimit(perSecond float64) RateLimit {
	allowed := min(perSecond, maxNamedLimit) * namedWindow.Seconds()
	return RateLimit{Requests: max(1, int(math.Ceil(allowed))), Max: int(namedOverage*allowed) + namedSlack, Window: namedWindow}
}

// Tolerated returns the widest limit that the hosts can divide among them without exceeding Max. Each host's share is at least
// its share of l.
func (l RateLimit) Tolerated() RateLimit {
	l.Requests = max(l.Requests, int(splitFraction*float64(l.Max)))
	return l
}

// Target is an upstream to which requests are limited.
type Target struct {
	Service string
	ID      string
	// Position is the position of the upstream among those of its service, from 0 up to 1. The further apart two positions
	// are, the fewer hosts have a share of both, if not all hosts have one.
	Position float64
}

// UpstreamLimiter limits this host's requests to single upstreams to its share. It is safe for concurrent use.
type UpstreamLimiter struct {
	clock clockwork.Clock
	fleet FleetView

	mu sync.Mutex
	// sent are the times of this host's recent requests by upstream, in ascending order. Those of lent requests may be in the
	// future.
	sent      map[string][]time.Time
	divisions divisions
	// sweptAt is when the records of upstreams without recent requests were last deleted.
	sweptAt time.Time
}

// division is how the limits of a service's upstreams are divided, as of a moment.
type division struct {
	// shares is the number of even shares. rank is this host's position among the known hosts.
	shares, rank, hosts int
	at                  time.Time
}

const (
	// divisionTTL is how long a division is kept before it is computed again. The fleet's membership changes slowly.
	divisionTTL = time.Second
	// sentTTL is how long requests are recorded. No window is longer.
	sentTTL = LongestWindow
)

// NewUpstreamLimiter returns a limiter without recorded requests.
func NewUpstreamLimiter(fleet FleetView, clock clockwork.Clock) *UpstreamLimiter {
	return &UpstreamLimiter{clock: clock, fleet: fleet, sent: map[string][]time.Time{}, divisions: newDivisions(fleet)}
}

// Available reports whether this host may send a request to the upstream now.
func (l *UpstreamLimiter) Available(target Target, limits ...RateLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.available(target, limits, l.clock.Now())
}

// Places returns how many places this host may take at an upstream that has as many slots and survives as many rejections in a
// second. A place is taken by a request that is selected or in flight there, or was rejected within the second.
func (l *UpstreamLimiter) Places(target Target, slots, rejections int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.divisions.of(target.Service, l.clock.Now()).places(target, slots, rejections)
}

// TryAcquire counts one request to the upstream. It returns false if this host has used up its share of one of the limits.
func (l *UpstreamLimiter) TryAcquire(target Target, limits ...RateLimit) bool {
	return l.tryAcquire(target, 0, limits)
}

// TryLend counts one request to the upstream that another host may send within the given time. It counts as sent at the end of
// that time, so that the limits hold whenever it is sent, and if it never is.
func (l *UpstreamLimiter) TryLend(target Target, within time.Duration, limits ...RateLimit) bool {
	return l.tryAcquire(target, within, limits)
}

func (l *UpstreamLimiter) tryAcquire(target Target, within time.Duration, limits []RateLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.sweep(now)
	if !l.available(target, limits, now) {
		return false
	}
	sent := slices.DeleteFunc(l.sent[target.ID], func(at time.Time) bool { return now.Sub(at) >= sentTTL })
	at := now.Add(within)
	next, _ := slices.BinarySearchFunc(sent, at, time.Time.Compare)
	l.sent[target.ID] = slices.Insert(sent, next, at)
	return true
}

// Holders returns the other hosts that have a share of all limits on requests to the upstream, and the number of all hosts, as
// far as this host knows.
func (l *UpstreamLimiter) Holders(target Target, limits ...RateLimit) (holders []string, hosts int) {
	d := newDivision(l.fleet, target.Service, l.clock.Now())
	self := d.rank
	for rank, host := range l.fleet.Ranked(loadbalancer.HashKey(target.Service)) {
		d.rank = rank
		hasNoShare := func(limit RateLimit) bool { return d.share(target, limit) == 0 }
		if rank != self && !slices.ContainsFunc(limits, hasNoShare) {
			holders = append(holders, host)
		}
	}
	return holders, d.hosts
}

// Release takes back one request that was counted and is not sent. The oldest record is deleted, so that those that are
// left never count for less than what was sent.
func (l *UpstreamLimiter) Release(target Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent := l.sent[target.ID]; len(sent) > 1 {
		l.sent[target.ID] = sent[1:]
	} else {
		delete(l.sent, target.ID)
	}
}

// available reports whether the host's requests are below its share of each limit. The caller holds mu.
func (l *UpstreamLimiter) available(target Target, limits []RateLimit, now time.Time) bool {
	d := l.divisions.of(target.Service, now)
	for _, limit := range limits {
		if countSince(l.sent[target.ID], now.Add(-limit.Window)) >= d.share(target, limit) {
			return false
		}
	}
	return true
}

// countSince returns the number of times after start; the times ascend.
func countSince(times []time.Time, start time.Time) int {
	first := len(times)
	for first > 0 && times[first-1].After(start) {
		first--
	}
	return len(times) - first
}

// share returns the number of requests that the host may send to the upstream within the window. What cannot be divided
// evenly goes to some hosts, beginning with the one at the upstream's position. At least one host may send a request.
func (d division) share(target Target, limit RateLimit) int {
	share := limit.Requests / d.shares
	extra := min(limit.Requests%d.shares, int(splitFraction*float64(limit.Max))-d.rankMargin()-share*d.shares)
	if share == 0 {
		extra = max(1, extra)
	}
	if d.isAmong(extra, target) {
		share++
	}
	return share
}

// isAmong reports whether the host is among as many that begin with the one at the upstream's position.
func (d division) isAmong(count int, target Target) bool {
	first := int(target.Position * float64(d.hosts))
	return (d.rank-first+d.hosts)%d.hosts < count
}

// places returns the host's share of the places at an upstream. Beyond its slots the upstream rejects as many requests as it
// survives, also if each host is unaware of a quarter of the others. The slots are used in any case if it survives a rejection.
func (d division) places(target Target, slots, rejections int) int {
	slots, rejections = min(max(1, slots), maxPlaces), min(max(0, rejections), maxPlaces)
	all := max(1, int(splitFraction*float64(slots+rejections))-d.rankMargin())
	if rejections > 0 {
		all = max(all, int(splitFraction*float64(slots)))
	}
	share := all / d.shares
	if d.isAmong(all%d.shares, target) {
		share++
	}
	return share
}

// rankMargin returns by how much the number of hosts that take an extra share can exceed what follows from the number of
// hosts of which each of them is unaware. If each is unaware of a random quarter, the standard deviation of its position
// grows with the square root of the number of hosts, and that of the number of hosts at the two ends of a range of
// positions with the square root of that. The margin is two standard deviations.
func (d division) rankMargin() int {
	return int(math.Ceil(0.86 * math.Sqrt(math.Sqrt(float64(d.hosts)))))
}

// divisions keeps the divisions of services. It is not safe for concurrent use.
type divisions struct {
	fleet     FleetView
	byService map[string]division
}

func newDivisions(fleet FleetView) divisions {
	return divisions{fleet: fleet, byService: map[string]division{}}
}

// of returns how the limits of the service are divided.
func (d divisions) of(service string, now time.Time) division {
	kept, ok := d.byService[service]
	if ok && now.Sub(kept.at) < divisionTTL {
		return kept
	}
	current := newDivision(d.fleet, service, now)
	d.byService[service] = current
	return current
}

// newDivision returns how the limits of the service are divided now.
func newDivision(fleet FleetView, service string, now time.Time) division {
	d := division{shares: fleet.ShareCount(), at: now}
	d.rank, d.hosts = fleet.Rank(loadbalancer.HashKey(service))
	return d
}

// sweep deletes the records of upstreams without recent requests. The caller holds mu.
func (l *UpstreamLimiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sentTTL {
		return
	}
	l.sweptAt = now
	for upstream, sent := range l.sent {
		if now.Sub(sent[len(sent)-1]) >= sentTTL {
			delete(l.sent, upstream)
		}
	}
}
