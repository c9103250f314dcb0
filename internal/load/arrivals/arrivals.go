// Package arrivals turns a scenario into the list of requests that a run makes, each with the time at which it is due.
// The list depends on the scenario and its seed alone: whether the fleet answers, late or at all, changes nothing.
package arrivals

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
)

// Request is one request of the run.
type Request struct {
	ID   uint64
	Due  time.Duration
	Team string
	// Chat is set for chat requests, Call for calls to plain services.
	Chat *ChatTurn
	Call *scenario.Call
}

// ChatTurn is one turn of a returning chat.
type ChatTurn struct {
	ID       string
	Messages []engine.Message
	// Answer is the whole answer that a right engine gives.
	Answer string
}

// Plan returns the run's requests in the order in which they are due.
func Plan(s *scenario.Scenario) []Request {
	var all []Request
	for i := range s.Teams {
		t := &s.Teams[i]
		all = append(all, chatRequests(s, t)...)
		for c := range t.Calls {
			all = append(all, callRequests(s, t, &t.Calls[c])...)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Due < all[j].Due })
	for i := range all {
		all[i].ID = uint64(i + 1)
	}
	return all
}

// source returns the generator of one stream of arrivals, so that an edit of one leaves the others as they were.
func source(s *scenario.Scenario, stream string) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(stream)))
}

func chatRequests(s *scenario.Scenario, t *scenario.Team) []Request {
	if t.ChatsPerSecond <= 0 {
		return nil
	}
	rnd := source(s, t.Name+"/chats")
	book := newChatBook(s.Chat, t, rnd)
	var requests []Request
	for _, due := range poisson(s, t, t.ChatsPerSecond, rnd) {
		requests = append(requests, Request{Due: due, Team: t.Name, Chat: book.next(due)})
	}
	return requests
}

func callRequests(s *scenario.Scenario, t *scenario.Team, c *scenario.Call) []Request {
	rnd := source(s, t.Name+"/"+c.Route)
	var requests []Request
	for _, due := range poisson(s, t, c.PerSecond, rnd) {
		requests = append(requests, Request{Due: due, Team: t.Name, Call: c})
	}
	return requests
}

// poisson returns the arrival times of a Poisson process whose rate follows the team's surges, by thinning.
func poisson(s *scenario.Scenario, t *scenario.Team, perSecond float64, rnd *rand.Rand) []time.Duration {
	top := 1.0
	for _, u := range t.Surges {
		top *= max(1, u.Factor)
	}
	peak := perSecond * s.Scale * top
	if peak <= 0 {
		return nil
	}
	var times []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Duration.Std() {
			return times
		}
		if rnd.Float64() < t.Factor(at)/top {
			times = append(times, at)
		}
	}
}
