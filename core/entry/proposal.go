package entry

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// maxProposals bounds the owner changes under way at once, which spreads the
// load of a start or a takeover of many slots on the key-value service.
const maxProposals = 16

// readPatience is the time in heartbeats after which a reading of an owner entry
// counts as failed where a takeover needs none.
const readPatience = 2

// proposalStage is the progress of a proposal.
type proposalStage uint8

const (
	// stageRead: the entry is read first, which also shows that the service
	// answers. A promise that no swap follows would stall the slot.
	stageRead proposalStage = iota
	// stagePromise: the other members promise to refuse older epochs.
	stagePromise
	// stageSwap: the swap is sent.
	stageSwap
	// stageSettle: the swap may have taken effect; only reading tells.
	stageSettle
)

// proposal is a change of a slot's owner that is under way.
type proposal struct {
	owner core.SlotAssignment
	stage proposalStage
	// empty says that the new owner begins without the slot's memory.
	empty bool
	// op is the operation whose answer is awaited while busy.
	op      uint64
	busy    bool
	started core.Instant
	triedAt core.Instant
	// promises holds the answers of the members.
	promises map[core.Node]core.PromiseReply
}

// propose starts a change of a slot's owner unless one is under way.
func (e *Entry) propose(s *slot, o core.SlotAssignment, empty bool) {
	if s.proposal != nil || e.store.proposals >= maxProposals {
		return
	}
	if e.store.failed && e.now.Sub(e.store.failedAt) < e.times.heartbeat {
		return
	}
	e.store.next++
	o.Proposal = fmt.Sprintf("%s/%d", e.self, e.store.next)
	s.proposal = &proposal{
		owner:    o,
		stage:    stageRead,
		empty:    empty,
		started:  e.now,
		promises: map[core.Node]core.PromiseReply{},
	}
	e.store.proposals++
	e.walk.stale = true
	e.readOwner(s, opOwnerGet)
}

func (e *Entry) endProposal(s *slot) {
	s.proposal = nil
	e.walk.stale = true
	e.store.proposals--
}

func (e *Entry) readOwner(s *slot, kind opKind) {
	s.proposal.busy = true
	s.proposal.triedAt = e.now
	s.proposal.op = e.newOp(storeOp{kind: kind, slot: s.id})
	e.emit(core.StoreGet{Op: s.proposal.op, Key: core.SlotKey(s.id)})
}

// current reports whether the proposal still follows the newest owner known.
func (s *slot) current() bool {
	next := s.proposal.owner.Epoch.Version
	return s.owner.Epoch.Version+1 == next && s.revisionOf+1 == next &&
		!s.proposal.owner.Epoch.Less(s.promised)
}

// ownerRead promises the new epoch and asks the other members to do the same.
func (e *Entry) ownerRead(s *slot, r core.StoreResult) {
	p := s.proposal
	p.busy = false
	if r.Err {
		e.endProposal(s)
		return
	}
	e.storeWatch(r.Entries)
	if !s.current() {
		e.endProposal(s)
		return
	}
	s.promised = p.owner.Epoch
	p.stage = stagePromise
	e.askPromises(s)
	e.swapIfPromised(s)
}

// others returns the members of the slot's version but this entry.
func (e *Entry) others(s *slot) []core.Node {
	var nodes []core.Node
	if s.owner.Epoch.Version == 0 {
		return nil
	}
	for _, m := range s.members() {
		if m.Node != e.self {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

func (e *Entry) askPromises(s *slot) {
	s.proposal.triedAt = e.now
	for _, n := range e.others(s) {
		if s.proposal.promises[n].OK || e.members.dead(n) {
			continue
		}
		e.send(n, core.PromiseRequest{Slot: s.id, Epoch: s.proposal.owner.Epoch})
	}
}

// promiseRequest answers a member that wants to change the owner. A home that
// promises a higher epoch has no further write acknowledged, so it steps down.
func (e *Entry) promiseRequest(from core.Node, m core.PromiseRequest) {
	s := e.slot(m.Slot)
	if s == nil {
		return
	}
	reply := core.PromiseReply{Slot: m.Slot, Epoch: m.Epoch, OK: !m.Epoch.Less(s.promised)}
	if reply.OK {
		s.promised = m.Epoch
		if s.home != nil && s.home.epoch.Less(m.Epoch) && s.proposal == nil {
			e.stepDown(s, m.Epoch)
		}
	}
	reply.Promised = s.promised
	_, reply.Eligible = e.succession(s)
	e.send(from, reply)
}

// promiseReply notes a promise and swaps once there are enough.
func (e *Entry) promiseReply(from core.Node, m core.PromiseReply) {
	s := e.slot(m.Slot)
	if s == nil || s.proposal == nil {
		return
	}
	p := s.proposal
	if p.stage != stagePromise || p.owner.Epoch != m.Epoch {
		return
	}
	if !m.OK {
		e.endProposal(s)
		e.send(from, core.SlotQuery{})
		return
	}
	p.promises[from] = m
	e.swapIfPromised(s)
}

// swapIfPromised swaps the entry if at most one other member could still
// acknowledge writes of the old version: a write needs two members, so none can
// complete any more. A proposal without the memory needs to know that no member
// has it.
func (e *Entry) swapIfPromised(s *slot) {
	p := s.proposal
	allowed := 1
	if p.empty {
		allowed = 0
	}
	for _, n := range e.others(s) {
		reply, promised := p.promises[n]
		switch {
		case e.members.dead(n):
		case !promised:
			allowed--
		case p.empty && reply.Eligible:
			e.endProposal(s)
			return
		}
	}
	if allowed >= 0 {
		e.swapOwner(s)
	}
}

func (e *Entry) swapOwner(s *slot) {
	p := s.proposal
	value, err := json.Marshal(p.owner)
	if err != nil {
		e.endProposal(s)
		return
	}
	p.stage = stageSwap
	p.busy = true
	p.op = e.newOp(storeOp{kind: opOwnerSwap, slot: s.id})
	e.emit(core.StoreCompareAndSwap{
		Op:       p.op,
		Key:      core.SlotKey(s.id),
		Revision: s.revision,
		Value:    value,
	})
}

// ownerSwapped ends a proposal whose swap succeeded and reads the entry back in
// all other cases: an answer that was lost says nothing.
func (e *Entry) ownerSwapped(s *slot, r core.StoreResult) {
	p := s.proposal
	if r.Err || !r.Swapped {
		p.stage = stageSettle
		e.readOwner(s, opOwnerReadBack)
		return
	}
	e.endProposal(s)
	e.storeWatch(r.Entries)
	e.adopt(s, p.owner)
}

// ownerReadBack settles a proposal by what the entry holds now.
func (e *Entry) ownerReadBack(s *slot, r core.StoreResult) {
	s.proposal.busy = false
	if r.Err {
		return
	}
	e.endProposal(s)
	e.storeWatch(r.Entries)
}

// passStore gives a reading up that takes long, if the slot can be taken over
// without the service. Nothing was promised yet.
func (e *Entry) passStore(s *slot) {
	place, eligible := e.succession(s)
	if s.proposal.empty || s.home != nil || !eligible || !e.rankable(s, place) {
		return
	}
	e.endProposal(s)
	e.takeByRank(s, place)
}

// tickProposal repeats what was not answered.
func (e *Entry) tickProposal(s *slot) {
	p := s.proposal
	if p.stage == stageRead && e.now.Sub(p.started) >= readPatience*e.times.heartbeat {
		e.passStore(s)
		return
	}
	if p.busy || e.now.Sub(p.triedAt) < e.times.heartbeat {
		return
	}
	switch {
	case p.stage == stageSettle:
		e.readOwner(s, opOwnerReadBack)
	case !s.current(), e.now.Sub(p.started) >= e.times.suspect:
		e.endProposal(s)
	default:
		e.askPromises(s)
		e.swapIfPromised(s)
	}
}
