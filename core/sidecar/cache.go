package sidecar

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retain"
)

// pin is what a program holds of the target's cache.
type pin struct {
	program core.ProgramID
	kind    string
	// blocks is the conversation at the target, oldest first.
	blocks []core.Block
	// running is the number of the program's attempts at the target.
	running int
	// idleSince is the end of the program's last attempt.
	idleSince core.Instant
	// lapsed means that the pause lasts longer than the retention allows: the
	// blocks do not count as held any more.
	lapsed bool
	// lastSeq is the highest position that was started; lastTicket is the last
	// non-idempotent attempt that was sent, at ticketSeq.
	lastSeq    uint64
	ticketSeq  uint64
	lastTicket core.AttemptID
}

// held is the use of one block by pins.
type held struct {
	pins   int
	tokens uint32
}

// cache holds the pins and the sidecar's view of the target's cache.
type cache struct {
	pins map[core.ProgramID]*pin
	// trees lists the pins of each root in order of arrival.
	trees map[core.ProgramID][]*pin
	// ends holds the ended programs, so that a late dispatch pins nothing.
	ends     map[core.ProgramID]core.Instant
	holds    map[uint64]held
	pinned   uint64
	present  map[uint64]struct{}
	sequence uint64
	// releasing holds blocks that the target was told to drop and may still have.
	releasing map[uint64]core.ProgramID
	// orphans holds listed blocks of no known program, by first sight.
	orphans map[uint64]core.Instant
	// listed and expired are the instants of the last listing and expiry.
	listed  core.Instant
	expired core.Instant
}

func newCache() cache {
	return cache{
		pins:      map[core.ProgramID]*pin{},
		trees:     map[core.ProgramID][]*pin{},
		ends:      map[core.ProgramID]core.Instant{},
		holds:     map[uint64]held{},
		present:   map[uint64]struct{}{},
		releasing: map[uint64]core.ProgramID{},
		orphans:   map[uint64]core.Instant{},
	}
}

// ended reports whether the program or one above it has ended.
func (c *cache) ended(p core.ProgramID) bool {
	for ; p != ""; p = p.Parent() {
		if _, ok := c.ends[p]; ok {
			return true
		}
	}
	return false
}

// resident reports whether the program holds cache at the target.
func (c *cache) resident(p core.ProgramID) bool {
	pin := c.pins[p]
	return pin != nil && !pin.lapsed && len(pin.blocks) > 0
}

// uncached returns the tokens of a conversation after its longest prefix that
// the target has cached.
func (c *cache) uncached(blocks []core.Block) uint64 {
	var sum uint64
	miss := false
	for _, b := range blocks {
		if _, ok := c.present[b.Digest]; !ok {
			miss = true
		}
		if miss {
			sum += uint64(b.Tokens)
		}
	}
	return sum
}

// returned tells the retention policy how long a pause lasted.
func (c *cache) returned(policy retain.Policy, call *core.Call, now core.Instant) {
	pin := c.pins[call.Program]
	if pin != nil && pin.running == 0 && call.Kind == core.CallModel {
		policy.Observe(call.ProgramKind, now.Sub(pin.idleSince), true)
	}
}

// begin pins the conversation of an attempt that starts.
func (c *cache) begin(s *Sidecar, a *attempt) {
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

// checkSequence asserts the order of a program's calls and that no second
// attempt of a non-idempotent call is sent.
func (s *Sidecar) checkSequence(p *pin, a *attempt) {
	seq := a.call.Seq
	s.check(invariant.CallOrder, seq >= p.lastSeq, "program %s: call %d started after %d", p.program, seq, p.lastSeq)
	p.lastSeq = max(p.lastSeq, seq)
	if !a.call.NonIdempotent {
		return
	}
	again := p.ticketSeq == seq && !p.lastTicket.IsZero() && s.mayHaveRun(p.lastTicket)
	s.check(invariant.AtMostOnce, !again, "program %s: call %d sent as %s and as %s", p.program, seq, p.lastTicket, a.id)
	p.ticketSeq = seq
	p.lastTicket = a.id
}

func (s *Sidecar) mayHaveRun(id core.AttemptID) bool {
	a := s.table.attempts[id]
	return a == nil || a.state != core.AttemptRefused
}

// finish pins the answer behind the conversation and starts the pause.
func (c *cache) finish(s *Sidecar, a *attempt) {
	p := c.pins[a.call.Program]
	if p == nil {
		return
	}
	if a.call.Kind == core.CallModel {
		answer := core.Block{Digest: a.digest, Tokens: a.usage.OutputTokens}
		blocks := append(slices.Clone(a.call.Blocks), answer)
		c.repin(p, blocks)
		for _, b := range blocks {
			c.present[b.Digest] = struct{}{}
		}
	}
	c.rest(s, p)
}

// fail ends an attempt without an answer.
func (c *cache) fail(s *Sidecar, a *attempt) {
	if p := c.pins[a.call.Program]; p != nil {
		c.rest(s, p)
	}
}

// rest begins the pause of a program, or its release if it has ended.
func (c *cache) rest(s *Sidecar, p *pin) {
	p.running--
	p.idleSince = s.now
	if p.running == 0 && c.ended(p.program) {
		s.release(p)
		return
	}
	if p.running == 0 && s.settings.retain.Hold(p.kind) == 0 {
		c.lapse(p)
	}
}

// repin replaces the blocks that a program holds.
func (c *cache) repin(p *pin, blocks []core.Block) {
	old := p.blocks
	if p.lapsed {
		old = nil
	}
	p.lapsed = false
	p.blocks = blocks
	for _, b := range blocks {
		c.hold(b)
	}
	for _, b := range old {
		c.unhold(b)
	}
}

func (c *cache) hold(b core.Block) {
	h := c.holds[b.Digest]
	if h.pins == 0 {
		h.tokens = b.Tokens
		c.pinned += uint64(b.Tokens)
	}
	h.pins++
	c.holds[b.Digest] = h
	delete(c.releasing, b.Digest)
	delete(c.orphans, b.Digest)
}

// unhold ends one use of a block and reports whether it was the last.
func (c *cache) unhold(b core.Block) bool {
	h := c.holds[b.Digest]
	h.pins--
	if h.pins > 0 {
		c.holds[b.Digest] = h
		return false
	}
	delete(c.holds, b.Digest)
	c.pinned -= uint64(h.tokens)
	return true
}

// lapse gives up a program's claim to its blocks without dropping them.
func (c *cache) lapse(p *pin) {
	if p.lapsed {
		return
	}
	p.lapsed = true
	for _, b := range p.blocks {
		c.unhold(b)
	}
}
