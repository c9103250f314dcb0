package report

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleusher/orioleusher/internal/standin/engine"
)

// blockTokens is the number of tokens in one block of an engine's prefix cache.
const blockTokens = 16

// PromptBlocks returns the chained hashes of the full blocks of a prompt. Each role and each word counts as one token.
func PromptBlocks(messages []engine.Message) []uint64 {
	var blocks []uint64
	digest := xxhash.New()
	count := 0
	add := func(token string) {
		// Writing to an xxhash digest cannot fail.
		_, _ = digest.WriteString(token)
		_, _ = digest.WriteString(" ")
		count++
		if count%blockTokens == 0 {
			blocks = append(blocks, digest.Sum64())
		}
	}
	for _, m := range messages {
		add(m.Role)
		for _, token := range strings.Fields(m.Content) {
			add(token)
		}
	}
	return blocks
}

// oracleCachedTokens returns, for each request, the prompt tokens that a single cache without eviction would have held:
// the leading blocks of the prompt that requests answered before this one was sent had stored. The count is at least the
// number of cached tokens that the engine reported.
func oracleCachedTokens(requests []CompletedRequest) []int {
	type event struct {
		at    time.Duration
		index int
		store bool
	}
	var events []event
	for i := range requests {
		r := &requests[i]
		if r.PromptTokens == 0 {
			continue
		}
		events = append(events, event{at: r.Sent, index: i}, event{at: r.FirstByte, index: i, store: true})
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	stored := map[uint64]struct{}{}
	cached := make([]int, len(requests))
	for _, e := range events {
		blocks := requests[e.index].Blocks
		if !e.store {
			cached[e.index] = max(leadingCached(stored, blocks)*blockTokens, requests[e.index].CachedTokens)
			continue
		}
		for _, b := range blocks {
			stored[b] = struct{}{}
		}
	}
	return cached
}

func leadingCached(stored map[uint64]struct{}, blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := stored[b]; !ok {
			return i
		}
	}
	return len(blocks)
}
