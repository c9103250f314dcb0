package detour

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

func TestOrderAndReportAreReadAsTheyWereSet(t *testing.T) {
	is := is.New(t)
	u := &catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", StartedAtMs: 7}
	order := NewOrder(u, 1500*time.Millisecond)
	h := http.Header{}
	is.NoErr(SetOrder(h, order))
	got, err := TakeOrder(h)
	is.NoErr(err)
	is.Equal(got, order)
	is.Equal(got.Key(), u.Key())
	is.Equal(got.Timeout(), 1500*time.Millisecond)
	is.Equal(len(h), 0) // nothing of it is sent on
	_, err = TakeReport(h)
	is.True(err != nil) // a response without a report is not another host's
}

// newPeers returns a chooser among hosts 10.0.0.1 to 10.0.0.n.
func newPeers(addresses ...string) (*Peers, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	var list []string
	for _, a := range addresses {
		list = append(list, a+":7340")
	}
	return NewPeers(func() []string { return list }, clock, rand.New(rand.NewPCG(1, 1))), clock
}

func TestHostThatRefusedIsLeftAlone(t *testing.T) {
	is := is.New(t)
	p, clock := newPeers("10.0.0.1", "10.0.0.2")
	p.RecordRefused("10.0.0.1:7340")
	for range 20 {
		is.Equal(p.Choose(nil), "10.0.0.2:7340")
	}
	is.Equal(p.Choose([]string{"10.0.0.2:7340"}), "")
	clock.Advance(skipTime)
	is.Equal(p.Choose([]string{"10.0.0.2:7340"}), "10.0.0.1:7340")
}

// Guards against requests that ask many hosts in vain because most of them are cut off as well, and against a single host that
// takes all detours.
func TestHostsThatServeArePreferredAndShareTheLoad(t *testing.T) {
	is := is.New(t)
	p, _ := newPeers("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4")
	p.RecordServed("10.0.0.1:7340")
	p.RecordServed("10.0.0.2:7340")
	chosen := map[string]int{}
	for range 400 {
		address := p.Choose(nil)
		chosen[address]++
		p.Begin(address)
	}
	is.True(chosen["10.0.0.1:7340"]+chosen["10.0.0.2:7340"] > 300)
	is.True(chosen["10.0.0.1:7340"] > 120 && chosen["10.0.0.2:7340"] > 120)
	is.True(chosen["10.0.0.3:7340"] > 0 && chosen["10.0.0.4:7340"] > 0)
}

// Guards against detours that keep going to a host that has ceased to respond, and against none at all if it is the only one.
func TestHostInDoubtIsOnlyUsedIfNoOtherServes(t *testing.T) {
	is := is.New(t)
	p, clock := newPeers("10.0.0.1", "10.0.0.2")
	p.RecordServed("10.0.0.1:7340")
	p.RecordServed("10.0.0.2:7340")
	p.RecordDoubt("10.0.0.1:7340")
	chosen := map[string]int{}
	for range 100 {
		chosen[p.Choose(nil)]++
	}
	is.Equal(chosen["10.0.0.2:7340"], 100)
	is.Equal(p.Choose([]string{"10.0.0.2:7340"}), "10.0.0.1:7340")
	p.RecordServed("10.0.0.1:7340") // by a response that was on its way
	is.Equal(p.Choose([]string{"10.0.0.2:7340"}), "10.0.0.1:7340")
	clock.Advance(provenTime)
	chosen = map[string]int{}
	for range 100 {
		chosen[p.Choose(nil)]++
	}
	is.True(chosen["10.0.0.1:7340"] > 20)
}

func TestLoadOfDetoursThatHaveEndedDoesNotCount(t *testing.T) {
	is := is.New(t)
	p, clock := newPeers("10.0.0.1")
	p.Begin("10.0.0.9:7340")()
	p.Begin("10.0.0.8:7340")
	is.Equal(len(p.states), 2)
	clock.Advance(listTime)
	p.Choose(nil)
	is.Equal(len(p.states), 2) // of the hosts that are gone the one with a detour in flight, and the one that was chosen
}
