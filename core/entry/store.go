package entry

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// maxProposals bounds the owner changes under way at once, which spreads the
// load of a start or a takeover of many slots on the key-value service.
const maxProposals = 16

// store is the state of the operations on the key-value service.
type store struct {
	next uint64
	ops  map[uint64]storeOp
	// rangeDue asks for a reading of all owners; ranged says that one succeeded.
	rangeDue  bool
	rangeBusy bool
	ranged    bool
	rangeAt   core.Instant
	proposals int
	// failedAt is when the service last failed to answer.
	failedAt core.Instant
	failed   bool
}

// opKind says what an operation is for.
type opKind uint8

const (
	opRange opKind = iota
	opOwnerGet
	opOwnerSwap
	opOwnerReadBack
	opEscrowGet
	opEscrowSwap
	opEscrowReadBack
)

// storeOp is an operation whose answer is awaited.
type storeOp struct {
	kind    opKind
	slot    core.SlotID
	account core.Account
	// proposal names the grant that the operation belongs to.
	proposal string
}

// proposal is an owner change under way. Its swap may take effect although its
// answer is lost, so only a reading settles it.
type proposal struct {
	owner core.SlotOwner
	// readBack says that the swap was sent and its effect is not known.
	readBack bool
	// promise says that the epoch is promised before the swap.
	promise bool
	busy    bool
	triedAt core.Instant
}

func newStore() store { return store{ops: map[uint64]storeOp{}} }

func (e *Entry) newOp(op storeOp) uint64 {
	e.store.next++
	e.store.ops[e.store.next] = op
	return e.store.next
}

// tickStore reads all owners at the start, and again after an outage.
func (e *Entry) tickStore() {
	st := &e.store
	if !st.rangeDue || st.rangeBusy || st.rangeAt > 0 && e.now.Sub(st.rangeAt) < e.times.heartbeat {
		return
	}
	st.rangeBusy = true
	st.rangeAt = e.now
	e.emit(core.StoreRange{Op: e.newOp(storeOp{kind: opRange}), Prefix: core.SlotPrefix})
}

func (e *Entry) storeResult(r core.StoreResult) {
	op, ok := e.store.ops[r.Op]
	if !ok {
		return
	}
	delete(e.store.ops, r.Op)
	e.noteStore(r.Err)
	switch op.kind {
	case opRange:
		e.ranged(r)
	case opOwnerGet:
		e.ownerRead(e.slots[op.slot], r)
	case opOwnerSwap:
		e.ownerSwapped(e.slots[op.slot], r)
	case opOwnerReadBack:
		e.ownerReadBack(e.slots[op.slot], r)
	case opEscrowGet:
		e.escrowRead(op, r)
	case opEscrowSwap:
		e.escrowSwapped(op, r)
	case opEscrowReadBack:
		e.escrowReadBack(op, r)
	}
}

// noteStore notes whether the service answers. After an outage all owners are
// read again, as changes may have been missed.
func (e *Entry) noteStore(failed bool) {
	st := &e.store
	if failed {
		st.failedAt = e.now
	} else if st.failed {
		st.rangeDue = true
	}
	st.failed = failed
}

func (e *Entry) ranged(r core.StoreResult) {
	st := &e.store
	st.rangeBusy = false
	if r.Err {
		return
	}
	st.rangeDue = false
	st.ranged = true
	e.storeWatch(r.Entries)
}

// storeWatch takes in the owners among changed keys.
func (e *Entry) storeWatch(entries []core.StoreEntry) {
	for _, en := range entries {
		if strings.HasPrefix(en.Key, core.SlotPrefix) {
			e.ownerEntry(en)
		}
	}
}

// ownerEntry takes in the stored owner of a slot.
func (e *Entry) ownerEntry(en core.StoreEntry) {
	id, err := strconv.ParseUint(strings.TrimPrefix(en.Key, core.SlotPrefix), 10, 32)
	if err != nil || len(en.Value) == 0 {
		return
	}
	var o core.SlotOwner
	if json.Unmarshal(en.Value, &o) != nil || uint64(o.Slot) != id {
		return
	}
	s := e.slot(o.Slot)
	if s == nil {
		return
	}
	if o.Epoch.Version >= s.revisionOf && en.Revision > 0 {
		s.revision = en.Revision
		s.revisionOf = o.Epoch.Version
	}
	e.adopt(s, o)
}

// propose starts a change of a slot's owner. It reads the entry first unless
// its revision is known.
func (e *Entry) propose(s *slot, o core.SlotOwner) {
	e.startProposal(s, &proposal{owner: o})
}

func (e *Entry) startProposal(s *slot, p *proposal) {
	if s.proposal != nil || e.store.proposals >= maxProposals {
		return
	}
	if e.store.failed && e.now.Sub(e.store.failedAt) < e.times.heartbeat {
		return
	}
	e.store.next++
	p.owner.Proposal = fmt.Sprintf("%s/%d", e.self, e.store.next)
	s.proposal = p
	e.store.proposals++
	if s.revisionOf+1 == p.owner.Epoch.Version && !p.promise {
		e.swapOwner(s)
		return
	}
	e.readOwner(s, opOwnerGet)
}

func (e *Entry) endProposal(s *slot) {
	s.proposal = nil
	e.store.proposals--
}

func (e *Entry) readOwner(s *slot, kind opKind) {
	s.proposal.busy = true
	s.proposal.triedAt = e.now
	e.emit(core.StoreGet{Op: e.newOp(storeOp{kind: kind, slot: s.id}), Key: core.SlotKey(s.id)})
}

// swapOwner writes the proposed owner. A proposer that is not the home promises
// the new epoch first: from then on it acknowledges nothing of an older one.
func (e *Entry) swapOwner(s *slot) {
	p := s.proposal
	if p.promise && s.promised.Less(p.owner.Epoch) {
		s.promised = p.owner.Epoch
	}
	value, err := json.Marshal(p.owner)
	if err != nil {
		e.endProposal(s)
		return
	}
	p.busy = true
	p.readBack = true
	p.triedAt = e.now
	e.emit(core.StoreSwap{
		Op:       e.newOp(storeOp{kind: opOwnerSwap, slot: s.id}),
		Key:      core.SlotKey(s.id),
		Revision: s.revision,
		Value:    value,
	})
}

// ownerRead continues a proposal that needed the entry's revision.
func (e *Entry) ownerRead(s *slot, r core.StoreResult) {
	if r.Err {
		e.endProposal(s)
		return
	}
	e.storeWatch(r.Entries)
	next := s.proposal.owner.Epoch.Version
	if s.owner.Epoch.Version >= next || s.revisionOf+1 != next {
		e.endProposal(s)
		return
	}
	e.swapOwner(s)
}

// ownerSwapped ends a proposal whose swap succeeded and reads the entry back in
// all other cases.
func (e *Entry) ownerSwapped(s *slot, r core.StoreResult) {
	s.proposal.busy = false
	if r.Err || !r.Swapped {
		e.readOwner(s, opOwnerReadBack)
		return
	}
	o := s.proposal.owner
	e.endProposal(s)
	e.storeWatch(r.Entries)
	e.adopt(s, o)
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

// tickProposal repeats a reading back that failed.
func (e *Entry) tickProposal(s *slot) {
	p := s.proposal
	if p.readBack && !p.busy && e.now.Sub(p.triedAt) >= e.times.heartbeat {
		e.readOwner(s, opOwnerReadBack)
	}
}
