// Package arrivals generates the requests of a run from its scenario, each with the time at which it is due. The
// requests depend only on the scenario and its seed, not on the responses of the fleet or their timing (open-loop load).
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
	// Chat is set for chat requests, Call for calls to services.
	Chat *ChatTurn
	Call *scenario.Call
}

// ChatTurn is one turn of a chat.
type ChatTurn struct {
	ID       string
	Messages []engine.Message
	// ExpectedText is the full text of the correct response.
	ExpectedText string
}

// Plan returns the requests of the run, ordered by the time at which they are due.
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

// newRand returns a random generator for one stream of arrivals. Each stream has its own, so that a change to one stream
// does not affect the others.
func newRand(s *scenario.Scenario, stream string) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(stream)))
}

func chatRequests(s *scenario.Scenario, t *scenario.Team) []Request {
	if t.ChatsPerSecond <= 0 {
		return nil
	}
	rng := newRand(s, t.Name+"/chats")
	pool := newChatPool(s.Chat, t, rng)
	var requests []Request
	for _, due := range poissonTimes(s, t, t.ChatsPerSecond, rng) {
		requests = append(requests, Request{Due: due, Team: t.Name, Chat: pool.nextTurn(due)})
	}
	return requests
}

func callRequests(s *scenario.Scenario, t *scenario.Team, c *scenario.Call) []Request {
	rng := newRand(s, t.Name+"/"+c.Route)
	var requests []Request
	for _, due := range poissonTimes(s, t, c.PerSecond, rng) {
		requests = append(requests, Request{Due: due, Team: t.Name, Call: c})
	}
	return requests
}

// poissonTimes returns the arrival times of a Poisson process whose rate is multiplied by the team's surges. It uses
// thinning: it generates arrivals at the peak rate and keeps each with probability rate / peak.
func poissonTimes(s *scenario.Scenario, t *scenario.Team, perSecond float64, rng *rand.Rand) []time.Duration {
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
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Duration.Std() {
			return times
		}
		if rng.Float64() < t.SurgeFactor(at)/top {
			times = append(times, at)
		}
	}
}
