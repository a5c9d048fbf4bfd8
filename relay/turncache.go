package relay

import (
	"container/list"
	"sync"
)

// turnCache keeps the latest kept turns that this entry has answered. A caller's
// connections mostly go to the same entry, so the next turn of a conversation
// seldom needs the ledger for its chain. Turns never change, so an entry of the
// cache is never out of date. It is safe for concurrent use.
type turnCache struct {
	mu    sync.Mutex
	limit int
	bytes int
	order *list.List
	turns map[string]*list.Element
}

// cachedTurn is one turn's own text.
type cachedTurn struct {
	id, previous  string
	input, output []byte
}

func (t *cachedTurn) size() int { return len(t.input) + len(t.output) + cachedTurnOverhead }

// cachedTurnOverhead is what a turn takes beside its text, in bytes.
const cachedTurnOverhead = 256

func newTurnCache(limit int) *turnCache {
	return &turnCache{limit: limit, order: list.New(), turns: make(map[string]*list.Element)}
}

// put keeps a turn that is stored in the ledger.
func (c *turnCache) put(t *cachedTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.turns[t.id]; known || t.size() > c.limit {
		return
	}
	c.turns[t.id] = c.order.PushFront(t)
	c.bytes += t.size()
	for c.bytes > c.limit {
		oldest := c.order.Remove(c.order.Back()).(*cachedTurn)
		delete(c.turns, oldest.id)
		c.bytes -= oldest.size()
	}
}

// chain returns the text of a turn and all before it, with room for more bytes, or
// false if one of them is not in the cache.
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
		c.order.MoveToFront(c.turns[turns[i].id])
		text = append(append(text, turns[i].input...), turns[i].output...)
	}
	return text, true
}
