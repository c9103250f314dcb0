package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 16

// prefixCache is an LRU cache of prompt blocks. The hash of a block covers the prompt from its start to the block's end.
type prefixCache struct {
	maxBlocks int
	lru       *list.List
	blocks    map[uint64]*list.Element
	// onChange is called for each block that is stored or evicted.
	onChange func(kind EventKind, block uint64)
}

func newPrefixCache(maxBlocks int, onChange func(EventKind, uint64)) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, lru: list.New(), blocks: map[uint64]*list.Element{}, onChange: onChange}
}

// match returns the number of leading blocks that are cached and marks them as recently used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(blocks)
}

// store adds the blocks and evicts the least recently used ones above maxBlocks.
func (c *prefixCache) store(blocks []uint64) {
	for _, b := range blocks {
		if e, ok := c.blocks[b]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.onChange(EventStored, b)
	}
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		block, _ := c.lru.Remove(last).(uint64)
		delete(c.blocks, block)
		c.onChange(EventEvicted, block)
	}
}

// tokenise splits a prompt into tokens: the role and the words of each message.
func tokenise(messages []Message) []string {
	var tokens []string
	for _, m := range messages {
		tokens = append(tokens, m.Role)
		tokens = append(tokens, strings.Fields(m.Content)...)
	}
	return tokens
}

// blockHashes returns the prefix hash at the end of each complete block. An incomplete last block has none.
func blockHashes(tokens []string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for i, t := range tokens {
		// Writes to an xxhash digest never fail.
		_, _ = digest.WriteString(t)
		_, _ = digest.WriteString(" ")
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
