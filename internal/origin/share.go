package origin

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

const (
	// ShareInterval is the time within which other hosts are told of a stream that they do not need at once.
	ShareInterval = 500 * time.Millisecond
	// maxShared limits the streams of which other hosts are told in one such interval.
	maxShared = 256
	// errorLogInterval is the time between two log lines about failed sends.
	errorLogInterval = 10 * time.Second
)

// Witnesses selects the hosts that are told of a stream.
type Witnesses interface {
	Witnesses(stream StreamID) []string
}

// SharerOptions configures NewSharer.
type SharerOptions struct {
	Table    *Table
	Versions Versions
	// Window is how far back a version counts as one of those that serve.
	Window time.Duration
	// MaxDataAge is the age of what is known of published versions from which on other hosts may use others.
	MaxDataAge time.Duration
	Witnesses  Witnesses
	Conn       net.PacketConn
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Scope      tally.Scope
}

// Sharer tells other hosts the origins of the streams of this host, by datagrams. While a single version serves, they are
// needed only if another one is published after this host has died.
type Sharer struct {
	SharerOptions
	sent, sendErrors tally.Counter

	mu            sync.Mutex
	errorLoggedAt time.Time
}

// NewSharer returns a sharer; Run starts it.
func NewSharer(o SharerOptions) *Sharer {
	scope := o.Scope.SubScope("origin")
	return &Sharer{SharerOptions: o, sent: scope.Counter("sent_bytes"), sendErrors: scope.Counter("send_errors")}
}

// Record records the origin of a stream of this host. Other hosts are told of it before Record returns if they need it, and
// otherwise soon after.
func (s *Sharer) Record(r Record) {
	if !s.needsSharing(r.Service) {
		s.Table.AddOwn(r)
		return
	}
	s.Table.Add(r)
	s.tell(r)
}

// Run tells other hosts of streams until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(ShareInterval):
			s.Share()
		}
	}
}

// needsSharing reports whether a stream of the service may be continued at a host that cannot tell which version began it.
func (s *Sharer) needsSharing(service string) bool {
	return s.Versions.DataAge() > s.MaxDataAge || len(s.Versions.VersionsSince(service, s.Clock.Now().Add(-s.Window))) > 1
}

// Share tells other hosts of the streams of which they have not been told.
func (s *Sharer) Share() {
	for _, r := range s.Table.TakeUnshared(maxShared) {
		s.tell(r)
	}
}

// tell tells the witnesses of the stream.
func (s *Sharer) tell(r Record) {
	datagram, err := proto.Marshal(&fleetpb.Loads{Origins: []*fleetpb.StreamOrigin{Encode(r, s.Clock.Now())}})
	if err != nil {
		s.logError("", errors.Wrap(err, "encode origin"))
		return
	}
	for _, host := range s.Witnesses.Witnesses(r.Stream) {
		s.send(host, datagram)
	}
}

func (s *Sharer) send(host string, datagram []byte) {
	address, err := net.ResolveUDPAddr("udp4", host) // hosts are IP addresses, so that nothing is looked up
	if err == nil {
		_, err = s.Conn.WriteTo(datagram, address)
	}
	if err != nil {
		s.sendErrors.Inc(1)
		s.logError(host, errors.Wrap(err, "send origin"))
		return
	}
	s.sent.Inc(int64(len(datagram)))
}

func (s *Sharer) logError(host string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.Clock.Now(); now.Sub(s.errorLoggedAt) >= errorLogInterval {
		s.errorLoggedAt = now
		s.Log.Warn().Str("event", "origins-not-sent").Str("peer", host).Err(err).Send()
	}
}

// Encode returns the message with the record.
func Encode(r Record, now time.Time) *fleetpb.StreamOrigin {
	left := min(max(0, r.Expires.Sub(now).Milliseconds()), math.MaxUint32)
	m := &fleetpb.StreamOrigin{Stream: uint64(r.Stream), Service: r.Service, Version: r.Version, LeftMs: uint32(left)}
	if r.Upstream != "" {
		m.Upstream, m.OpenMs = r.Upstream, uint32(min(max(0, r.Due.Sub(now).Milliseconds()+1), math.MaxUint32))
	}
	return m
}

// Decode returns the record in the message.
func Decode(m *fleetpb.StreamOrigin, now time.Time) Record {
	r := Record{
		Stream: StreamID(m.GetStream()), Origin: Origin{Service: m.GetService(), Version: m.GetVersion()},
		Expires: now.Add(time.Duration(m.GetLeftMs()) * time.Millisecond), Upstream: m.GetUpstream(),
	}
	if r.Upstream != "" {
		r.Due = now.Add(time.Duration(m.GetOpenMs()) * time.Millisecond)
	}
	return r
}
