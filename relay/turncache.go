package relay

import (
	"container/list"
	"sync"
)

// turnCache is an LRU cache of the stored turns that this entry has answered. A
// caller's connections mostly go to the same entry, so the next turn of a
// conversation seldom needs the ledger to read its chain of turns. Turns are
// immutable, so cached turns never become stale. It is safe for concurrent use.
type turnCache struct {
	mu    sync.Mutex
	limit int
	bytes int
	lru   *list.List
	turns map[string]*list.Element
}

// cachedTurn holds a turn's own input and output, without the turns before it.
type cachedTurn struct {
	id, previous  string
	input, output []byte
}

func (t *cachedTurn) size() int { return len(t.input) + len(t.output) + cachedTurnOverhead }

// cachedTurnOverhead is the memory that a cached turn needs in addition to its text, in
// bytes.
const cachedTurnOverhead = 256

func newTurnCache(limit int) *turnCache {
	return &turnCache{limit: limit, lru: list.New(), turns: make(map[string]*list.Element)}
}

// put adds a turn that is stored in the ledger.
func (c *turnCache) put(t *cachedTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.turns[t.id]; known || t.size() > c.limit {
		return
	}
	c.turns[t.id] = c.lru.PushFront(t)
	c.bytes += t.size()
	for c.bytes > c.limit {
		oldest := c.lru.Remove(c.lru.Back()).(*cachedTurn)
		delete(c.turns, oldest.id)
		c.bytes -= oldest.size()
	}
}

// chain returns the text of a turn and all turns before it, with room bytes of spare
// capacity, or false if one of the turns is not in the cache.
func (c *turnCache) chain(id string, room int) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var turns []*cachedTurn
	size := 0
	for id != "" {
		e, ok := c.turns[id]
		if !ok {
			return nil, false
		}
		t := e.Value.(*cachedTurn)
		turns = append(turns, t)
		size += len(t.input) + len(t.output)
		id = t.previous
	}
	text := make([]byte, 0, size+room)
	for i := len(turns) - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.turns[turns[i].id])
		text = append(append(text, turns[i].input...), turns[i].output...)
	}
	return text, true
}
