package fleet

import "container/list"

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
	parts    map[string]*list.Element
}

func newCacheModel(capacity int) *cacheModel {
	return &cacheModel{capacity: capacity, lru: list.New(), parts: make(map[string]*list.Element)}
}

// cachedTokens returns how many of a prompt's tokens the engine has cached: those of
// the longest cached prefix of parts. The part that belongs to a session grows with
// each turn. An engine that served an earlier turn has cached that part in its
// earlier, shorter form.
func (c *cacheModel) cachedTokens(prompt []Part) int {
	tokens := 0
	for _, p := range prompt {
		e, ok := c.parts[p.ID]
		if !ok {
			return tokens
		}
		known := e.Value.(Part).Tokens
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
		if e, ok := c.parts[p.ID]; ok {
			c.lru.MoveToFront(e)
			c.used += p.Tokens - e.Value.(Part).Tokens
			e.Value = p
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		delete(c.parts, oldest.Value.(Part).ID)
		c.used -= oldest.Value.(Part).Tokens
	}
}
