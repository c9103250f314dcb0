// Package engine is a stand-in for a model engine. It simulates continuous batching, a prefix cache of limited size,
// delayed and incomplete cache events, delayed load reports, cold starts, resumption and cancellation of streams, and
// injected faults.
//
// A response depends only on the prompt and the token limit, so that a checker can verify that it is complete and
// belongs to its request.
package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

// coldSlowdown is the factor by which a batch step takes longer while the engine is cold.
const coldSlowdown = 4

// crashDowntime is the downtime after a crash caused by overload during a cold start or by CrashMarker.
const crashDowntime = 2 * time.Second

// Engine is a stand-in engine.
type Engine struct {
	settings settings.Engine
	log      zerolog.Logger
	server   *faults.Server

	mu                sync.Mutex
	bootID            uint64
	rnd               *rand.Rand
	cache             *prefixCache
	waiting           []*sequence
	active            []*sequence
	coldSince         time.Time
	events            []Event
	lastEventSequence uint64
	reports           []timedLoad
	stats             Stats
	requestAdded      chan struct{}
}

// Stats holds counters since the start of the process; a simulated crash does not reset them.
type Stats struct {
	Requests     uint64 `json:"requests"`
	Crashes      uint64 `json:"crashes"`
	Cancelled    uint64 `json:"cancelled"`
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	Tokens       uint64 `json:"tokens"`
	// MaxInFlight is the highest number of concurrent requests. MaxInFlightCold is the same during cold starts only.
	MaxInFlight     int `json:"max_in_flight"`
	MaxInFlightCold int `json:"max_in_flight_cold"`
}

// sequence is one request that waits for the batch or is part of it.
type sequence struct {
	prompt         []string
	blocks         []uint64
	seed           uint64
	uncachedTokens int
	cachedTokens   int
	emitted        int
	maxTokens      int
	tokens         chan string
	clientGone     <-chan struct{}
	crashed        bool
}

// New returns an engine. Starting its Server makes it accept requests.
func New(s settings.Engine, log zerolog.Logger) *Engine {
	e := &Engine{
		settings: s, log: log, rnd: rand.New(rand.NewPCG(s.Seed, uint64(len(s.Name)))), requestAdded: make(chan struct{}, 1),
	}
	e.reset()
	e.server = faults.NewServer(s.Address, e.handler(), e.handleCrash, log)
	go e.runBatch()
	go e.runReports()
	return e
}

// Server returns the server of the public address.
func (e *Engine) Server() *faults.Server { return e.server }

// reset aborts all requests and puts the engine into the state of a cold start with a new boot ID.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = e.rnd.Uint64() ^ xxhash.Sum64String(e.settings.Name)
	e.cache = newPrefixCache(e.settings.CacheBlocks, e.addEvent)
	e.coldSince = time.Now()
	for _, s := range append(e.waiting, e.active...) {
		s.crashed = true
		close(s.tokens)
	}
	e.waiting, e.active = nil, nil
}

// handleCrash counts a crash and resets the engine. The fault server calls it after each crash.
func (e *Engine) handleCrash() {
	e.mu.Lock()
	e.stats.Crashes++
	e.mu.Unlock()
	e.reset()
}

// cold reports whether the cold start is still in progress. The caller must hold mu.
func (e *Engine) cold() bool {
	return time.Since(e.coldSince) < e.settings.ColdTime.Std()
}

// Fault implements server.StandIn.
func (e *Engine) Fault(o faults.Request) error {
	if o.Kind == faults.Cold {
		e.mu.Lock()
		e.coldSince = time.Now()
		e.cache = newPrefixCache(e.settings.CacheBlocks, e.addEvent)
		e.mu.Unlock()
	}
	return e.server.Apply(o)
}

// submit queues a request for the batch. It returns false if the request exceeds ColdLimit during a cold start, which
// makes the engine crash.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	inFlight := len(e.waiting) + len(e.active) + 1
	e.stats.Requests++
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, inFlight)
	if e.cold() {
		e.stats.MaxInFlightCold = max(e.stats.MaxInFlightCold, inFlight)
		if inFlight > e.settings.ColdLimit {
			go e.server.Crash(crashDowntime)
			return false
		}
	}
	s.blocks = blockHashes(s.prompt)
	hit := e.cache.match(s.blocks)
	s.cachedTokens = hit * blockTokens
	s.uncachedTokens = len(s.prompt) - s.cachedTokens
	e.stats.PromptTokens += uint64(len(s.prompt))
	e.stats.CachedTokens += uint64(s.cachedTokens)
	e.waiting = append(e.waiting, s)
	select {
	case e.requestAdded <- struct{}{}:
	default:
	}
	return true
}

// runBatch runs batch steps in an endless loop and blocks while there are no requests.
func (e *Engine) runBatch() {
	for {
		e.server.WaitWhileFrozen()
		pause, busy := e.step()
		if !busy {
			<-e.requestAdded
			continue
		}
		time.Sleep(pause)
	}
}

// step admits waiting requests to the batch, processes prompt tokens and emits one token for each request whose prompt
// is complete. It returns the duration of the step, and false if the batch is empty.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	for len(e.waiting) > 0 && len(e.active) < e.settings.MaxActive {
		e.active = append(e.active, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.active) == 0 {
		return 0, false
	}
	e.prefill()
	e.decode()
	pause := e.settings.Step.Std()
	if e.cold() {
		pause *= coldSlowdown
	}
	return pause, true
}

func (e *Engine) dropCancelled() {
	e.active = e.filterCancelled(e.active)
	e.waiting = e.filterCancelled(e.waiting)
}

func (e *Engine) filterCancelled(list []*sequence) []*sequence {
	var kept []*sequence
	for _, s := range list {
		select {
		case <-s.clientGone:
			e.stats.Cancelled++
			close(s.tokens)
		default:
			kept = append(kept, s)
		}
	}
	return kept
}

func (e *Engine) prefill() {
	budget := e.settings.PrefillTokens
	for _, s := range e.active {
		n := min(budget, s.uncachedTokens)
		s.uncachedTokens -= n
		budget -= n
		if n > 0 && s.uncachedTokens == 0 {
			e.cache.store(s.blocks)
		}
	}
}

func (e *Engine) decode() {
	var running []*sequence
	for _, s := range e.active {
		if s.uncachedTokens > 0 {
			running = append(running, s)
			continue
		}
		s.tokens <- tokenText(s.seed, s.emitted)
		s.emitted++
		e.stats.Tokens++
		if s.emitted < s.maxTokens {
			running = append(running, s)
		} else {
			close(s.tokens)
		}
	}
	e.active = running
}

// tokenText returns the i-th token of the response to the prompt with this seed.
func tokenText(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", uint16(xxhash.Sum64String(fmt.Sprintf("%x/%d", seed, i))))
}

// AnswerText returns the complete response text of every engine to the messages, for use by checkers.
func AnswerText(messages []Message, maxTokens int) string {
	seed := promptSeed(tokenise(messages))
	text := ""
	for i := range maxTokens {
		text += tokenText(seed, i)
	}
	return text
}

func promptSeed(tokens []string) uint64 {
	digest := xxhash.New()
	for _, t := range tokens {
		// Writes to an xxhash digest never fail.
		_, _ = digest.WriteString(t)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// State implements server.StandIn.
func (e *Engine) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		Name: e.settings.Name, BootID: e.bootID, Cold: e.cold(), Waiting: len(e.waiting), Active: len(e.active),
		CacheBlocks: len(e.cache.blocks), Stats: e.stats,
	}
}

// State is the engine's state dump.
type State struct {
	Name        string `json:"name"`
	BootID      uint64 `json:"boot_id"`
	Cold        bool   `json:"cold"`
	Waiting     int    `json:"waiting"`
	Active      int    `json:"active"`
	CacheBlocks int    `json:"cache_blocks"`
	Stats       Stats  `json:"stats"`
}
