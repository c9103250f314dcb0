// Package engine is the stand-in for a model engine: continuous batching, a prefix cache of limited memory, late and
// gappy cache events, a lagging load report, cold starts, stream resume and cancel, and faults on request.
//
// Answers are a function of the prompt alone, so that a checker can tell a whole answer from any other.
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

// coldSlowdown is how much longer a batch step takes while the engine is cold.
const coldSlowdown = 4

// crashDown is how long the engine stays away after it fell over under load or a marked request.
const crashDown = 2 * time.Second

// Engine is one stand-in engine.
type Engine struct {
	settings settings.Engine
	log      zerolog.Logger
	server   *faults.Server

	mu       sync.Mutex
	bootID   uint64
	rnd      *rand.Rand
	cache    *prefixCache
	waiting  []*sequence
	active   []*sequence
	coldFrom time.Time
	events   []Event
	lostTo   uint64
	reports  []timedLoad
	stats    Stats
	wake     chan struct{}
}

// Stats counts what the engine did since the process started.
type Stats struct {
	Requests     uint64 `json:"requests"`
	Crashes      uint64 `json:"crashes"`
	Cancelled    uint64 `json:"cancelled"`
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	Tokens       uint64 `json:"tokens"`
	// MaxInFlight is the most requests that were inside at once; MaxInFlightCold counts only cold times.
	MaxInFlight     int `json:"max_in_flight"`
	MaxInFlightCold int `json:"max_in_flight_cold"`
}

// sequence is one request inside the batch.
type sequence struct {
	prompt    []string
	blocks    []uint64
	seed      uint64
	uncached  int
	cached    int
	emitted   int
	maxTokens int
	tokens    chan string
	gone      <-chan struct{}
	crashed   bool
}

// New returns an engine; Start begins to serve.
func New(s settings.Engine, log zerolog.Logger) *Engine {
	e := &Engine{
		settings: s, log: log, rnd: rand.New(rand.NewPCG(s.Seed, uint64(len(s.Name)))), wake: make(chan struct{}, 1),
	}
	e.reset()
	e.server = faults.NewServer(s.Address, e.handler(), e.crashed, log)
	go e.runBatch()
	go e.runReports()
	return e
}

// Server returns the public server.
func (e *Engine) Server() *faults.Server { return e.server }

// reset makes the engine new and cold, as after a start.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = e.rnd.Uint64() ^ xxhash.Sum64String(e.settings.Name)
	e.cache = newPrefixCache(e.settings.CacheBlocks, e.addEvent)
	e.coldFrom = time.Now()
	for _, s := range append(e.waiting, e.active...) {
		s.crashed = true
		close(s.tokens)
	}
	e.waiting, e.active = nil, nil
}

// crashed is called by the fault server after each crash.
func (e *Engine) crashed() {
	e.mu.Lock()
	e.stats.Crashes++
	e.mu.Unlock()
	e.reset()
}

// cold reports whether the engine is in its cold start. The caller holds mu.
func (e *Engine) cold() bool {
	return time.Since(e.coldFrom) < e.settings.ColdTime.Std()
}

// Fault implements server.StandIn.
func (e *Engine) Fault(o faults.Order) error {
	if o.Kind == faults.Cold {
		e.mu.Lock()
		e.coldFrom = time.Now()
		e.cache = newPrefixCache(e.settings.CacheBlocks, e.addEvent)
		e.mu.Unlock()
	}
	return e.server.Apply(o)
}

// submit adds a request to the batch. It reports false if the engine falls over under the load of a cold start.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	inFlight := len(e.waiting) + len(e.active) + 1
	e.stats.Requests++
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, inFlight)
	if e.cold() {
		e.stats.MaxInFlightCold = max(e.stats.MaxInFlightCold, inFlight)
		if inFlight > e.settings.ColdLimit {
			go e.server.Crash(crashDown)
			return false
		}
	}
	s.blocks = blockHashes(s.prompt)
	hit := e.cache.match(s.blocks)
	s.cached = hit * blockTokens
	s.uncached = len(s.prompt) - s.cached
	e.stats.PromptTokens += uint64(len(s.prompt))
	e.stats.CachedTokens += uint64(s.cached)
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// runBatch runs one batch step after the other for ever.
func (e *Engine) runBatch() {
	for {
		e.server.WaitThawed()
		pause, busy := e.step()
		if !busy {
			<-e.wake
			continue
		}
		time.Sleep(pause)
	}
}

// step admits waiting requests, reads prompt tokens and emits one token for each request that has read its prompt.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropGone()
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

func (e *Engine) dropGone() {
	e.active = e.keepPresent(e.active)
	e.waiting = e.keepPresent(e.waiting)
}

func (e *Engine) keepPresent(list []*sequence) []*sequence {
	var kept []*sequence
	for _, s := range list {
		select {
		case <-s.gone:
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
		n := min(budget, s.uncached)
		s.uncached -= n
		budget -= n
		if n > 0 && s.uncached == 0 {
			e.cache.store(s.blocks)
		}
	}
}

func (e *Engine) decode() {
	var running []*sequence
	for _, s := range e.active {
		if s.uncached > 0 {
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

// tokenText returns the i-th token of the answer to the prompt with this seed.
func tokenText(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", uint16(xxhash.Sum64String(fmt.Sprintf("%x/%d", seed, i))))
}

// AnswerText returns the whole answer that an engine gives to the messages, for checkers.
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
		// Writing to an xxhash digest cannot fail.
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
