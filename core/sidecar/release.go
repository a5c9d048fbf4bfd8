package sidecar

import (
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// onEnd releases what a program tree holds.
func (s *Sidecar) onEnd(msg core.EndProgram) {
	if !s.fences.pass(msg.Slot, msg.Epoch) {
		return
	}
	s.emit(core.ReleaseHistory{Slot: msg.Slot, Epoch: msg.Epoch, Program: msg.Program})
	s.cache.ends[msg.Program] = s.now
	inTree := func(id core.ProgramID) bool { return within(id, msg.Program) }
	s.withdrawAll(core.ReasonProgramEnded, func(a *attempt) bool { return inTree(a.call.Program) })
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

// onHistoryDrop forgets a conversation that newer copies replace.
func (s *Sidecar) onHistoryDrop(msg core.HistoryDrop) {
	if !s.fences.pass(msg.Slot, msg.Epoch) {
		return
	}
	s.emit(core.ReleaseHistory(msg))
}

// within reports whether id is p or below it.
func within(id, p core.ProgramID) bool {
	return id == p || strings.HasPrefix(string(id), string(p)+"/")
}

// checkReleased asserts that an ended program holds memory only while an
// attempt of it is still at the target.
func (s *Sidecar) checkReleased(program core.ProgramID) {
	for _, p := range s.cache.trees[program.Root()] {
		idle := p.running == 0 && within(p.program, program)
		s.check(invariant.CacheReleased, !idle, "program %s has ended and holds %d blocks", p.program, len(p.blocks))
	}
	s.check(invariant.CacheReleased, true, "")
}

// release drops a program's pin and tells the target to drop its blocks.
func (s *Sidecar) release(p *pin) {
	c := &s.cache
	var digests []uint64
	for _, b := range p.blocks {
		if p.lapsed && c.holds[b.Digest].pins > 0 {
			continue
		}
		if !p.lapsed && !c.unhold(b) {
			continue
		}
		digests = append(digests, b.Digest)
		c.releasing[b.Digest] = p.program
		delete(c.present, b.Digest)
	}
	c.drop(p)
	if len(digests) > 0 {
		s.emit(core.ReleaseCache{Program: p.program, Digests: digests})
	}
}

func (c *cache) drop(p *pin) {
	delete(c.pins, p.program)
	root := p.program.Root()
	tree := slices.DeleteFunc(c.trees[root], func(q *pin) bool { return q == p })
	if len(tree) == 0 {
		delete(c.trees, root)
		return
	}
	c.trees[root] = tree
}

// expiryPeriod is the time between two looks for pins that have expired.
const expiryPeriod = core.Second

// expirePins ends the holds of pauses that last too long, and the pins of
// programs that rest longer than their kind may.
func (s *Sidecar) expirePins() {
	c := &s.cache
	if s.now.Sub(c.expired) < expiryPeriod {
		return
	}
	c.expired = s.now
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
		if idle > s.settings.retain.Hold(p.kind) {
			c.lapse(p)
		}
	}
	for id, at := range c.ends {
		if s.now.Sub(at) > s.settings.retention {
			delete(c.ends, id)
		}
	}
}
