// Package loadshare passes the loads and the request limits that upstreams report with their responses, and which upstreams
// are silent, to the other hosts of the data centre within a tenth of a second.
//
// In a fleet of hundreds of hosts an upstream reports its load to the same host only once in many seconds, and gossip
// takes seconds to reach all hosts. A sudden surge would fill upstreams meanwhile that every host believes to be idle.
// Each host therefore sends what it has observed in small datagrams. A lost datagram only makes the balance worse.
package loadshare

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/balance"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

const (
	// interval is the time between two datagrams to the same host, if there is anything new.
	interval = 100 * time.Millisecond
	// maxPeers limits the hosts that receive a datagram; in a larger data centre each one goes to a random part.
	maxPeers = 64
	// maxDatagramBytes is larger than any datagram that a host sends.
	maxDatagramBytes = 4 << 10
	// maxAge is the age above which an observation is ignored.
	maxAge = 5 * time.Second
	// errorLogInterval is the time between two log lines about failed sends.
	errorLogInterval = 10 * time.Second
)

// Observations holds the loads that responses reported, the request limits that they changed, the upstreams that are silent, and
// the services whose upstreams are brittle.
type Observations interface {
	TakeObservations() []balance.LoadReport
	MergeObservations([]balance.LoadReport)
	TakeChangedLimits() []balance.LimitReport
	MergeLimitReports([]balance.LimitReport)
	TakeChangedBrittle() []balance.BrittleReport
	MergeBrittleReports([]balance.BrittleReport)
	SilenceReports() []balance.SilenceReport
	MergeSilenceReports([]balance.SilenceReport)
}

// Peers lists the other hosts of the data centre.
type Peers interface {
	LocalPeers() []string
}

// Origins records which software versions began the streams of other hosts.
type Origins interface {
	Add(origin.Record)
}

// Options configures New.
type Options struct {
	Conn    net.PacketConn
	Loads   Observations
	Origins Origins
	Peers   Peers
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Sharer exchanges observed loads with the other hosts of the data centre.
type Sharer struct {
	Options
	sent, sendErrors, received, invalid tally.Counter
	errorLoggedAt                       time.Time
}

// New returns a sharer; Run starts it.
func New(o Options) *Sharer {
	scope := o.Scope.SubScope("loadshare")
	return &Sharer{
		Options: o, sent: scope.Counter("sent_bytes"), sendErrors: scope.Counter("send_errors"),
		received: scope.Counter("received_bytes"), invalid: scope.Counter("invalid"),
	}
}

// Run sends and receives until the context ends, and then closes the connection.
func (s *Sharer) Run(ctx context.Context) {
	go s.receive()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(interval):
			s.send()
		}
	}
	if err := s.Conn.Close(); err != nil {
		s.Log.Warn().Str("event", "loads-not-closed").Err(err).Send()
	}
}

// send sends what was observed since the last call.
func (s *Sharer) send() {
	datagram, err := s.Datagram()
	if err != nil || datagram == nil {
		s.logError("", err)
		return
	}
	for _, peer := range s.receivers() {
		address, err := net.ResolveUDPAddr("udp4", peer) // peers are IP addresses, so that nothing is looked up
		if err == nil {
			_, err = s.Conn.WriteTo(datagram, address)
		}
		if err != nil {
			s.sendErrors.Inc(1)
			s.logError(peer, err)
			continue
		}
		s.sent.Inc(int64(len(datagram)))
	}
}

func (s *Sharer) logError(peer string, err error) {
	if now := s.Clock.Now(); err != nil && now.Sub(s.errorLoggedAt) >= errorLogInterval {
		s.errorLoggedAt = now
		s.Log.Warn().Str("event", "loads-not-sent").Str("peer", peer).Err(err).Send()
	}
}

// receivers returns the hosts that receive the next datagram.
func (s *Sharer) receivers() []string {
	peers := s.Peers.LocalPeers()
	if len(peers) <= maxPeers {
		return peers
	}
	s.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:maxPeers]
}

// Datagram returns the message with what was observed since the last call and with the upstreams that are silent, or nil if
// that is nothing.
func (s *Sharer) Datagram() ([]byte, error) {
	reports, limits, silences := s.Loads.TakeObservations(), s.Loads.TakeChangedLimits(), s.Loads.SilenceReports()
	brittle := s.Loads.TakeChangedBrittle()
	if len(reports) == 0 && len(limits) == 0 && len(silences) == 0 && len(brittle) == 0 {
		return nil, nil
	}
	loads := &fleetpb.Loads{Limits: EncodeLimits(limits), Brittle: EncodeBrittle(brittle)}
	for _, r := range reports {
		loads.Upstream = append(loads.Upstream, r.IncarnationID)
		loads.LoadTenths = append(loads.LoadTenths, uint32(max(0, r.Load*tenths)))
		loads.AgeMs = append(loads.AgeMs, uint32(r.Age.Milliseconds()))
	}
	for _, r := range silences {
		loads.Silent = append(loads.Silent, r.IncarnationID)
		loads.SilenceMs = append(loads.SilenceMs, uint32(r.Silence.Milliseconds()))
	}
	raw, err := proto.Marshal(loads)
	return raw, errors.Wrap(err, "encode observed loads")
}

// tenths is the scale of loads in messages.
const tenths = 10

// Merge merges a datagram of another host.
func (s *Sharer) Merge(datagram []byte) error {
	loads := &fleetpb.Loads{}
	if err := proto.Unmarshal(datagram, loads); err != nil {
		return errors.Wrap(err, "decode observed loads")
	}
	n := min(len(loads.GetUpstream()), len(loads.GetLoadTenths()), len(loads.GetAgeMs()))
	reports := make([]balance.LoadReport, 0, n)
	for i := range n {
		age := time.Duration(loads.GetAgeMs()[i]) * time.Millisecond
		if age <= maxAge {
			reports = append(reports, balance.LoadReport{
				IncarnationID: loads.GetUpstream()[i], Load: float64(loads.GetLoadTenths()[i]) / tenths, Age: age,
			})
		}
	}
	s.Loads.MergeObservations(reports)
	s.Loads.MergeSilenceReports(decodeSilences(loads))
	s.Loads.MergeLimitReports(DecodeLimits(loads.GetLimits()))
	s.Loads.MergeBrittleReports(DecodeBrittle(loads.GetBrittle()))
	for _, o := range loads.GetOrigins() {
		s.Origins.Add(origin.Decode(o, s.Clock.Now()))
	}
	return nil
}

func decodeSilences(loads *fleetpb.Loads) []balance.SilenceReport {
	n := min(len(loads.GetSilent()), len(loads.GetSilenceMs()))
	reports := make([]balance.SilenceReport, 0, n)
	for i := range n {
		reports = append(reports, balance.SilenceReport{
			IncarnationID: loads.GetSilent()[i], Silence: time.Duration(loads.GetSilenceMs()[i]) * time.Millisecond,
		})
	}
	return reports
}

// EncodeLimits returns the message with the request limits.
func EncodeLimits(reports []balance.LimitReport) []*fleetpb.RequestLimit {
	limits := make([]*fleetpb.RequestLimit, len(reports))
	for i, r := range reports {
		limits[i] = &fleetpb.RequestLimit{
			Upstream: r.IncarnationID, Named: r.Named, PerSecond: r.PerSecond, AgeMs: uint32(min(max(0, r.Age.Milliseconds()), math.MaxUint32)),
			Leaving: r.Leaving,
		}
	}
	return limits
}

// DecodeLimits returns the request limits in the message.
func DecodeLimits(limits []*fleetpb.RequestLimit) []balance.LimitReport {
	reports := make([]balance.LimitReport, 0, len(limits))
	for _, l := range limits {
		if l.GetPerSecond() >= 0 { // not NaN
			reports = append(reports, balance.LimitReport{
				IncarnationID: l.GetUpstream(), Named: l.GetNamed(), PerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
				Leaving: l.GetLeaving(),
			})
		}
	}
	return reports
}

// EncodeBrittle returns the message with the notices of services whose upstreams are brittle.
func EncodeBrittle(reports []balance.BrittleReport) []*fleetpb.BrittleNotice {
	notices := make([]*fleetpb.BrittleNotice, len(reports))
	for i, r := range reports {
		notices[i] = &fleetpb.BrittleNotice{
			Service: r.Service, Rejections: uint32(min(max(0, r.Rejections), math.MaxInt32)), AgeMs: uint32(min(max(0, r.Age.Milliseconds()), math.MaxUint32)),
		}
	}
	return notices
}

// DecodeBrittle returns the notices in the message.
func DecodeBrittle(notices []*fleetpb.BrittleNotice) []balance.BrittleReport {
	reports := make([]balance.BrittleReport, len(notices))
	for i, n := range notices {
		reports[i] = balance.BrittleReport{
			Service: n.GetService(), Rejections: int(min(n.GetRejections(), math.MaxInt32)), Age: time.Duration(n.GetAgeMs()) * time.Millisecond,
		}
	}
	return reports
}

// receive merges datagrams until the connection is closed.
func (s *Sharer) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Clock.Sleep(interval) // such as a reset by a host that is down
			continue
		}
		s.received.Inc(int64(n))
		if s.Merge(buf[:n]) != nil {
			s.invalid.Inc(1)
		}
	}
}
