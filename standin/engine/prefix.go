package engine

import (
	"container/list"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// maxEvictedDigests bounds the memory of digests that left the cache.
const maxEvictedDigests = 1 << 16

// entry is one cached block of a conversation.
type entry struct {
	block  core.Block
	parent *entry
	// children counts the cached blocks that build on this one.
	children int
	// refs counts the running sequences that use the block.
	refs int
	// idleSince is when refs fell to zero.
	idleSince core.Instant
	depth     int
	// place is the entry's element in the LRU list while refs is zero.
	place *list.Element
}

// prefixCache keeps conversation blocks. The least recently used block is the
// one to go; a block is always used after those that build on it are, so the
// block at the end of the list is never the parent of another cached one.
type prefixCache struct {
	entries map[uint64]*entry
	// unused holds the entries without refs, most recently used first.
	unused *list.List
	// tokens is the size of all entries, idle of those without refs.
	tokens uint64
	idle   uint64
	waste  *Waste
	// evicted remembers digests that left, the oldest forgotten first.
	evicted map[uint64]struct{}
	order   []uint64
	oldest  int
}

// newPrefixCache returns an empty cache that accounts its waste.
func newPrefixCache(waste *Waste) *prefixCache {
	return &prefixCache{
		entries: make(map[uint64]*entry),
		unused:  list.New(),
		waste:   waste,
		evicted: make(map[uint64]struct{}),
	}
}

// lastEntry returns the last entry, or nil.
func lastEntry(entries []*entry) *entry {
	if len(entries) == 0 {
		return nil
	}
	return entries[len(entries)-1]
}

// lookup returns the entry of a digest, or nil.
func (c *prefixCache) lookup(digest uint64) *entry { return c.entries[digest] }

// match returns the entries of the longest cached prefix and their tokens.
func (c *prefixCache) match(blocks []core.Block) ([]*entry, uint64) {
	var found []*entry
	var tokens uint64
	for _, b := range blocks {
		e := c.entries[b.Digest]
		if e == nil {
			break
		}
		found = append(found, e)
		tokens += uint64(e.block.Tokens)
	}
	return found, tokens
}

// hold keeps entries from eviction without counting a use.
func (c *prefixCache) hold(entries []*entry) {
	for _, e := range entries {
		if e.refs == 0 {
			c.idle -= uint64(e.block.Tokens)
		}
		e.refs++
	}
}

// unhold undoes hold.
func (c *prefixCache) unhold(entries []*entry) {
	for _, e := range entries {
		e.refs--
		if e.refs == 0 {
			c.idle += uint64(e.block.Tokens)
		}
	}
}

// pin marks entries as used by one more sequence.
func (c *prefixCache) pin(entries []*entry, now core.Instant) {
	for _, e := range entries {
		c.ref(e, now)
	}
}

// ref marks one entry as used by one more sequence.
func (c *prefixCache) ref(e *entry, now core.Instant) {
	if e.refs == 0 {
		c.waste.ReusedTokenSeconds += e.idleTokenSeconds(now)
		c.idle -= uint64(e.block.Tokens)
		c.unused.Remove(e.place)
		e.place = nil
	}
	e.refs++
}

// unpin ends one sequence's use of entries given in conversation order. The
// newest block is released first, so that it is evicted before its parents.
func (c *prefixCache) unpin(entries []*entry, now core.Instant) {
	for _, e := range slices.Backward(entries) {
		e.refs--
		if e.refs > 0 {
			continue
		}
		e.idleSince = now
		e.place = c.unused.PushFront(e)
		c.idle += uint64(e.block.Tokens)
	}
}

// insert returns the entry of a block with one more use, and stores the block
// if it is not cached.
func (c *prefixCache) insert(b core.Block, parent *entry, now core.Instant) *entry {
	if e := c.entries[b.Digest]; e != nil {
		c.ref(e, now)
		return e
	}
	e := &entry{block: b, parent: parent, refs: 1}
	if parent != nil {
		parent.children++
		e.depth = parent.depth + 1
	}
	c.entries[b.Digest] = e
	c.tokens += uint64(b.Tokens)
	return e
}

// evict removes the least recently used blocks until need tokens are freed.
func (c *prefixCache) evict(need uint64, now core.Instant) []uint64 {
	var gone []uint64
	var freed uint64
	for at := c.unused.Back(); at != nil && freed < need; {
		e := at.Value.(*entry)
		at = at.Prev()
		if e.refs > 0 {
			continue
		}
		freed += uint64(e.block.Tokens)
		gone = append(gone, e.block.Digest)
		c.waste.EvictedTokens += uint64(e.block.Tokens)
		c.remember(e.block.Digest)
		c.remove(e, now)
	}
	return gone
}

// release removes the named blocks, the deepest first, and returns the tokens
// freed and the digests that went.
func (c *prefixCache) release(digests []uint64, now core.Instant) (uint64, []uint64) {
	var named []*entry
	for _, d := range digests {
		if e := c.entries[d]; e != nil {
			named = append(named, e)
		}
	}
	slices.SortStableFunc(named, func(a, b *entry) int { return b.depth - a.depth })
	var freed uint64
	var gone []uint64
	for _, e := range named {
		if e.refs > 0 || e.children > 0 || c.entries[e.block.Digest] != e {
			continue
		}
		freed += uint64(e.block.Tokens)
		gone = append(gone, e.block.Digest)
		c.remove(e, now)
	}
	return freed, gone
}

// remove takes an unused entry out of the cache.
func (c *prefixCache) remove(e *entry, now core.Instant) {
	c.waste.IdleTokenSeconds += e.idleTokenSeconds(now)
	c.unused.Remove(e.place)
	delete(c.entries, e.block.Digest)
	c.tokens -= uint64(e.block.Tokens)
	c.idle -= uint64(e.block.Tokens)
	if e.parent != nil {
		e.parent.children--
	}
}

// idleTokenSeconds returns the entry's memory times the time without use.
func (e *entry) idleTokenSeconds(now core.Instant) float64 {
	return float64(e.block.Tokens) * float64(now.Sub(e.idleSince)) / float64(core.Second)
}

// remember notes a digest that was evicted.
func (c *prefixCache) remember(digest uint64) {
	if _, known := c.evicted[digest]; known {
		return
	}
	c.evicted[digest] = struct{}{}
	if len(c.order) < maxEvictedDigests {
		c.order = append(c.order, digest)
		return
	}
	delete(c.evicted, c.order[c.oldest])
	c.order[c.oldest] = digest
	c.oldest = (c.oldest + 1) % maxEvictedDigests
}

// countRecomputed accounts blocks that are computed again after eviction.
func (c *prefixCache) countRecomputed(blocks []core.Block) {
	for _, b := range blocks {
		if _, known := c.evicted[b.Digest]; known {
			c.waste.RecomputedTokens += uint64(b.Tokens)
		}
	}
}

// listing returns all digests in ascending order.
func (c *prefixCache) listing() []uint64 { return slices.Sorted(maps.Keys(c.entries)) }
