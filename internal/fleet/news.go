package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/published"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// Who reads the store.
const (
	// readersPerDataCentre hosts of each data centre read the store: one more than is needed, for the loss of one.
	readersPerDataCentre = 2
	// silentFor is how long a host is not asked for news again after a call that failed.
	silentFor = 5 * time.Second
	// notReadingFor is how long a host is not asked again that said that it does not read the store, or is turned away.
	notReadingFor = time.Second
	// unheardAfter is how long a host that nobody heard of still counts as a reader, and unheardPerHost how much longer
	// for each host of the fleet: word of a host that lives takes up to 17 s among 88 hosts, and 42 s among 200.
	unheardAfter   = 15 * time.Second
	unheardPerHost = 100 * time.Millisecond
)

// News implements fleetpb.Fleet: it waits for changes of the published items on behalf of another host.
func (f *Fleet) News(ctx context.Context, r *fleetpb.NewsRequest) (*fleetpb.NewsAnswer, error) {
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	if leaving {
		return &fleetpb.NewsAnswer{}, nil
	}
	begun := f.Clock.Now()
	news, reading := f.Store.Serve(ctx, r.GetComplete(), time.Duration(r.GetWaitMs())*time.Millisecond)
	if !reading {
		return &fleetpb.NewsAnswer{}, nil
	}
	return &fleetpb.NewsAnswer{
		Reading: true, AgeMs: uint32(news.Age.Milliseconds()) + 1,
		Mirror: encodeMirror(r.GetComplete(), news.Batch), WaitedMs: uint32(f.Clock.Since(begun).Milliseconds()),
		Withheld: news.Withheld,
	}, nil
}

// Reader implements published.Peers. Who reads is only a matter of cost: a host that asks one that does not read the
// store reads it itself. A host that the store turns away asks whoever it can.
func (f *Fleet) Reader(turnedAway bool) published.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := f.readers(f.centre)
	if f.leaving || slices.Contains(near, f.Self) && !turnedAway {
		return nil
	}
	address := f.ask(near)
	if address == "" && turnedAway {
		address = f.ask(f.farReaders())
	}
	if address == "" {
		return nil
	}
	return &reader{fleet: f, address: address}
}

// farReaders returns the hosts of other data centres that read the store. The caller holds mu.
func (f *Fleet) farReaders() []string {
	var far []string
	seen := map[uint32]bool{f.centre: true}
	for _, address := range slices.Sorted(maps.Keys(f.members)) {
		if centre := f.members[address].dataCentre; !seen[centre] {
			seen[centre] = true
			far = append(far, f.readers(centre)...)
		}
	}
	return far
}

// ask returns one of the hosts, always the same one while it answers, or "". The caller holds mu.
func (f *Fleet) ask(hosts []string) string {
	now := f.Clock.Now()
	hosts = slices.DeleteFunc(hosts, func(address string) bool {
		m := f.members[address]
		return m == nil || m.leaving || now.Before(m.silentUntil)
	})
	if len(hosts) == 0 {
		return ""
	}
	return hosts[loadbalancer.HashKey(f.Self)%uint64(len(hosts))]
}

// readers returns the first hosts of a data centre in an order that all hosts agree on. The caller holds mu.
func (f *Fleet) readers(centre uint32) []string {
	now := f.Clock.Now()
	unheard := unheardAfter + time.Duration(len(f.members))*unheardPerHost
	var near []string
	if centre == f.centre {
		near = append(near, f.Self)
	}
	for address, m := range f.members {
		if m.dataCentre == centre && !m.leaving && now.Sub(m.heard) < unheard {
			near = append(near, address)
		}
	}
	loadbalancer.SortByScore(loadbalancer.HashKey("store-reader"), near)
	return near[:min(readersPerDataCentre, len(near))]
}

// reader is a host that is asked for news.
type reader struct {
	fleet   *Fleet
	address string
}

// Address implements published.Peer.
func (r *reader) Address() string { return r.address }

// News implements published.Peer.
func (r *reader) News(ctx context.Context, after uint64, wait time.Duration) (published.PeerBatch, error) {
	client := fleetpb.NewFleetProtobufClient("http://"+r.address, r.fleet.news)
	sent := r.fleet.Clock.Now()
	answer, err := client.News(ctx, &fleetpb.NewsRequest{Complete: after, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		r.fleet.noteSilent(r.address, silentFor)
		return published.PeerBatch{}, errors.Wrapf(err, "hear from %s", r.address)
	}
	if !answer.GetReading() {
		r.fleet.noteSilent(r.address, notReadingFor)
		return published.PeerBatch{}, errors.Wrapf(published.ErrNotStoreReader, "hear from %s", r.address)
	}
	onTheWay := r.fleet.Clock.Since(sent) - time.Duration(answer.GetWaitedMs())*time.Millisecond
	return published.PeerBatch{
		Batch: decodeMirror(answer.GetMirror()), Withheld: answer.GetWithheld(),
		Age: time.Duration(answer.GetAgeMs())*time.Millisecond + max(0, onTheWay),
	}, nil
}

func (f *Fleet) noteSilent(address string, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[address]; m != nil {
		m.silentUntil = f.Clock.Now().Add(wait)
	}
}
