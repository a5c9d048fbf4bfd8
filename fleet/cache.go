package fleet

import "container/list"

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// cacheModel guesses which parts of prompts a model engine keeps, from the
// prompts that were sent to it: the least recently used parts yield when its
// memory is full.
type cacheModel struct {
	capacity int
	used     int
	order    *list.List
	parts    map[string]*list.Element
}

func newCacheModel(capacity int) *cacheModel {
	return &cacheModel{capacity: capacity, order: list.New(), parts: make(map[string]*list.Element)}
}

// kept returns how many of a prompt's tokens the engine need not read: those of
// the parts that are kept together with all parts before them. A session's part
// grows with each turn; an engine that served an earlier turn keeps what it was then.
func (c *cacheModel) kept(prompt []Part) int {
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

// read records that the engine reads a prompt.
func (c *cacheModel) read(prompt []Part) {
	for _, p := range prompt {
		if e, ok := c.parts[p.ID]; ok {
			c.order.MoveToFront(e)
			c.used += p.Tokens - e.Value.(Part).Tokens
			e.Value = p
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.parts, oldest.Value.(Part).ID)
		c.used -= oldest.Value.(Part).Tokens
	}
}
