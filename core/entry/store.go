package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

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
	// opProbe asks whether the service answers.
	opProbe
)

// storeOp is an operation whose answer is awaited.
type storeOp struct {
	kind    opKind
	slot    core.SlotID
	account core.Account
	// proposal names the grant that the operation belongs to.
	proposal string
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
	case opOwnerGet, opOwnerSwap, opOwnerReadBack:
		e.ownerResult(op, r)
	case opProbe:
		e.probe.busy = false
	case opEscrowGet:
		e.escrowRead(op, r)
	case opEscrowSwap:
		e.escrowSwapped(op, r)
	case opEscrowReadBack:
		e.escrowReadBack(op, r)
	}
}

// ownerResult continues the proposal that awaits an operation.
func (e *Entry) ownerResult(op storeOp, r core.StoreResult) {
	s := e.slots[op.slot]
	if s.proposal == nil || s.proposal.op != r.Op {
		return
	}
	switch op.kind {
	case opOwnerGet:
		e.ownerRead(s, r)
	case opOwnerSwap:
		e.ownerSwapped(s, r)
	case opOwnerReadBack:
		e.ownerReadBack(s, r)
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
	var o core.SlotAssignment
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
