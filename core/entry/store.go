package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// store is the state of the operations on the key-value service.
type store struct {
	lastOp uint64
	ops    map[uint64]storeOp
	// rangeDue is set if all assignments must be read; hasRange is set once such a
	// read has succeeded.
	rangeDue      bool
	rangeInFlight bool
	hasRange      bool
	rangeAt       core.Instant
	openProposals int
	// failedAt is when an operation last failed. failed is set if the most recent
	// operation failed.
	failedAt core.Instant
	failed   bool
}

// opKind is the purpose of an operation.
type opKind uint8

const (
	opRange opKind = iota
	opAssignmentGet
	opAssignmentCompareAndSwap
	opAssignmentReadBack
	opEscrowGet
	opEscrowCompareAndSwap
	opEscrowReadBack
	// opProbe only checks that the service responds.
	opProbe
)

// storeOp is an operation whose response is awaited.
type storeOp struct {
	kind    opKind
	slot    core.SlotID
	account core.Account
	// proposal identifies the grant that the operation belongs to.
	proposal string
}

func newStore() store { return store{ops: map[uint64]storeOp{}} }

func (e *Entry) newOp(op storeOp) uint64 {
	e.store.lastOp++
	e.store.ops[e.store.lastOp] = op
	return e.store.lastOp
}

// tickStore reads all assignments at the start, and again after an outage.
func (e *Entry) tickStore() {
	st := &e.store
	if !st.rangeDue || st.rangeInFlight || st.rangeAt > 0 && e.now.Sub(st.rangeAt) < e.times.heartbeat {
		return
	}
	st.rangeInFlight = true
	st.rangeAt = e.now
	e.emit(core.StoreRange{Op: e.newOp(storeOp{kind: opRange}), Prefix: core.SlotPrefix})
}

func (e *Entry) handleStoreResult(r core.StoreResult) {
	op, ok := e.store.ops[r.Op]
	if !ok {
		return
	}
	delete(e.store.ops, r.Op)
	e.recordStoreHealth(r.Err)
	switch op.kind {
	case opRange:
		e.handleRange(r)
	case opAssignmentGet, opAssignmentCompareAndSwap, opAssignmentReadBack:
		e.assignmentResult(op, r)
	case opProbe:
		e.storeProbe.inFlight = false
	case opEscrowGet:
		e.escrowRead(op, r)
	case opEscrowCompareAndSwap:
		e.escrowSwapped(op, r)
	case opEscrowReadBack:
		e.escrowReadBack(op, r)
	}
}

// assignmentResult continues the proposal that awaits an operation; a result of
// an earlier proposal is ignored.
func (e *Entry) assignmentResult(op storeOp, r core.StoreResult) {
	s := e.slots[op.slot]
	if s.proposal == nil || s.proposal.op != r.Op {
		return
	}
	switch op.kind {
	case opAssignmentGet:
		e.assignmentRead(s, r)
	case opAssignmentCompareAndSwap:
		e.assignmentSwapped(s, r)
	case opAssignmentReadBack:
		e.assignmentReadBack(s, r)
	}
}

// recordStoreHealth records whether the service responded. After an outage all
// assignments are read again, as changes may have been missed.
func (e *Entry) recordStoreHealth(failed bool) {
	st := &e.store
	if failed {
		st.failedAt = e.now
	} else if st.failed {
		st.rangeDue = true
	}
	st.failed = failed
}

func (e *Entry) handleRange(r core.StoreResult) {
	st := &e.store
	st.rangeInFlight = false
	if r.Err {
		return
	}
	st.rangeDue = false
	st.hasRange = true
	e.applyStoreChanges(r.Records)
}

// applyStoreChanges applies the assignments among changed records.
func (e *Entry) applyStoreChanges(records []core.StoreRecord) {
	for _, record := range records {
		if strings.HasPrefix(record.Key, core.SlotPrefix) {
			e.applyStoredAssignment(record)
		}
	}
}

// applyStoredAssignment applies the stored assignment of a slot and its
// revision. Records that cannot be parsed are ignored.
func (e *Entry) applyStoredAssignment(record core.StoreRecord) {
	id, err := strconv.ParseUint(strings.TrimPrefix(record.Key, core.SlotPrefix), 10, 32)
	if err != nil || len(record.Value) == 0 {
		return
	}
	var assignment core.SlotAssignment
	if json.Unmarshal(record.Value, &assignment) != nil || uint64(assignment.Slot) != id {
		return
	}
	s := e.slot(assignment.Slot)
	if s == nil {
		return
	}
	if assignment.Epoch.Version >= s.revisionVersion && record.Revision > 0 {
		s.revision = record.Revision
		s.revisionVersion = assignment.Epoch.Version
	}
	e.adopt(s, assignment)
}
