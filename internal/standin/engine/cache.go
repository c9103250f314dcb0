package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 16

// prefixCache is an LRU of prompt blocks; the hash of a block covers everything before it.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	// changed is told of each block that is stored or evicted.
	changed func(kind EventKind, block uint64)
}

func newPrefixCache(limit int, changed func(EventKind, uint64)) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}, changed: changed}
}

// match returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(blocks)
}

// store adds the blocks, evicting the least recently used ones.
func (c *prefixCache) store(blocks []uint64) {
	for _, b := range blocks {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.changed(EventStored, b)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		block, _ := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.changed(EventEvicted, block)
	}
}

// tokenise splits a prompt into tokens, here its words.
func tokenise(messages []Message) []string {
	var tokens []string
	for _, m := range messages {
		tokens = append(tokens, m.Role)
		tokens = append(tokens, strings.Fields(m.Content)...)
	}
	return tokens
}

// blockHashes returns the chained hashes of the prompt's whole blocks.
func blockHashes(tokens []string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for i, t := range tokens {
		// Writing to an xxhash digest cannot fail.
		_, _ = digest.WriteString(t)
		_, _ = digest.WriteString(" ")
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
