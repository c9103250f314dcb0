package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

const (
	storyService = "s"
	// storyWindow is the time for which a stream may be continued, and for which the store keeps its history.
	storyWindow = 20 * time.Second
	// storyStaleness is the greatest age of a host's list.
	storyStaleness = 2 * time.Second
	streamLength   = 3 * time.Second
)

// servedVersion is a software version that is published for some time of the story.
type servedVersion struct {
	name     string
	from, to time.Duration
}

// storyVersions are a release: the old version's servers have left four seconds after the first new one is there.
var storyVersions = []servedVersion{{"1", -time.Hour, 14 * time.Second}, {"2", 10 * time.Second, time.Hour}}

// story is a fleet whose hosts relay streams while versions come and go, and are killed.
type story struct {
	*simulation
	random  *rand.Rand
	hosts   []*storyHost
	address map[string]*storyHost
	// mu is held while hosts change, since a host may still answer when the one that asked has the answer of another.
	mu   sync.RWMutex
	open []storyStream
	// noHistory is set if the store does not keep its history.
	noHistory bool
	counts
}

type storyStream struct {
	id      origin.StreamID
	version string
	host    *storyHost
	ends    time.Duration
}

// counts says what became of streams that were taken up: all, and those whose version still served.
type counts struct{ takenUp, serving, wentOn, joined int }

// storyHost is a host with its own pace of reading the list. It implements origin.Versions, origin.History and net.PacketConn.
type storyHost struct {
	*Fleet
	net.PacketConn
	story    *story
	alive    bool
	listed   time.Duration // time of the first list
	interval time.Duration // between two lists
	extended time.Duration // when the history was read; 0 if it was not
	// refreshed is when the changes that no list has told yet were last read; 0 if they were not.
	refreshed time.Duration
	table     *origin.Table
	resolver  *origin.Resolver
	sharer    *origin.Sharer
}

func newStory(size int) *story {
	s := &story{simulation: newSimulation(), random: rand.New(rand.NewPCG(1, uint64(size))), address: map[string]*storyHost{}}
	fleets := newLargeFleet(size, s.clock)
	introduce(fleets, 0.1, s.random)
	for _, f := range fleets {
		h := &storyHost{Fleet: f, story: s}
		f.client.Transport = s
		s.hosts, s.address[f.Self] = append(s.hosts, h), h
		h.start(-time.Minute)
	}
	return s
}

func (s *story) now() time.Duration { return s.clock.Since(s.start) }

// start starts the host, which lists the store a moment later and knows nothing of before.
func (h *storyHost) start(at time.Duration) {
	s := h.story
	h.alive, h.extended, h.refreshed = true, 0, 0
	h.listed = at + time.Duration(s.random.Int64N(int64(300*time.Millisecond)))
	h.interval = time.Duration(s.random.Int64N(int64(storyStaleness)-1)) + 1
	h.table = origin.NewTable(s.clock)
	h.resolver = origin.NewResolver(origin.Options{
		Table: h.table, Versions: h, Peers: h.Fleet, History: h, MaxDataAge: storyStaleness, Clock: s.clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	h.sharer = origin.NewSharer(origin.SharerOptions{
		Table: h.table, Versions: h, Window: storyWindow, MaxDataAge: storyStaleness, Witnesses: h.Fleet, Conn: h, Clock: s.clock,
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	h.Origins = h.resolver
}

// listAt returns the time of the host's first list at the given time or later.
func (h *storyHost) listAt(at time.Duration) time.Duration {
	if at <= h.listed {
		return h.listed
	}
	return h.listed + (at-h.listed+h.interval-1)/h.interval*h.interval
}

// asOf returns the time of the host's last list.
func (h *storyHost) asOf() time.Duration { return h.listAt(h.story.now()+1) - h.interval }

// ready reports whether the host serves, for which it needs a list.
func (h *storyHost) ready() bool { return h.alive && h.story.now() > h.listed+h.interval }

// serves reports whether the host's list has the version.
func (h *storyHost) serves(version string) bool {
	return slices.ContainsFunc(storyVersions, func(v servedVersion) bool {
		return v.name == version && v.from <= h.asOf() && h.asOf() < v.to
	})
}

func (h *storyHost) VersionsSince(_ string, since time.Time) []string {
	var list []string
	from := since.Sub(h.story.start)
	for _, v := range storyVersions {
		followed := v.from <= h.asOf() && v.to > h.listed && (v.to > h.asOf() || h.listAt(v.to) >= from)
		told := h.extended != 0 && h.extended >= from && v.from <= h.extended && v.to > h.extended-storyWindow
		refreshed := h.refreshed != 0 && v.from <= h.refreshed && v.to > h.refreshed
		if followed || told || refreshed {
			list = append(list, v.name)
		}
	}
	return list
}

func (h *storyHost) FollowedSince() time.Time {
	if h.extended != 0 {
		return h.story.start.Add(h.extended - storyWindow)
	}
	return h.story.start.Add(h.listed)
}

// UpstreamVersion is not asked: no upstream of the story starts again under its ID.
func (h *storyHost) UpstreamVersion(string, string) (string, bool) { return "", false }

func (h *storyHost) DataAge() time.Duration { return h.story.now() - h.asOf() }

func (h *storyHost) Extend(context.Context, time.Duration) (time.Duration, error) {
	if h.story.noHistory {
		return 0, errors.New("no history")
	}
	h.story.mu.Lock()
	defer h.story.mu.Unlock()
	if h.extended == 0 {
		h.extended = h.story.now()
	}
	return h.story.now() - h.extended + storyWindow, nil
}

// Refresh and Extend write under the lock, since calls that were given up may still be answered from what the host knows.
func (h *storyHost) Refresh(context.Context, time.Time) error {
	h.story.mu.Lock()
	defer h.story.mu.Unlock()
	h.refreshed = h.story.now()
	return nil
}

// WriteTo delivers a datagram.
func (h *storyHost) WriteTo(datagram []byte, to net.Addr) (int, error) {
	other := h.story.address[to.String()]
	var m fleetpb.Loads
	if err := proto.Unmarshal(datagram, &m); err != nil || !other.alive {
		return 0, err
	}
	for _, o := range m.GetOrigins() {
		other.table.Add(origin.Decode(o, h.story.clock.Now()))
	}
	return len(datagram), nil
}

// RoundTrip delivers a request.
func (s *story) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h := s.address[r.URL.Host]
	t := directTransport{handlers: map[string]http.Handler{h.Self: fleetpb.NewFleetServer(h.Fleet)}, dead: map[string]bool{h.Self: !h.alive}}
	return t.RoundTrip(r)
}

// begin begins a stream at a random host and server.
func (s *story) begin() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	v := storyVersions[s.random.IntN(len(storyVersions))]
	if !h.ready() || !h.serves(v.name) || s.now() >= v.to {
		return
	}
	stream := storyStream{origin.StreamID(s.random.Uint64()), v.name, h, s.now() + streamLength}
	s.open = append(s.open, stream)
	h.sharer.Record(origin.Record{
		Stream: stream.id, Origin: origin.Origin{Service: storyService, Version: v.name}, Expires: s.clock.Now().Add(storyWindow),
	})
}

// kill kills the share of hosts, starts them again after a second, and lets callers take up the streams that broke off.
func (s *story) kill(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(s.hosts))[:int(share*float64(len(s.hosts)))] {
		h := s.hosts[i]
		h.alive = false
		s.after(time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			h.start(s.now())
		})
	}
	for _, stream := range s.open {
		if !stream.host.alive && s.now() < stream.ends {
			s.after(time.Duration(s.random.Int64N(int64(5*time.Second))), func() { s.takeUp(stream) })
		}
	}
}

// takeUp continues a stream at a random host that serves.
func (s *story) takeUp(stream storyStream) {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if !h.ready() {
		return
	}
	s.takenUp++
	still := slices.ContainsFunc(storyVersions, func(v servedVersion) bool { return v.name == stream.version && s.now() < v.to })
	if still {
		s.serving++
	}
	o, _, err := h.resolver.Resolve(context.Background(), origin.Query{Stream: stream.id, Service: storyService, Window: storyWindow})
	switch {
	case err != nil || !h.serves(o.Version):
	case o.Version != stream.version:
		s.joined++
	case still:
		s.wentOn++
	}
}

// play lets streams begin until some hosts are killed, and callers take them up.
func (s *story) play(killAt time.Duration, share float64) {
	for at := killAt - streamLength; at < killAt; at += 10 * time.Millisecond {
		s.after(at, s.begin)
	}
	for _, h := range s.hosts {
		phase := time.Duration(s.random.Int64N(int64(origin.ShareInterval)))
		for at := killAt - streamLength + phase; at < killAt; at += origin.ShareInterval {
			s.after(at, h.sharer.Share)
		}
	}
	s.after(killAt, func() { s.kill(share) })
	s.runFor(killAt + time.Minute)
}

// Guards against streams that are joined from two versions, because all who knew their origin were killed around a release,
// and against take-ups that are refused although their version serves. The hosts' lists are up to two seconds old. Once all
// hosts were killed, nobody knows an origin; then streams must go on if the store's history tells of one version only.
func TestStreamsAreNotJoinedAroundRelease(t *testing.T) {
	t.Parallel()
	const longAfterRelease = 40_000
	for _, size := range []int{7, 90, 295} {
		for _, share := range []float64{1. / 3, 1} {
			for _, killAt := range []int{8000, 10_050, 10_300, 10_700, 11_200, 12_000, 13_900, 14_050, 14_500, 15_500, 20_000, longAfterRelease} {
				for _, noHistory := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d hosts, %.2f killed at %d ms, store without history %t", size, share, killAt, noHistory), func(t *testing.T) {
						is := is.New(t)
						s := newStory(size)
						s.noHistory = noHistory
						s.play(time.Duration(killAt)*time.Millisecond, share)
						t.Logf("%d taken up, of %d whose version served %d went on, %d joined", s.takenUp, s.serving, s.wentOn, s.joined)
						is.Equal(s.joined, 0)
						is.True(s.takenUp >= 12)
						if (share < 1 || killAt == longAfterRelease && !noHistory) && s.serving >= 12 {
							is.True(float64(s.wentOn) >= minFound*float64(s.serving))
						}
					})
				}
			}
		}
	}
}
