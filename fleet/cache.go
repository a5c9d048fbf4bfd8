package fleet

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// maxCachedParts bounds the parts that are remembered of an engine's cache. Parts of usual sizes
// fill a cache with far fewer.
const maxCachedParts = 4096

// Part is one part of a prompt. A part that grows from turn to turn keeps its
// ID.
type Part struct {
	ID     string
	Tokens int
}

// cacheModel estimates which parts of prompts a model engine has cached, from the
// prompts that were sent to it. It evicts the least recently used parts when the
// engine's cache is full.
type cacheModel struct {
	capacity int
	used     int
	lru      *list.List
	// parts is by the hash of the part's ID, whose text would keep the caller's header in memory.
	parts map[uint64]*list.Element
}

// cachedPart is the value of an element of the list.
type cachedPart struct {
	hash   uint64
	tokens int
}

func newCacheModel(capacity int) *cacheModel {
	return &cacheModel{capacity: capacity, lru: list.New(), parts: make(map[uint64]*list.Element)}
}

// cachedTokens returns how many of a prompt's tokens the engine has cached: those of
// the longest cached prefix of parts. The part that belongs to a session grows with
// each turn. An engine that served an earlier turn has cached that part in its
// earlier, shorter form.
func (c *cacheModel) cachedTokens(prompt []Part) int {
	tokens := 0
	for _, p := range prompt {
		e, ok := c.parts[xxhash.Sum64String(p.ID)]
		if !ok {
			return tokens
		}
		known := e.Value.(cachedPart).tokens
		if known < p.Tokens {
			return tokens + known
		}
		tokens += p.Tokens
	}
	return tokens
}

// recordPrompt records that the engine processes a prompt.
func (c *cacheModel) recordPrompt(prompt []Part) {
	for _, p := range prompt {
		part := cachedPart{hash: xxhash.Sum64String(p.ID), tokens: p.Tokens}
		if e, ok := c.parts[part.hash]; ok {
			c.lru.MoveToFront(e)
			c.used += part.tokens - e.Value.(cachedPart).tokens
			e.Value = part
			continue
		}
		c.parts[part.hash] = c.lru.PushFront(part)
		c.used += part.tokens
	}
	for (c.used > c.capacity || c.lru.Len() > maxCachedParts) && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		part := oldest.Value.(cachedPart)
		c.lru.Remove(oldest)
		delete(c.parts, part.hash)
		c.used -= part.tokens
	}
}
