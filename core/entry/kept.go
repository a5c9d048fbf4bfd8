package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// historyTimeout bounds the search for a kept conversation.
const historyTimeout = 30 * core.Second

// historyArrived asks the home where a conversation is kept.
func (e *Entry) historyArrived(ev core.HistoryArrived) {
	e.arrived(&request{
		id:       ev.Req,
		program:  ev.Program,
		account:  ev.Account,
		history:  true,
		deadline: e.now.Add(historyTimeout),
	})
}

// historyFound tells the shell, unless a later home was asked since.
func (e *Entry) historyFound(m core.HistoryFound) {
	r := e.requests[m.Req]
	if r == nil || !r.history || m.Ref.Epoch.Less(r.epoch) {
		return
	}
	e.forget(r)
	e.emit(core.HistoryLocated(m))
}

// historyRequested names the acknowledged conversation of a program. A home that
// was replaced unnoticed would name an older one, so the answer waits for a write.
func (e *Entry) historyRequested(from core.Node, m core.HistoryRequest) {
	s := e.slotOf(m.Program)
	if s == nil || !e.answerable(s, from, m.Epoch) || !s.home.ready {
		return
	}
	p := s.image.programs[m.Program]
	if reason := unreadable(p, m.Account); reason != "" {
		e.decide(s, m.Req, refusal(reason, 0))
		return
	}
	found := core.HistoryFound{Req: m.Req, Ref: core.HistoryRef{
		Program: p.ID,
		Account: p.Account,
		Slot:    s.id,
		Epoch:   s.home.epoch,
		Digest:  p.HistoryDigest,
		Blocks:  p.HistoryBlocks,
		Copies:  e.currentCopies(p),
	}}
	e.durable(s, func() { e.send(from, found) })
}

// unreadable returns why an account cannot have a program's conversation, or "".
// A program without a record may be older than the memory of its home.
func unreadable(p *core.Program, account core.Account) core.Reason {
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

// currentCopies returns the sidecars that keep the whole acknowledged
// conversation. Another life of such a VM may have read it from its disk.
func (e *Entry) currentCopies(p *core.Program) []core.Node {
	var nodes []core.Node
	for _, c := range p.HistoryCopies {
		if current(p, c) {
			nodes = append(nodes, c.Node)
		}
	}
	return nodes
}

// current reports whether a copy reaches the acknowledged state.
func current(p *core.Program, c core.HistoryCopy) bool {
	return c.Digest == p.HistoryDigest && c.Blocks == p.HistoryBlocks
}

// historyKept records a copy. The copies of older states are then released: from
// here on two sidecars keep the newest one.
func (e *Entry) historyKept(m core.HistoryStored) {
	s := e.slot(m.Slot)
	if s == nil {
		return
	}
	if s.home == nil {
		e.passKept(s, m)
		return
	}
	if !s.home.ready || s.home.epoch.Less(m.Epoch) {
		return
	}
	p := s.image.programs[m.Program]
	if p == nil || p.Ended {
		if !e.forgetful(s) {
			e.send(m.Node, core.EndProgram{Slot: s.id, Epoch: s.home.epoch, Program: m.Program})
		}
		return
	}
	kept := core.HistoryCopy{Node: m.Node, Digest: m.Digest, Blocks: m.Blocks}
	if !current(p, kept) {
		keptEarly(s, p, kept)
		return
	}
	e.recordCopy(s, s.edit(p.ID), kept)
}

func (e *Entry) recordCopy(s *slot, p *core.Program, kept core.HistoryCopy) {
	old := addCopy(p, kept)
	e.mark(s)
	e.durable(s, func() { e.dropCopies(s, p.ID, old) })
}

// keptEarly remembers a copy of a newer state than is known: the sidecar that took
// it and the one that answers the call are different senders.
func keptEarly(s *slot, p *core.Program, kept core.HistoryCopy) {
	if kept.Blocks <= p.HistoryBlocks {
		return
	}
	for _, c := range s.home.attempts {
		if c.program == p.ID && len(c.early) < maxCopies {
			c.early = append(c.early, kept)
		}
	}
}

// passKept passes word of a copy on to the slot's home: the sidecar knows the
// home of the last call, which may have changed since.
func (e *Entry) passKept(s *slot, m core.HistoryStored) {
	home := s.homeNode()
	if m.Forwarded || home.IsZero() || home == e.self {
		return
	}
	m.Forwarded = true
	e.send(home, m)
}

// addCopy adds a current copy to a record and takes the outdated ones out.
func addCopy(p *core.Program, kept core.HistoryCopy) (outdated []core.HistoryCopy) {
	copies := []core.HistoryCopy{}
	for _, c := range p.HistoryCopies {
		switch {
		case c.Node.VM == kept.Node.VM:
		case current(p, c):
			copies = append(copies, c)
		default:
			outdated = append(outdated, c)
		}
	}
	// A node that has drained is the oldest.
	p.HistoryCopies = append(copies[max(0, len(copies)-maxCopies+1):], kept)
	return outdated
}

func (e *Entry) dropCopies(s *slot, program core.ProgramID, copies []core.HistoryCopy) {
	if s.home == nil {
		return
	}
	for _, c := range copies {
		e.send(c.Node, core.HistoryDrop{Slot: s.id, Epoch: s.home.epoch, Program: program, Digest: c.Digest})
	}
}

// maxCopies bounds the copies that a record names, old ones included.
const maxCopies = 4

// servedBy puts the sidecar that has served the last call before the copies of
// older states.
func servedBy(p *core.Program, node core.Node) {
	copies := []core.HistoryCopy{{Node: node, Digest: p.HistoryDigest, Blocks: p.HistoryBlocks}}
	for _, c := range p.HistoryCopies {
		if c.Node.VM != node.VM && len(copies) < maxCopies {
			copies = append(copies, c)
		}
	}
	p.HistoryCopies = copies
}

// holders returns the sidecars that hold engine memory or conversations of a
// tree.
func holders(s *slot, top core.ProgramID) []core.Node {
	root := s.image.programs[top.Root()]
	if root == nil {
		return nil
	}
	nodes := slices.Clone(root.ServedBy)
	for _, id := range tree(s, top) {
		for _, c := range s.image.programs[id].HistoryCopies {
			if !slices.Contains(nodes, c.Node) {
				nodes = append(nodes, c.Node)
			}
		}
	}
	return nodes
}
