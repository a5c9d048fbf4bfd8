package sidecar

import (
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// onEndProgram ends a program and its sub-agents: waiting attempts are refused, running
// model calls aborted, and cache pins and stored conversations released.
func (s *Sidecar) onEndProgram(msg core.EndProgram) {
	if !s.fences.advance(msg.Slot, msg.Epoch) {
		return
	}
	s.emit(core.ReleaseHistory{Slot: msg.Slot, Epoch: msg.Epoch, Program: msg.Program})
	s.cache.endedPrograms[msg.Program] = s.now
	inTree := func(id core.ProgramID) bool { return isWithin(id, msg.Program) }
	s.refuseAllWaiting(core.ReasonProgramEnded, func(a *attempt) bool { return inTree(a.call.Program) })
	for _, a := range s.queue.running {
		if inTree(a.call.Program) && a.call.Kind == core.CallModel {
			s.abort(a, core.ReasonProgramEnded)
		}
	}
	for _, p := range slices.Clone(s.cache.trees[msg.Program.Root()]) {
		if inTree(p.program) && p.running == 0 {
			s.release(p)
		}
	}
	s.checkReleased(msg.Program)
}

// onHistoryDrop releases a stored conversation that newer copies replace.
func (s *Sidecar) onHistoryDrop(msg core.HistoryDrop) {
	if !s.fences.advance(msg.Slot, msg.Epoch) {
		return
	}
	s.emit(core.ReleaseHistory(msg))
}

// isWithin reports whether id is p or a descendant of p.
func isWithin(id, p core.ProgramID) bool {
	return id == p || strings.HasPrefix(string(id), string(p)+"/")
}

// checkReleased checks that an ended program has blocks in the cache only while one of
// its attempts is running at the target.
func (s *Sidecar) checkReleased(program core.ProgramID) {
	for _, p := range s.cache.trees[program.Root()] {
		idle := p.running == 0 && isWithin(p.program, program)
		s.check(invariant.CacheReleased, !idle, "program %s has ended and still holds %d blocks", p.program, len(p.blocks))
	}
	s.check(invariant.CacheReleased, true, "")
}

// release removes a program's pin and requests that the target evict the blocks
// that no other program has pinned.
func (s *Sidecar) release(p *pin) {
	c := &s.cache
	var digests []uint64
	for _, b := range p.blocks {
		if p.unpinned && c.blockUses[b.Digest].pins > 0 {
			continue
		}
		if !p.unpinned && !c.unpinBlock(b) {
			continue
		}
		digests = append(digests, b.Digest)
		c.releasing[b.Digest] = p.program
		delete(c.cachedBlocks, b.Digest)
	}
	c.removePin(p)
	if len(digests) > 0 {
		s.emit(core.ReleaseCache{Program: p.program, Digests: digests})
	}
}

func (c *cache) removePin(p *pin) {
	delete(c.pins, p.program)
	root := p.program.Root()
	tree := slices.DeleteFunc(c.trees[root], func(q *pin) bool { return q == p })
	if len(tree) == 0 {
		delete(c.trees, root)
		return
	}
	c.trees[root] = tree
}

// expiryPeriod is the time between two checks for expired pins.
const expiryPeriod = core.Second

// expirePins unpins the blocks of programs that are idle beyond the pin time of the
// retention policy, and releases those of programs that are idle longer than their
// kind allows.
func (s *Sidecar) expirePins() {
	c := &s.cache
	if s.now.Sub(c.pinsCheckedAt) < expiryPeriod {
		return
	}
	c.pinsCheckedAt = s.now
	for _, id := range slices.Sorted(maps.Keys(c.pins)) {
		p := c.pins[id]
		if p.running > 0 {
			continue
		}
		idle := s.now.Sub(p.idleSince)
		if idle > s.settings.maxIdle(p.kind) {
			s.settings.retain.Observe(p.kind, idle, false)
			s.release(p)
			continue
		}
		if idle > s.settings.retain.PinTime(p.kind) {
			c.unpin(p)
		}
	}
	for id, at := range c.endedPrograms {
		if s.now.Sub(at) > s.settings.retention {
			delete(c.endedPrograms, id)
		}
	}
}
