package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/loadbalancer"
	"github.com/orioleusher/orioleusher/internal/origin"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// fakeOrigins answers with what it holds and records the questions.
type fakeOrigins struct {
	answer origin.Answer

	mu    sync.Mutex
	asked []origin.Query
}

func (o *fakeOrigins) Known(q origin.Query) origin.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, q)
	return o.answer
}

// introduce makes each host know all others, except for the given share of them that it draws.
func introduce(hosts []*Fleet, unaware float64, random *rand.Rand) {
	for _, h := range hosts {
		h.members = map[string]*member{}
		for _, i := range random.Perm(len(hosts))[:int(float64(len(hosts))*(1-unaware))] {
			if other := hosts[i]; other != h {
				h.members[other.Self] = &member{incarnation: other.Incarnation, dataCentreHash: other.dataCentreHash, lastSeen: h.Clock.Now()}
			}
		}
	}
}

// finds reports whether a host that is asked for a stream, or one that it asks, was told of it. Only hosts for which alive
// returns true answer.
func finds(asker *Fleet, stream origin.StreamID, told []string, alive func(address string) bool) bool {
	asked := append(asker.witnesses(stream, globalWitnesses+spareWitnesses, localWitnesses+spareWitnesses), asker.Self)
	return slices.ContainsFunc(asked, func(host string) bool { return alive(host) && slices.Contains(told, host) })
}

// countFound counts the streams whose origin is found at another host after the death of their host, of all that are continued
// at a live host. The given share of the other hosts is dead too, or the data centre of both hosts is cut off.
func countFound(hosts []*Fleet, dead float64, cutOff bool, random *rand.Rand) (found, all int) {
	byAddress := map[string]*Fleet{}
	for _, h := range hosts {
		byAddress[h.Self] = h
	}
	for range 200 {
		killed := map[string]bool{}
		for _, i := range random.Perm(len(hosts))[:int(dead*float64(len(hosts)))] {
			killed[hosts[i].Self] = true
		}
		for range 10 {
			host, asker, stream := hosts[random.IntN(len(hosts))], hosts[random.IntN(len(hosts))], origin.StreamID(random.Uint64())
			if host == asker || killed[asker.Self] || cutOff && host.DataCentre != asker.DataCentre {
				continue
			}
			all++
			if finds(asker, stream, host.Witnesses(stream), func(address string) bool {
				other := byAddress[address]
				return other != host && !killed[address] && (!cutOff || other.DataCentre == host.DataCentre)
			}) {
				found++
			}
		}
	}
	return found, all
}

// minFound is the share of streams whose origin must be found: at least half as many as new ones that begin go on.
const minFound = 0.5

// Guards against hosts that tell others of a stream than those that are asked for it, so that streams are refused whose
// version serves.
func TestOriginIsFoundAfterDeathOfItsHost(t *testing.T) {
	for _, size := range []int{7, 90, 295} {
		for _, tt := range []struct {
			name            string
			unaware, killed float64
			cutOff          bool // the data centre of the stream's host, where the caller continues the stream
		}{
			{"its host killed", 0, 0, false},
			{"its host killed, hosts unaware of a quarter", 0.25, 0, false},
			{"a third killed", 0, 1. / 3, false},
			{"a third killed, hosts unaware of a quarter", 0.25, 1. / 3, false},
			{"data centre cut off", 0, 0, true},
			{"data centre cut off, hosts unaware of a quarter", 0.25, 0, true},
		} {
			t.Run(fmt.Sprintf("%d hosts, %s", size, tt.name), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(1, uint64(size)))
				hosts := newLargeFleet(size, clockwork.NewFakeClock())
				introduce(hosts, tt.unaware, random)
				found, all := countFound(hosts, tt.killed, tt.cutOff, random)
				share := float64(found) / float64(all)
				t.Logf("found %.3f of %d", share, all)
				is.True(all >= 100)
				is.True(share >= minFound)
				if tt.unaware == 0 && tt.killed == 0 {
					is.Equal(found, all) // hosts that agree on the members ask all that were told
				}
			})
		}
	}
}

// Guards against hosts that are told of streams although they are about to leave, or twice.
func TestWitnessesAreDistinctAndStay(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	hosts := newLargeFleet(20, clockwork.NewFakeClock())
	is.Equal(len(hosts[0].Witnesses(1)), 0) // no other host is known
	introduce(hosts, 0, random)
	self := hosts[0]
	for address, m := range self.members {
		m.leaving = strings.HasSuffix(address, "0:9") || strings.HasSuffix(address, "3:9")
	}
	for range 500 {
		stream := origin.StreamID(random.Uint64())
		list := self.Witnesses(stream)
		is.True(len(list) >= globalWitnesses && len(list) <= globalWitnesses+localWitnesses)
		local := 0
		for i, address := range list {
			is.True(!self.members[address].leaving)
			is.True(!slices.Contains(list[:i], address))
			if self.members[address].dataCentreHash == self.dataCentreHash {
				local++
			}
		}
		is.True(local >= localWitnesses)
		is.Equal(self.Witnesses(stream), list)
	}
}

// Guards against witnesses that depend on the order in which a host has come to know the others, or on which of them are in
// its data centre.
func TestWitnessesAreThoseOfHighestScore(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 1))
	hosts := newLargeFleet(30, clockwork.NewFakeClock())
	introduce(hosts, 0.25, random)
	for range 500 {
		stream, h := origin.StreamID(random.Uint64()), hosts[random.IntN(len(hosts))]
		var all, near []string
		for address, m := range h.members {
			all = append(all, address)
			if m.dataCentreHash == h.dataCentreHash {
				near = append(near, address)
			}
		}
		loadbalancer.SortByScore(uint64(stream), all)
		loadbalancer.SortByScore(uint64(stream), near)
		want := all[:3]
		for _, address := range near[:min(2, len(near))] {
			if !slices.Contains(want, address) {
				want = append(slices.Clone(want), address)
			}
		}
		is.Equal(h.witnesses(stream, 3, 2), want)
	}
}

func askingHost(t *testing.T, clock clockwork.Clock, others ...string) *testHost {
	t.Helper()
	h := startHost(t, clock)
	for _, address := range others {
		h.members[address] = &member{dataCentreHash: h.dataCentreHash, lastSeen: clock.Now()}
	}
	return h
}

var testQuery = origin.Query{Stream: origin.HashRequestID("id"), Service: "s", Window: 20 * time.Second}

// Guards against answers that change on their way between two hosts.
func TestOriginIsAskedOverHTTP(t *testing.T) {
	clock := clockwork.NewFakeClock()
	record := origin.Record{Stream: testQuery.Stream, Origin: origin.Origin{Service: "s", Version: "v1.1"}, Expires: clock.Now().Add(7 * time.Second)}
	for _, tt := range []struct {
		name        string
		known, want origin.Answer
	}{
		{"a record", origin.Answer{Origin: &record, Followed: time.Second}, origin.Answer{Origin: &record, Followed: time.Second}},
		{"versions", origin.Answer{Versions: []string{"1", "2"}, Followed: time.Minute, Age: 1500 * time.Millisecond},
			origin.Answer{Versions: []string{"1", "2"}, Followed: time.Minute, Age: 1500 * time.Millisecond}},
		{"no data", origin.Answer{Age: 1<<63 - 1}, origin.Answer{Age: maxAge}},
		{"follows since a moment that is still to come", origin.Answer{Versions: []string{"1"}, Followed: -2 * time.Millisecond}, origin.Answer{Versions: []string{"1"}}},
		{"follows for months", origin.Answer{Versions: []string{"1"}, Followed: 60 * 24 * time.Hour}, origin.Answer{Versions: []string{"1"}, Followed: maxAge}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			origins := &fakeOrigins{answer: tt.known}
			told := startHost(t, clock)
			told.Origins = origins
			got := askingHost(t, clock, told.Self).AskOrigin(context.Background(), testQuery)
			tt.want.Host = told.Self
			is.Equal(got, []origin.Answer{tt.want})
			is.Equal(origins.asked, []origin.Query{testQuery})
		})
	}
}

// Guards against an older build of a host that passes for one that has followed what is published and saw no version.
func TestOlderBuildDoesNotAnswerForOrigin(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	newer := startHost(t, clock)
	newer.Origins = &fakeOrigins{answer: origin.Answer{Versions: []string{"1"}, Followed: time.Minute}}
	asked := make(chan int, 1)
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimSuffix(r.URL.Path, "Origin") + "Unknown"
		recorder := httptest.NewRecorder()
		fleetpb.NewFleetServer(newer.Fleet).ServeHTTP(recorder, r)
		asked <- recorder.Code
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer older.Close()
	h := askingHost(t, clock, newer.Self, older.Listener.Addr().String())
	got := h.AskOrigin(context.Background(), testQuery)
	is.Equal(<-asked, http.StatusNotFound)
	is.Equal(len(got), 1)
	is.Equal(got[0].Host, newer.Self)
}

// directTransport calls the handlers of hosts without a network. A host without one does not respond until the request ends,
// or not at all if it is dead.
type directTransport struct {
	handlers map[string]http.Handler
	dead     map[string]bool
}

func (d *directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.dead[r.URL.Host] {
		return nil, errors.New("connection refused")
	}
	handler := d.handlers[r.URL.Host]
	if handler == nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// Guards against a silent host for which callers that continue streams wait, and against answers of others that are lost for it.
func TestSilentHostDelaysOriginBriefly(t *testing.T) {
	for _, tt := range []struct {
		name    string
		knows   bool
		answers int
		takes   time.Duration
	}{
		{"another knows the origin", true, 1, 0},
		{"nobody knows the origin", false, 1, originTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hosts := newLargeFleet(3, clockwork.NewFakeClock())
				introduce(hosts, 0, rand.New(rand.NewPCG(1, 1)))
				answer := origin.Answer{Versions: []string{"1"}, Followed: time.Minute}
				if tt.knows {
					answer.Origin = &origin.Record{Stream: testQuery.Stream, Expires: hosts[0].Clock.Now().Add(time.Second)}
				}
				hosts[1].Origins = &fakeOrigins{answer: answer}
				hosts[0].client.Transport = &directTransport{handlers: map[string]http.Handler{hosts[1].Self: fleetpb.NewFleetServer(hosts[1])}}
				began := time.Now()
				got := hosts[0].AskOrigin(context.Background(), testQuery)
				is.Equal(len(got), tt.answers)
				is.Equal(time.Since(began), tt.takes)
			})
		})
	}
}

// BenchmarkWitnesses measures what telling other hosts costs for each stream while several versions serve.
func BenchmarkWitnesses(b *testing.B) {
	for _, size := range []int{7, 90, 295} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			hosts := newLargeFleet(size, clockwork.NewFakeClock())
			introduce(hosts, 0, rand.New(rand.NewPCG(1, 1)))
			r := origin.Record{Stream: testQuery.Stream, Origin: origin.Origin{Service: "chat-long-context", Version: "v2026.11.3"}, Expires: hosts[0].Clock.Now().Add(20 * time.Second)}
			datagram := proto.Size(&fleetpb.Loads{Origins: []*fleetpb.StreamOrigin{origin.Encode(r, hosts[0].Clock.Now())}})
			told := 0
			stream := origin.StreamID(1)
			b.ReportAllocs()
			for b.Loop() {
				told += len(hosts[0].Witnesses(stream))
				stream++
			}
			b.ReportMetric(float64(datagram), "B/datagram")
			b.ReportMetric(float64(told)/float64(b.N), "datagrams/op")
		})
	}
}
