package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/proofs/rights/window"
)

// simTeams are the teams of the simulation. The rate and burst of the first two never change, so that their limit is
// exact. The number of hosts over which they are split changes with the number of active hosts.
var simTeams = []document.Team{
	{Name: "large", RatePerSecond: 60, Burst: 40},
	{Name: "small", RatePerSecond: 10, Burst: 9},
	{Name: "edited", RatePerSecond: 30, Burst: 8},
}

// editedBursts are the bursts that documents give the third team. Its limit is computed from the largest.
var editedBursts = []float64{8, 16, 24}

const simHostCount = 4

// simulation is a set of limiters with a network that loses, repeats and delays every message.
type simulation struct {
	t               *rapid.T
	now             time.Duration
	hosts           []*simHost
	documents       []*document.Snapshot
	retired         map[string]bool
	messages        []func()
	admitted        map[string][]time.Time
	lastIncarnation uint64
}

type simHost struct {
	name        string
	clock       *clockwork.FakeClock
	limiter     *Limiter
	incarnation uint64
	partitioned bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, retired: map[string]bool{}, admitted: map[string][]time.Time{}}
	for i := range simHostCount {
		h := &simHost{name: fmt.Sprintf("host-%d", i)}
		skew := rapid.IntRange(-3600, 3600).Draw(t, "skew")
		h.clock = clockwork.NewFakeClockAt(time.Unix(1e6, 0).Add(time.Duration(skew) * time.Second))
		s.hosts = append(s.hosts, h)
	}
	s.publish(simHostCount-1, editedBursts[0])
	for _, h := range s.hosts {
		s.start(h)
		h.limiter.Apply(s.documents[0])
	}
	// The fleet starts settled and with full buckets, the state in which a violation is most likely.
	for range simHostCount {
		s.settleAll()
		s.advance(time.Second)
	}
	return s
}

func (s *simulation) start(h *simHost) {
	s.lastIncarnation++
	h.incarnation = s.lastIncarnation
	h.limiter = NewLimiter(h.name, h.incarnation, h.clock)
}

// publish appends a document that lists the given number of hosts and those of earlier documents. Retired hosts are not
// active in it.
func (s *simulation) publish(hosts int, editedBurst float64) {
	doc := &document.Document{Schema: document.SchemaVersion, Fleet: "sim", Version: uint64(len(s.documents) + 1)}
	doc.Parent.Version = doc.Version - 1
	dc := document.DataCentre{Name: "dc", State: document.StateIn}
	for i, h := range s.hosts {
		if i < hosts || s.listed(h.name) {
			host := numberedHost(h.name, i+1)
			host.Retired = s.retired[h.name]
			dc.Hosts = append(dc.Hosts, host)
		}
	}
	doc.DataCentres = []document.DataCentre{dc}
	doc.Teams = append([]document.Team(nil), simTeams...)
	doc.Teams[2].Burst = editedBurst
	raw, err := doc.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	snap, err := document.Parse(raw)
	if err != nil {
		s.t.Fatal(err)
	}
	s.documents = append(s.documents, snap)
}

// listed reports whether the latest document lists the host. A listed host is never removed, only retired.
func (s *simulation) listed(host string) bool {
	if len(s.documents) == 0 {
		return false
	}
	_, ok := s.documents[len(s.documents)-1].Host(host)
	return ok
}

func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, h := range s.hosts {
		h.clock.Advance(d)
	}
}

func (s *simulation) admit(team string, count uint32) {
	for range count {
		s.admitted[team] = append(s.admitted[team], time.Unix(0, 0).Add(s.now))
	}
}

func (s *simulation) host() *simHost {
	return s.hosts[rapid.IntRange(0, simHostCount-1).Draw(s.t, "host")]
}

// document returns a random document, possibly an old one.
func (s *simulation) document(t *rapid.T) *document.Snapshot {
	return s.documents[rapid.IntRange(0, len(s.documents)-1).Draw(t, "document")]
}

func (s *simulation) team() string {
	return simTeams[rapid.IntRange(0, len(simTeams)-1).Draw(s.t, "team")].Name
}

// request sends requests to one host until it refuses.
func (s *simulation) request(h *simHost, team string) {
	if h.limiter == nil || h.limiter.view == nil {
		return
	}
	snap := h.limiter.view.snap
	for h.limiter.Admit(snap, snap.Team(team)).Admitted {
		s.admit(team, 1)
	}
}

// borrow sends a borrow request. The reply is a separate message.
func (s *simulation) borrow(h, lender *simHost, team string, want uint32) {
	incarnation, grant := h.incarnation, NewGrant(h.clock.Now())
	s.send(h, lender, func() {
		reply := lender.limiter.Lend(team, want)
		s.send(lender, h, func() {
			if h.incarnation == incarnation && grant.Redeem(h.clock.Now()) {
				s.admit(team, reply.Granted)
			}
		})
	})
}

// lendLate borrows from every other host, lets all hosts spend their own tokens meanwhile, and spends the borrowed
// tokens at the end of their validity.
func (s *simulation) lendLate(h *simHost, team string) {
	if h.limiter == nil {
		return
	}
	grant := NewGrant(h.clock.Now())
	lent := uint32(0)
	for _, lender := range s.hosts {
		if lender != h && lender.limiter != nil && !lender.partitioned && !h.partitioned {
			lent += lender.limiter.Lend(team, 100).Granted
		}
	}
	s.advance(GrantValidity - time.Millisecond)
	for _, other := range s.hosts {
		s.request(other, team)
	}
	s.advance(time.Millisecond)
	if grant.Redeem(h.clock.Now()) {
		s.admit(team, lent)
	}
	for _, other := range s.hosts {
		s.request(other, team)
	}
}

// poll sends the status requests of a host.
func (s *simulation) poll(h *simHost) {
	incarnation := h.incarnation
	for _, q := range h.limiter.PendingStatusQueries() {
		peer := s.named(q.Host.Name)
		s.send(h, peer, func() {
			reply := peer.limiter.Status(h.name, incarnation)
			s.send(peer, h, func() {
				if h.incarnation == incarnation {
					h.limiter.HandleStatusReply(q, reply)
				}
			})
		})
	}
}

func (s *simulation) named(name string) *simHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	s.t.Fatalf("host %q does not exist", name)
	return nil
}

// send puts a message on the network. A message to a host that is down at the time of delivery is lost.
func (s *simulation) send(from, to *simHost, deliver func()) {
	s.messages = append(s.messages, func() {
		if !from.partitioned && !to.partitioned && to.limiter != nil {
			deliver()
		}
	})
}

// deliver delivers a random message of the network. Some messages are lost and some are delivered twice.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
	m := s.messages[i]
	outcome := rapid.IntRange(0, 9).Draw(s.t, "fate")
	if outcome != 0 {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	}
	if outcome != 1 {
		m()
	}
}

// settleAll exchanges status requests and replies without loss.
func (s *simulation) settleAll() {
	for _, h := range s.hosts {
		if h.limiter == nil {
			continue
		}
		for _, q := range h.limiter.PendingStatusQueries() {
			if peer := s.named(q.Host.Name); peer.limiter != nil && !peer.partitioned && !h.partitioned {
				h.limiter.HandleStatusReply(q, peer.limiter.Status(h.name, h.incarnation))
			}
		}
	}
}

// actions returns the possible steps of an interleaving.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"lend everything late": func(*rapid.T) { s.lendLate(s.host(), s.team()) },
		"wait": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
		},
		"sleep":   func(*rapid.T) { s.advance(2 * time.Second) },
		"request": func(*rapid.T) { s.request(s.host(), s.team()) },
		"request everywhere": func(*rapid.T) {
			team := s.team()
			for _, h := range s.hosts {
				s.request(h, team)
			}
		},
		"borrow": func(t *rapid.T) {
			if h := s.host(); h.limiter != nil {
				s.borrow(h, s.host(), s.team(), uint32(rapid.IntRange(1, 12).Draw(t, "want")))
			}
		},
		"deliver": func(*rapid.T) { s.deliver() },
		"deliver more": func(*rapid.T) {
			for range 6 {
				s.deliver()
			}
		},
		"ask": func(*rapid.T) {
			if h := s.host(); h.limiter != nil {
				s.poll(h)
			}
		},
		"settle all": func(*rapid.T) { s.settleAll() },
		"publish": func(t *rapid.T) {
			s.publish(rapid.IntRange(1, simHostCount).Draw(t, "seats"), rapid.SampledFrom(editedBursts).Draw(t, "burst"))
		},
		"retire": func(*rapid.T) { s.retire(s.host()) },
		"apply": func(t *rapid.T) {
			if h := s.host(); h.limiter != nil {
				h.limiter.Apply(s.document(t))
			}
		},
		"restart": func(t *rapid.T) { s.restart(t, s.host()) },
		"cut":     func(*rapid.T) { h := s.host(); h.partitioned = !h.partitioned },
		"":        s.check,
	}
}

// retire stops a host permanently and publishes a document that marks it as retired.
func (s *simulation) retire(h *simHost) {
	last := s.documents[len(s.documents)-1]
	if len(s.retired) > 1 || !s.listed(h.name) {
		return
	}
	h.limiter, h.incarnation = nil, 0
	s.retired[h.name] = true
	s.publish(1, last.Team("edited").Burst)
}

// restart starts a new process of the host. It reads a random document if that is safe according to recoverable, and
// the latest one otherwise.
func (s *simulation) restart(t *rapid.T, h *simHost) {
	if s.retired[h.name] {
		return
	}
	snap := s.document(t)
	if !s.recoverable(h, snap) {
		snap = s.documents[len(s.documents)-1]
	}
	s.start(h)
	h.limiter.Apply(snap)
}

// recoverable reports whether the limit holds if the host starts with the document: the document is the newest in use,
// or another host that it lists runs with a newer one. Otherwise the starting host cannot detect that the document is
// old. The fleet's first document is not read again after a second one exists.
func (s *simulation) recoverable(h *simHost, snap *document.Snapshot) bool {
	if snap.Version == 1 && len(s.documents) > 1 {
		return false
	}
	newest := snap.Version
	detectable := false
	for _, other := range s.hosts {
		if other == h || other.limiter == nil {
			continue
		}
		version := other.limiter.view.snap.Version
		newest = max(newest, version)
		host, ok := snap.Host(other.name)
		detectable = detectable || ok && !host.Retired && version > snap.Version
	}
	return newest == snap.Version || detectable
}

// check verifies that the admissions of each team stay within its limit.
func (s *simulation) check(t *rapid.T) {
	for _, team := range simTeams {
		burst := team.Burst
		if team.Name == "edited" {
			burst = editedBursts[len(editedBursts)-1]
		}
		if err := window.Check(s.admitted[team.Name], team.RatePerSecond, burst); err != nil {
			t.Fatalf("team %s: %v", team.Name, err)
		}
	}
}

func TestNoInterleavingAdmitsMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newSimulation(t).actions())
	})
}
