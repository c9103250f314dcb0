package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

const (
	// globalWitnesses and localWitnesses are the numbers of hosts of the fleet, and of the sender's data centre, that are
	// told of a stream. If the data centre is cut off, only the latter can be asked.
	globalWitnesses = 2
	localWitnesses  = 1
	// spareWitnesses is the number of further hosts that are asked, as hosts may disagree about the members.
	spareWitnesses = 1
	// originTimeout limits the time for asking other hosts.
	originTimeout = 100 * time.Millisecond
)

// Origins holds what this host knows of the origins of streams.
type Origins interface {
	// Known returns what this host knows without asking others.
	Known(origin.Query) origin.Answer
}

// Witnesses implements origin.Witnesses.
func (f *Fleet) Witnesses(stream origin.StreamID) []string {
	return f.witnesses(stream, globalWitnesses, localWitnesses)
}

// witnesses returns the first hosts of the fleet and of the local data centre in an order that is the same on all hosts.
func (f *Fleet) witnesses(stream origin.StreamID, global, local int) []string {
	all, near := make(topHosts, 0, global+1), make(topHosts, 0, local+1)
	f.mu.Lock()
	for address, m := range f.members {
		if m.leaving {
			continue
		}
		h := scoredHost{address, loadbalancer.Score(uint64(stream), address)}
		all = all.add(h, global)
		if m.dataCentreHash == f.dataCentreHash {
			near = near.add(h, local)
		}
	}
	f.mu.Unlock()
	hosts := make([]string, 0, len(all)+len(near))
	for _, h := range append(all, near...) {
		if !slices.Contains(hosts, h.address) {
			hosts = append(hosts, h.address)
		}
	}
	return hosts
}

// topHosts holds the hosts with the highest scores in descending order.
type topHosts []scoredHost

type scoredHost struct {
	address string
	score   uint64
}

// add adds the host if it belongs to the first limit.
func (t topHosts) add(h scoredHost, limit int) topHosts {
	i := len(t)
	for i > 0 && t[i-1].score < h.score {
		i--
	}
	if i >= limit {
		return t
	}
	t = slices.Insert(t, i, h)
	return t[:min(limit, len(t))]
}

// AskOrigin implements origin.Peers. It asks the hosts at once and returns when one knows the origin, or when all have
// answered or failed.
func (f *Fleet) AskOrigin(ctx context.Context, q origin.Query) []origin.Answer {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	hosts := f.witnesses(q.Stream, globalWitnesses+spareWitnesses, localWitnesses+spareWitnesses)
	answers := make(chan *origin.Answer, len(hosts))
	for _, host := range hosts {
		go func() { answers <- f.askHost(ctx, host, q) }()
	}
	var list []origin.Answer
	for range hosts {
		a := <-answers
		if a == nil {
			continue
		}
		list = append(list, *a)
		if a.Origin != nil {
			break
		}
	}
	return list
}

// askHost returns the host's answer, or nil if there is none.
func (f *Fleet) askHost(ctx context.Context, host string, q origin.Query) *origin.Answer {
	reply, err := fleetpb.NewFleetProtobufClient("http://"+host, f.client).Origin(ctx, &fleetpb.OriginRequest{
		Stream: uint64(q.Stream), Service: q.Service, WindowMs: uint32(q.Window.Milliseconds()),
	})
	if err != nil {
		f.Log.Debug().Str("event", "origin-not-told").Str("peer", host).Err(err).Send()
		return nil
	}
	a := &origin.Answer{
		Host: host, Versions: reply.GetVersions(), Followed: milliseconds(reply.GetFollowedMs()), Age: milliseconds(reply.GetAgeMs()),
	}
	if m := reply.GetOrigin(); m != nil {
		r := origin.Decode(m, f.Clock.Now())
		a.Origin = &r
	}
	return a
}

// Origin implements fleetpb.Fleet.
func (f *Fleet) Origin(_ context.Context, r *fleetpb.OriginRequest) (*fleetpb.OriginAnswer, error) {
	a := f.Origins.Known(origin.Query{Stream: origin.StreamID(r.GetStream()), Service: r.GetService(), Window: milliseconds(r.GetWindowMs())})
	reply := &fleetpb.OriginAnswer{
		Versions: a.Versions, FollowedMs: boundedMilliseconds(a.Followed), AgeMs: boundedMilliseconds(a.Age),
	}
	if a.Origin != nil {
		reply.Origin = origin.Encode(*a.Origin, f.Clock.Now())
	}
	return reply, nil
}

// maxAge is the time that stands for anything longer.
const maxAge = 24 * time.Hour

// boundedMilliseconds returns the time in the unit of messages. A time that begins in the future counts as 0.
func boundedMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d), maxAge).Milliseconds())
}
