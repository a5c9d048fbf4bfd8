package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// slot is this entry's state of one slot.
type slot struct {
	id core.SlotID
	// assignment is the newest assignment known; its version is zero if none is.
	assignment core.SlotAssignment
	// revision is the store's revision of the assignment with version
	// revisionVersion.
	revision        int64
	revisionVersion uint64
	// promisedEpoch is the highest epoch seen; writes of a lower one are rejected.
	promisedEpoch core.Epoch
	snapshot      snapshot
	// ownerState is set while this entry owns the slot.
	ownerState *ownerState
	proposal   *proposal
	// ownerMissingSince is when the slot's owner was first found dead or
	// suspected; zero while it is neither.
	ownerMissingSince core.Instant
	ownerChangedAt    core.Instant
	offeredAt         core.Instant
	lastExpiryAt      core.Instant
	// stateLostAt is when this entry became the owner, if the slot has ever
	// lost state.
	stateLostAt core.Instant
	requests    map[core.RequestID]*request
	dirty       bool
	// cachedOrder is the last result of order; cachedOrderOf points to the first
	// element of the slice that it was computed from.
	cachedOrder   []candidate
	cachedOrderOf *candidate
}

// snapshot is this entry's copy of a slot's replicated state. Programs that were
// sent are never changed in place: editProgram replaces them with copies.
type snapshot struct {
	valid         bool
	epoch         core.Epoch
	index         uint64
	completeSince uint64
	programs      map[core.ProgramID]*core.Program
	escrows       map[core.Account]core.Escrow
	nextAttempt   uint64
	// clockSkew is this entry's clock minus the owner's at the last write.
	clockSkew core.Duration
}

func emptySnapshot() snapshot {
	return snapshot{
		valid:    true,
		programs: map[core.ProgramID]*core.Program{},
		escrows:  map[core.Account]core.Escrow{},
	}
}

// message returns the snapshot as a message for slot id.
func (sn *snapshot) message(id core.SlotID) *core.SlotSnapshot {
	s := &core.SlotSnapshot{
		Slot:          id,
		Epoch:         sn.epoch,
		Index:         sn.index,
		CompleteSince: sn.completeSince,
		NextAttempt:   sn.nextAttempt,
	}
	for _, p := range slices.Sorted(maps.Keys(sn.programs)) {
		s.Programs = append(s.Programs, sn.programs[p])
	}
	for _, a := range slices.Sorted(maps.Keys(sn.escrows)) {
		s.Escrows = append(s.Escrows, sn.escrows[a])
	}
	return s
}

// replace replaces the snapshot with a received one.
func (sn *snapshot) replace(s *core.SlotSnapshot) {
	*sn = emptySnapshot()
	sn.epoch = s.Epoch
	sn.index = s.Index
	sn.completeSince = s.CompleteSince
	sn.nextAttempt = s.NextAttempt
	for _, p := range s.Programs {
		sn.programs[p.ID] = p
	}
	for _, x := range s.Escrows {
		sn.escrows[x.Account] = x
	}
}

// apply applies the next write to the snapshot.
func (sn *snapshot) apply(w core.ReplicaWrite) {
	sn.index = w.Index
	sn.nextAttempt = w.NextAttempt
	for _, p := range w.Programs {
		sn.programs[p.ID] = p
	}
	for _, p := range w.Removed {
		delete(sn.programs, p)
	}
	for _, x := range w.Escrows {
		sn.escrows[x.Account] = x
	}
}

// adjustClock shifts the instants of all records from the previous owner's clock
// to this entry's.
func (sn *snapshot) adjustClock() {
	if sn.clockSkew == 0 {
		return
	}
	for id, p := range sn.programs {
		q := p.Clone()
		q.Started = q.Started.Add(sn.clockSkew)
		q.LastActive = q.LastActive.Add(sn.clockSkew)
		for i := range q.Calls {
			q.Calls[i].DoneAt = q.Calls[i].DoneAt.Add(sn.clockSkew)
		}
		sn.programs[id] = q
	}
	sn.clockSkew = 0
}

// ownerNode returns the owner's node, or zero if no assignment is known.
func (s *slot) ownerNode() core.Node { return s.assignment.Owner.Node }

// editProgram returns a copy of a program's record that may be changed until the
// end of the step, creating the record if needed.
func (s *slot) editProgram(id core.ProgramID) *core.Program {
	p := s.snapshot.programs[id]
	if s.ownerState.changedPrograms[id] && p != nil {
		return p
	}
	if p == nil {
		p = &core.Program{ID: id, NextSeq: 1}
	} else {
		p = p.Clone()
	}
	s.snapshot.programs[id] = p
	s.ownerState.changedPrograms[id] = true
	delete(s.ownerState.removedPrograms, id)
	return p
}

// removeProgram removes a program's record; the next write removes it at the
// replicas.
func (s *slot) removeProgram(id core.ProgramID) {
	delete(s.snapshot.programs, id)
	delete(s.ownerState.changedPrograms, id)
	s.ownerState.removedPrograms[id] = true
}

// setEscrow replaces the escrow of an account.
func (s *slot) setEscrow(x core.Escrow) {
	s.snapshot.escrows[x.Account] = x
	s.ownerState.changedEscrows[x.Account] = true
}

// sortedRequests returns the requests accepted by this entry for the slot, in
// order of arrival.
func (s *slot) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(s.requests), func(a, b *request) int {
		return cmp.Compare(a.id.N, b.id.N)
	})
}

// createSlots creates the slots once their number is known and schedules reading
// their assignments from the store.
func (e *Entry) createSlots(count uint32) {
	count = orDefault(count, uint32(defaultSlots))
	e.slots = make([]*slot, count)
	for i := range e.slots {
		e.slots[i] = &slot{id: core.SlotID(i), requests: map[core.RequestID]*request{}}
	}
	e.store.rangeDue = true
}

// slot returns the slot with an id, or nil if there is none or the slots are not
// created yet.
func (e *Entry) slot(id core.SlotID) *slot {
	if int(id) >= len(e.slots) {
		return nil
	}
	return e.slots[id]
}

// slotOf returns the slot of a program, or nil while no configuration is known.
func (e *Entry) slotOf(p core.ProgramID) *slot {
	if len(e.slots) == 0 {
		return nil
	}
	return e.slots[p.Slot(uint32(len(e.slots)))]
}

// markDirty makes sure that the slot is flushed at the end of the step.
func (e *Entry) markDirty(s *slot) {
	if s.dirty {
		return
	}
	s.dirty = true
	e.dirty = append(e.dirty, s)
}
