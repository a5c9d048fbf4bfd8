package engine

import (
	"container/list"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// maxEvictedDigests limits the evicted digests that are recorded to count
// recomputed tokens.
const maxEvictedDigests = 1 << 16

// cachedBlock is one cached block of a conversation.
type cachedBlock struct {
	block  core.Block
	parent *cachedBlock
	// children counts the cached blocks whose parent this is.
	children int
	// refs counts the running sequences that use the block.
	refs int
	// idleSince is when refs fell to zero.
	idleSince core.Instant
	depth     int
	// lruElement is the block's element in the LRU list while refs is zero.
	lruElement *list.Element
}

// prefixCache stores conversation blocks and evicts the least recently used one
// first. unpin moves a block to the front of the list after its children, so the
// block at the end of the list is never the parent of another cached block.
type prefixCache struct {
	blocks map[uint64]*cachedBlock
	// lru holds the blocks without refs, most recently used first.
	lru *list.List
	// tokens is the size of all blocks in tokens, and idleTokens the size of the
	// blocks without refs.
	tokens     uint64
	idleTokens uint64
	waste      *Waste
	// evicted holds recently evicted digests. evictedOrder is a ring buffer of
	// them, whose oldest element is at oldestEvicted once it is full.
	evicted       map[uint64]struct{}
	evictedOrder  []uint64
	oldestEvicted int
}

// newPrefixCache returns an empty cache, which updates the counters in waste.
func newPrefixCache(waste *Waste) *prefixCache {
	return &prefixCache{
		blocks:  make(map[uint64]*cachedBlock),
		lru:     list.New(),
		waste:   waste,
		evicted: make(map[uint64]struct{}),
	}
}

// lastBlock returns the last block, or nil.
func lastBlock(blocks []*cachedBlock) *cachedBlock {
	if len(blocks) == 0 {
		return nil
	}
	return blocks[len(blocks)-1]
}

// lookup returns the cached block with a digest, or nil.
func (c *prefixCache) lookup(digest uint64) *cachedBlock { return c.blocks[digest] }

// match returns the longest cached prefix of a conversation and its length in
// tokens.
func (c *prefixCache) match(blocks []core.Block) ([]*cachedBlock, uint64) {
	var found []*cachedBlock
	var tokens uint64
	for _, b := range blocks {
		e := c.blocks[b.Digest]
		if e == nil {
			break
		}
		found = append(found, e)
		tokens += uint64(e.block.Tokens)
	}
	return found, tokens
}

// protect prevents the eviction of blocks without counting a use.
func (c *prefixCache) protect(blocks []*cachedBlock) {
	for _, e := range blocks {
		if e.refs == 0 {
			c.idleTokens -= uint64(e.block.Tokens)
		}
		e.refs++
	}
}

// unprotect undoes protect.
func (c *prefixCache) unprotect(blocks []*cachedBlock) {
	for _, e := range blocks {
		e.refs--
		if e.refs == 0 {
			c.idleTokens += uint64(e.block.Tokens)
		}
	}
}

// pin marks blocks as used by one more sequence.
func (c *prefixCache) pin(blocks []*cachedBlock, now core.Instant) {
	for _, e := range blocks {
		c.ref(e, now)
	}
}

// ref marks one block as used by one more sequence.
func (c *prefixCache) ref(e *cachedBlock, now core.Instant) {
	if e.refs == 0 {
		c.waste.ReusedTokenSeconds += e.idleTokenSeconds(now)
		c.idleTokens -= uint64(e.block.Tokens)
		c.lru.Remove(e.lruElement)
		e.lruElement = nil
	}
	e.refs++
}

// unpin ends one sequence's use of blocks given in conversation order. The
// newest block is unpinned first, so that it is evicted before its parents.
func (c *prefixCache) unpin(blocks []*cachedBlock, now core.Instant) {
	for _, e := range slices.Backward(blocks) {
		e.refs--
		if e.refs > 0 {
			continue
		}
		e.idleSince = now
		e.lruElement = c.lru.PushFront(e)
		c.idleTokens += uint64(e.block.Tokens)
	}
}

// insert adds one use to a block, which it stores if it is not cached yet.
func (c *prefixCache) insert(b core.Block, parent *cachedBlock, now core.Instant) *cachedBlock {
	if e := c.blocks[b.Digest]; e != nil {
		c.ref(e, now)
		return e
	}
	e := &cachedBlock{block: b, parent: parent, refs: 1}
	if parent != nil {
		parent.children++
		e.depth = parent.depth + 1
	}
	c.blocks[b.Digest] = e
	c.tokens += uint64(b.Tokens)
	return e
}

// evict removes the least recently used blocks until need tokens are freed, and
// returns their digests.
func (c *prefixCache) evict(need uint64, now core.Instant) []uint64 {
	var evicted []uint64
	var freed uint64
	for at := c.lru.Back(); at != nil && freed < need; {
		e := at.Value.(*cachedBlock)
		at = at.Prev()
		if e.refs > 0 {
			continue
		}
		freed += uint64(e.block.Tokens)
		evicted = append(evicted, e.block.Digest)
		c.waste.EvictedTokens += uint64(e.block.Tokens)
		c.recordEvicted(e.block.Digest)
		c.remove(e, now)
	}
	return evicted
}

// release removes the requested blocks, the deepest first. It keeps blocks in
// use and parents of cached blocks. It returns the tokens freed and the digests
// removed.
func (c *prefixCache) release(digests []uint64, now core.Instant) (uint64, []uint64) {
	var requested []*cachedBlock
	for _, d := range digests {
		if e := c.blocks[d]; e != nil {
			requested = append(requested, e)
		}
	}
	slices.SortStableFunc(requested, func(a, b *cachedBlock) int { return b.depth - a.depth })
	var freed uint64
	var removed []uint64
	for _, e := range requested {
		if e.refs > 0 || e.children > 0 || c.blocks[e.block.Digest] != e {
			continue
		}
		freed += uint64(e.block.Tokens)
		removed = append(removed, e.block.Digest)
		c.remove(e, now)
	}
	return freed, removed
}

// remove removes an unused block from the cache.
func (c *prefixCache) remove(e *cachedBlock, now core.Instant) {
	c.waste.IdleTokenSeconds += e.idleTokenSeconds(now)
	c.lru.Remove(e.lruElement)
	delete(c.blocks, e.block.Digest)
	c.tokens -= uint64(e.block.Tokens)
	c.idleTokens -= uint64(e.block.Tokens)
	if e.parent != nil {
		e.parent.children--
	}
}

// idleTokenSeconds returns the block's tokens times the seconds since its last
// use.
func (e *cachedBlock) idleTokenSeconds(now core.Instant) float64 {
	return float64(e.block.Tokens) * float64(now.Sub(e.idleSince)) / float64(core.Second)
}

// recordEvicted records an evicted digest. Once maxEvictedDigests are recorded,
// it replaces the oldest one.
func (c *prefixCache) recordEvicted(digest uint64) {
	if _, known := c.evicted[digest]; known {
		return
	}
	c.evicted[digest] = struct{}{}
	if len(c.evictedOrder) < maxEvictedDigests {
		c.evictedOrder = append(c.evictedOrder, digest)
		return
	}
	delete(c.evicted, c.evictedOrder[c.oldestEvicted])
	c.evictedOrder[c.oldestEvicted] = digest
	c.oldestEvicted = (c.oldestEvicted + 1) % maxEvictedDigests
}

// countRecomputed counts the tokens of blocks that are computed again after
// their eviction.
func (c *prefixCache) countRecomputed(blocks []core.Block) {
	for _, b := range blocks {
		if _, known := c.evicted[b.Digest]; known {
			c.waste.RecomputedTokens += uint64(b.Tokens)
		}
	}
}

// listing returns all digests in ascending order.
func (c *prefixCache) listing() []uint64 { return slices.Sorted(maps.Keys(c.blocks)) }
