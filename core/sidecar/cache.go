package sidecar

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retain"
)

// pin lists the blocks that a program needs in the target's cache. Admission counts
// their memory as used.
type pin struct {
	program core.ProgramID
	kind    string
	// blocks are the blocks of the program's conversation at the target, oldest
	// first.
	blocks []core.Block
	// running is the number of the program's attempts at the target.
	running int
	// idleSince is when the program's last attempt ended.
	idleSince core.Instant
	// unpinned means that the program has been idle longer than the retention policy
	// allows: its blocks are still listed but no longer count as pinned.
	unpinned bool
	// lastSeq is the highest number of a started call. lastNonIdempotent is the
	// last attempt of a non-idempotent call that was sent; nonIdempotentSeq is the
	// number of that call.
	lastSeq           uint64
	nonIdempotentSeq  uint64
	lastNonIdempotent core.AttemptID
}

// blockUse counts the pins that use one block.
type blockUse struct {
	pins   int
	tokens uint32
}

// cache holds the pins and the sidecar's view of the target's prefix cache. Blocks
// are identified by digest.
type cache struct {
	pins map[core.ProgramID]*pin
	// trees lists the pins of each root program in order of arrival.
	trees map[core.ProgramID][]*pin
	// endedPrograms maps each ended program to the time of its end, so that a late
	// dispatch pins nothing.
	endedPrograms map[core.ProgramID]core.Instant
	blockUses     map[uint64]blockUse
	pinnedTokens  uint64
	cachedBlocks  map[uint64]struct{}
	lastSequence  uint64
	// releasing holds the blocks whose release was requested from the target and is
	// not yet confirmed. It maps each block to the program that had pinned it.
	releasing map[uint64]core.ProgramID
	// orphans holds the listed blocks that belong to no known program. It maps each
	// block to the instant at which it was first listed.
	orphans map[uint64]core.Instant
	// listedAt and pinsCheckedAt are the instants of the last listing request and of
	// the last check for expired pins.
	listedAt      core.Instant
	pinsCheckedAt core.Instant
}

func newCache() cache {
	return cache{
		pins:          map[core.ProgramID]*pin{},
		trees:         map[core.ProgramID][]*pin{},
		endedPrograms: map[core.ProgramID]core.Instant{},
		blockUses:     map[uint64]blockUse{},
		cachedBlocks:  map[uint64]struct{}{},
		releasing:     map[uint64]core.ProgramID{},
		orphans:       map[uint64]core.Instant{},
	}
}

// hasEnded reports whether the program or one of its ancestors has ended.
func (c *cache) hasEnded(p core.ProgramID) bool {
	for ; p != ""; p = p.Parent() {
		if _, ok := c.endedPrograms[p]; ok {
			return true
		}
	}
	return false
}

// hasPinnedBlocks reports whether the program has pinned blocks at the target.
func (c *cache) hasPinnedBlocks(p core.ProgramID) bool {
	pin := c.pins[p]
	return pin != nil && !pin.unpinned && len(pin.blocks) > 0
}

// uncached returns the number of tokens of a conversation that follow its longest
// cached prefix.
func (c *cache) uncached(blocks []core.Block) uint64 {
	var sum uint64
	miss := false
	for _, b := range blocks {
		if _, ok := c.cachedBlocks[b.Digest]; !ok {
			miss = true
		}
		if miss {
			sum += uint64(b.Tokens)
		}
	}
	return sum
}

// observeIdleTime reports the idle time before a program's next call to the
// retention policy.
func (c *cache) observeIdleTime(policy retain.Policy, call *core.Call, now core.Instant) {
	pin := c.pins[call.Program]
	if pin != nil && pin.running == 0 && call.Kind == core.CallModel {
		policy.Observe(call.ProgramKind, now.Sub(pin.idleSince), true)
	}
}

// beginAttempt pins the conversation of an attempt that is started.
func (c *cache) beginAttempt(s *Sidecar, a *attempt) {
	p := c.pins[a.call.Program]
	if p == nil {
		p = &pin{program: a.call.Program, kind: a.call.ProgramKind}
		c.pins[p.program] = p
		root := p.program.Root()
		c.trees[root] = append(c.trees[root], p)
	}
	s.checkSequence(p, a)
	p.running++
	if a.call.Kind == core.CallModel {
		c.repin(p, a.call.Blocks)
	}
}

// checkSequence checks that a program's calls start in order, and that a
// non-idempotent call is not sent again if an earlier attempt may have been
// executed.
func (s *Sidecar) checkSequence(p *pin, a *attempt) {
	seq := a.call.Seq
	s.check(invariant.CallOrder, seq >= p.lastSeq, "program %s: call %d started after %d", p.program, seq, p.lastSeq)
	p.lastSeq = max(p.lastSeq, seq)
	if !a.call.NonIdempotent {
		return
	}
	repeated := p.nonIdempotentSeq == seq && !p.lastNonIdempotent.IsZero() && s.mayHaveExecuted(p.lastNonIdempotent)
	s.check(invariant.AtMostOnce, !repeated, "program %s: call %d sent as %s and as %s", p.program, seq, p.lastNonIdempotent, a.id)
	p.nonIdempotentSeq = seq
	p.lastNonIdempotent = a.id
}

func (s *Sidecar) mayHaveExecuted(id core.AttemptID) bool {
	a := s.table.attempts[id]
	return a == nil || a.state != core.AttemptRefused
}

// endWithAnswer pins the conversation extended by the answer and ends the attempt.
func (c *cache) endWithAnswer(s *Sidecar, a *attempt) {
	p := c.pins[a.call.Program]
	if p == nil {
		return
	}
	if a.call.Kind == core.CallModel {
		answer := core.Block{Digest: a.digest, Tokens: a.usage.OutputTokens}
		blocks := append(slices.Clone(a.call.Blocks), answer)
		c.repin(p, blocks)
		for _, b := range blocks {
			c.cachedBlocks[b.Digest] = struct{}{}
		}
	}
	c.endAttempt(s, p)
}

// endWithoutAnswer ends an attempt that produced no answer; its pins stay.
func (c *cache) endWithoutAnswer(s *Sidecar, a *attempt) {
	if p := c.pins[a.call.Program]; p != nil {
		c.endAttempt(s, p)
	}
}

// endAttempt records the end of an attempt. If the program has no other running
// attempt, its idle time begins, and its pins are released if the program has
// ended.
func (c *cache) endAttempt(s *Sidecar, p *pin) {
	p.running--
	p.idleSince = s.now
	if p.running == 0 && c.hasEnded(p.program) {
		s.release(p)
		return
	}
	if p.running == 0 && s.settings.retain.PinTime(p.kind) == 0 {
		c.unpin(p)
	}
}

// repin replaces the blocks that a program has pinned.
func (c *cache) repin(p *pin, blocks []core.Block) {
	old := p.blocks
	if p.unpinned {
		old = nil
	}
	p.unpinned = false
	p.blocks = blocks
	for _, b := range blocks {
		c.pinBlock(b)
	}
	for _, b := range old {
		c.unpinBlock(b)
	}
}

func (c *cache) pinBlock(b core.Block) {
	use := c.blockUses[b.Digest]
	if use.pins == 0 {
		use.tokens = b.Tokens
		c.pinnedTokens += uint64(b.Tokens)
	}
	use.pins++
	c.blockUses[b.Digest] = use
	delete(c.releasing, b.Digest)
	delete(c.orphans, b.Digest)
}

// unpinBlock removes one use of a block and reports whether it was the last.
func (c *cache) unpinBlock(b core.Block) bool {
	use := c.blockUses[b.Digest]
	use.pins--
	if use.pins > 0 {
		c.blockUses[b.Digest] = use
		return false
	}
	delete(c.blockUses, b.Digest)
	c.pinnedTokens -= uint64(use.tokens)
	return true
}

// unpin stops counting a program's blocks as pinned, without releasing them at the
// target.
func (c *cache) unpin(p *pin) {
	if p.unpinned {
		return
	}
	p.unpinned = true
	for _, b := range p.blocks {
		c.unpinBlock(b)
	}
}
