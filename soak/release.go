package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// noteEngine notes which life executes a model call.
func (o *observer) noteEngine(n *sim.Node, c *core.Call) {
	root := o.program(c.Program.Root())
	for other := range root.engines {
		root.branched = root.branched || other.VM == n.ID().VM && other != n.ID()
	}
	root.engines[n.ID()] = true
	root.branched = root.branched || c.ResetHistory || o.call(c).executions > 1
}

// told checks, soon after a sidecar was told the end of a program, that the
// engine has dropped the memory that the sidecar knows of.
func (o *observer) told(n *sim.Node, end core.EndProgram) {
	life := n.ID()
	p := o.program(end.Program)
	if !p.engines[life] || end.Epoch.Version < o.slotVersion(end.Slot) {
		return
	}
	o.h.sim.After(promptGrace, func() {
		if p.branched || n.ID() != life || !n.Running() || n.Paused() || o.busy(n, end.Program) {
			return
		}
		held := o.held(n, p)
		o.rec.Check(invariant.CacheReleased, held == 0, "%s holds %d blocks of %s, the end of which it was told",
			life, held, end.Program)
	})
}

// busy reports whether an attempt of a tree is at a target.
func (o *observer) busy(n *sim.Node, root core.ProgramID) bool {
	for _, id := range o.running[n.ID().VM] {
		if id.Root() == root {
			return true
		}
	}
	return false
}

// released checks that no engine holds memory of an ended program.
func (o *observer) released(root core.ProgramID) {
	p := o.program(root)
	for _, n := range o.h.sim.Nodes() {
		if !p.engines[n.ID()] || !n.Running() || n.Paused() {
			continue
		}
		held := o.held(n, p)
		o.rec.Check(invariant.CacheReleased, held == 0, "%s holds %d blocks of %s, which ended %d s ago",
			n.ID(), held, root, releaseGrace/core.Second)
	}
}

// held counts the blocks of a program in the cache of a sidecar's engine.
func (o *observer) held(n *sim.Node, p *programState) int {
	held := 0
	for _, d := range o.h.engines[n.ID().VM].Model().Listing() {
		if p.digests[d] {
			held++
		}
	}
	return held
}
