package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// historyLookupTimeout bounds the lookup of a stored conversation.
const historyLookupTimeout = 30 * core.Second

// historyArrived requests the location of a program's conversation from its
// owner.
func (e *Entry) historyArrived(ev core.HistoryArrived) {
	e.startRequest(&request{
		id:       ev.Req,
		program:  ev.Program,
		account:  ev.Account,
		history:  true,
		deadline: e.now.Add(historyLookupTimeout),
	})
}

// handleHistoryFound passes the location of a conversation to the runtime,
// unless the request was forwarded to a later owner in the meantime.
func (e *Entry) handleHistoryFound(m core.HistoryFound) {
	r := e.requests[m.Req]
	if r == nil || !r.history || m.Ref.Epoch.Less(r.sentEpoch) {
		return
	}
	e.removeRequest(r)
	e.emit(core.HistoryLocated(m))
}

// handleHistoryRequest responds with the digest and the copies of a program's
// acknowledged conversation. An owner that was replaced without noticing would
// respond with an older state, so the response waits for a replicated write.
func (e *Entry) handleHistoryRequest(from core.Node, m core.HistoryRequest) {
	s := e.slotOf(m.Program)
	if s == nil || !e.checkOwner(s, from, m.Epoch) || !s.ownerState.ready {
		return
	}
	p := s.snapshot.programs[m.Program]
	if reason := historyRefusal(p, m.Account); reason != "" {
		e.sendResultAfterReplication(s, m.Req, refusal(reason, 0))
		return
	}
	found := core.HistoryFound{Req: m.Req, Ref: core.HistoryRef{
		Program: p.ID,
		Account: p.Account,
		Slot:    s.id,
		Epoch:   s.ownerState.epoch,
		Digest:  p.HistoryDigest,
		Blocks:  p.HistoryBlocks,
		Copies:  e.currentCopies(p),
	}}
	e.afterReplication(s, func() { e.send(from, found) })
}

// historyRefusal returns why an account cannot read a program's conversation,
// or "". The conversation of a program without a record counts as lost, since
// the program may be older than the slot's state.
func historyRefusal(p *core.Program, account core.Account) core.Reason {
	switch {
	case p == nil:
		return core.ReasonHistoryLost
	case p.Account != account:
		return core.ReasonUnauthorized
	case p.Ended:
		return core.ReasonProgramEnded
	case p.HistoryBlocks == 0:
		return core.ReasonHistoryLost
	}
	return ""
}

// currentCopies returns the sidecars that store the complete acknowledged
// conversation. After a restart of such a sidecar, its new incarnation may have
// read the conversation from its disk.
func (e *Entry) currentCopies(p *core.Program) []core.Node {
	var nodes []core.Node
	for _, c := range p.HistoryCopies {
		if isCurrentCopy(p, c) {
			nodes = append(nodes, c.Node)
		}
	}
	return nodes
}

// isCurrentCopy reports whether a copy contains the acknowledged conversation.
func isCurrentCopy(p *core.Program, c core.HistoryCopy) bool {
	return c.Digest == p.HistoryDigest && c.Blocks == p.HistoryBlocks
}

// handleHistoryStored records that a further sidecar stores the acknowledged
// state of a program's conversation. Copies of older states are then dropped,
// because two sidecars store the acknowledged state now.
func (e *Entry) handleHistoryStored(m core.HistoryStored) {
	s := e.slot(m.Slot)
	if s == nil {
		return
	}
	if s.ownerState == nil {
		e.forwardHistoryStored(s, m)
		return
	}
	if !s.ownerState.ready || s.ownerState.epoch.Less(m.Epoch) {
		return
	}
	p := s.snapshot.programs[m.Program]
	if p == nil || p.Ended {
		if !e.mayLackPrograms(s) {
			e.send(m.Node, core.EndProgram{Slot: s.id, Epoch: s.ownerState.epoch, Program: m.Program})
		}
		return
	}
	stored := core.HistoryCopy{Node: m.Node, Digest: m.Digest, Blocks: m.Blocks}
	if !isCurrentCopy(p, stored) {
		bufferCopy(s, p, stored)
		return
	}
	e.recordCopy(s, s.editProgram(p.ID), stored)
}

func (e *Entry) recordCopy(s *slot, p *core.Program, stored core.HistoryCopy) {
	old := addCopy(p, stored)
	e.markDirty(s)
	e.afterReplication(s, func() { e.dropCopies(s, p.ID, old) })
}

// bufferCopy buffers a copy of a state that is newer than the acknowledged one
// until the call is answered. The sidecar that stored the copy is not the one
// that answers the call, so its report may arrive before the answer.
func bufferCopy(s *slot, p *core.Program, stored core.HistoryCopy) {
	if stored.Blocks <= p.HistoryBlocks {
		return
	}
	for _, c := range s.ownerState.attempts {
		if c.program == p.ID && len(c.pendingCopies) < maxCopies {
			c.pendingCopies = append(c.pendingCopies, stored)
		}
	}
}

// forwardHistoryStored forwards the report of a copy to the slot's current
// owner, at most once. The sidecar sends it to the entry that owned the slot at
// the last call.
func (e *Entry) forwardHistoryStored(s *slot, m core.HistoryStored) {
	owner := s.ownerNode()
	if m.Forwarded || owner.IsZero() || owner == e.self {
		return
	}
	m.Forwarded = true
	e.send(owner, m)
}

// addCopy adds a current copy to a record, and removes and returns the outdated
// ones.
func addCopy(p *core.Program, stored core.HistoryCopy) (outdated []core.HistoryCopy) {
	copies := []core.HistoryCopy{}
	for _, c := range p.HistoryCopies {
		switch {
		case c.Node.VM == stored.Node.VM:
		case isCurrentCopy(p, c):
			copies = append(copies, c)
		default:
			outdated = append(outdated, c)
		}
	}
	// If there are too many, the oldest copies are removed. They may be at
	// drained nodes.
	p.HistoryCopies = append(copies[max(0, len(copies)-maxCopies+1):], stored)
	return outdated
}

func (e *Entry) dropCopies(s *slot, program core.ProgramID, copies []core.HistoryCopy) {
	if s.ownerState == nil {
		return
	}
	for _, c := range copies {
		e.send(c.Node, core.HistoryDrop{Slot: s.id, Epoch: s.ownerState.epoch, Program: program, Digest: c.Digest})
	}
}

// maxCopies bounds the copies that a program's record lists, including outdated
// ones.
const maxCopies = 4

// recordServerCopy lists the copy at the sidecar that served the last call
// first, followed by the copies of older states.
func recordServerCopy(p *core.Program, node core.Node) {
	copies := []core.HistoryCopy{{Node: node, Digest: p.HistoryDigest, Blocks: p.HistoryBlocks}}
	for _, c := range p.HistoryCopies {
		if c.Node.VM != node.VM && len(copies) < maxCopies {
			copies = append(copies, c)
		}
	}
	p.HistoryCopies = copies
}

// stateHolders returns the sidecars that hold engine memory or conversations of
// a program tree.
func stateHolders(s *slot, top core.ProgramID) []core.Node {
	root := s.snapshot.programs[top.Root()]
	if root == nil {
		return nil
	}
	nodes := slices.Clone(root.ServedBy)
	for _, id := range tree(s, top) {
		for _, c := range s.snapshot.programs[id].HistoryCopies {
			if !slices.Contains(nodes, c.Node) {
				nodes = append(nodes, c.Node)
			}
		}
	}
	return nodes
}
