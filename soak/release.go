package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// recordEngine records which sidecar incarnation executes a model call of a
// root program or of one of its sub-agents.
func (o *observer) recordEngine(n *sim.Node, c *core.Call) {
	root := o.program(c.Program.Root())
	for other := range root.engines {
		root.mayHoldUnknownBlocks = root.mayHoldUnknownBlocks || other.VM == n.ID().VM && other != n.ID()
	}
	root.engines[n.ID()] = true
	root.mayHoldUnknownBlocks = root.mayHoldUnknownBlocks || c.ResetHistory || o.call(c).executions > 1
}

// checkPromptRelease schedules a check for promptReleaseGrace after a sidecar
// received the end of a program. By then the engine must have released the
// program's blocks, unless it may cache blocks that the sidecar has no record
// of.
func (o *observer) checkPromptRelease(n *sim.Node, end core.EndProgram) {
	incarnation := n.ID()
	p := o.program(end.Program)
	if !p.engines[incarnation] || end.Epoch.Version < o.slotVersion(end.Slot) {
		return
	}
	o.cluster.sim.After(promptReleaseGrace, func() {
		if p.mayHoldUnknownBlocks || n.ID() != incarnation || !n.Running() || n.Paused() || o.isExecuting(n, end.Program) {
			return
		}
		cached := o.cachedBlocks(n, p)
		o.rec.Check(invariant.CacheReleased, cached == 0, "%s caches %d blocks of %s after it received the program's end",
			incarnation, cached, end.Program)
	})
}

// isExecuting reports whether the node's target executes an attempt of the
// program or of one of its sub-agents.
func (o *observer) isExecuting(n *sim.Node, root core.ProgramID) bool {
	for _, id := range o.executing[n.ID().VM] {
		if id.Root() == root {
			return true
		}
	}
	return false
}

// checkReleased checks that no engine caches blocks of an ended program.
func (o *observer) checkReleased(root core.ProgramID) {
	p := o.program(root)
	for _, n := range o.cluster.sim.Nodes() {
		if !p.engines[n.ID()] || !n.Running() || n.Paused() {
			continue
		}
		cached := o.cachedBlocks(n, p)
		o.rec.Check(invariant.CacheReleased, cached == 0, "%s caches %d blocks of %s, which ended %d s ago",
			n.ID(), cached, root, releaseGrace/core.Second)
	}
}

// cachedBlocks counts the blocks of a program in the cache of the node's engine.
func (o *observer) cachedBlocks(n *sim.Node, p *programState) int {
	cached := 0
	for _, d := range o.cluster.engines[n.ID().VM].Model().Listing() {
		if p.digests[d] {
			cached++
		}
	}
	return cached
}
