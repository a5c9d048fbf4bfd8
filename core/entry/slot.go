package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// slot is all that this entry knows of one slot.
type slot struct {
	id core.SlotID
	// owner is the newest owner known; its version is zero if none is.
	owner core.SlotAssignment
	// revision is the store's revision of the entry with revisionOf as version.
	revision   int64
	revisionOf uint64
	// promised is the highest epoch seen; writes of a lower one are refused.
	promised core.Epoch
	image    image
	// home is set while this entry is the slot's home.
	home     *home
	proposal *proposal
	// ownerless is when the slot's home was first seen missing or silent.
	ownerless core.Instant
	changedAt core.Instant
	offeredAt core.Instant
	expiredAt core.Instant
	// forgotAt is when this entry took the slot over without its memory.
	forgotAt core.Instant
	requests map[core.RequestID]*request
	dirty    bool
	// orderKept is the rendezvous order of the candidates that begin at orderOf.
	orderKept []candidate
	orderOf   *candidate
}

// image is this entry's copy of a slot. The programs in it are never changed in
// place once they were sent: edit replaces them.
type image struct {
	valid       bool
	epoch       core.Epoch
	index       uint64
	remembers   uint64
	programs    map[core.ProgramID]*core.Program
	escrows     map[core.Account]core.Escrow
	nextAttempt uint64
	// skew is this entry's time less the home's at the last write.
	skew core.Duration
}

func emptyImage() image {
	return image{
		valid:    true,
		programs: map[core.ProgramID]*core.Program{},
		escrows:  map[core.Account]core.Escrow{},
	}
}

// snapshot returns the image as a message for slot id.
func (im *image) snapshot(id core.SlotID) *core.SlotSnapshot {
	s := &core.SlotSnapshot{
		Slot:          id,
		Epoch:         im.epoch,
		Index:         im.index,
		CompleteSince: im.remembers,
		NextAttempt:   im.nextAttempt,
	}
	for _, p := range slices.Sorted(maps.Keys(im.programs)) {
		s.Programs = append(s.Programs, im.programs[p])
	}
	for _, a := range slices.Sorted(maps.Keys(im.escrows)) {
		s.Escrows = append(s.Escrows, im.escrows[a])
	}
	return s
}

// load replaces the image by a snapshot.
func (im *image) load(s *core.SlotSnapshot) {
	*im = emptyImage()
	im.epoch = s.Epoch
	im.index = s.Index
	im.remembers = s.CompleteSince
	im.nextAttempt = s.NextAttempt
	for _, p := range s.Programs {
		im.programs[p.ID] = p
	}
	for _, x := range s.Escrows {
		im.escrows[x.Account] = x
	}
}

// apply adds the next write to the image.
func (im *image) apply(w core.ReplicaWrite) {
	im.index = w.Index
	im.nextAttempt = w.NextAttempt
	for _, p := range w.Programs {
		im.programs[p.ID] = p
	}
	for _, p := range w.Removed {
		delete(im.programs, p)
	}
	for _, x := range w.Escrows {
		im.escrows[x.Account] = x
	}
}

// rebase shifts the instants of all records to this entry's clock.
func (im *image) rebase() {
	if im.skew == 0 {
		return
	}
	for id, p := range im.programs {
		q := p.Clone()
		q.Started = q.Started.Add(im.skew)
		q.LastActive = q.LastActive.Add(im.skew)
		for i := range q.Calls {
			q.Calls[i].DoneAt = q.Calls[i].DoneAt.Add(im.skew)
		}
		im.programs[id] = q
	}
	im.skew = 0
}

// homeNode returns the home's life, or zero if no owner is known.
func (s *slot) homeNode() core.Node { return s.owner.Owner.Node }

// edit returns a copy of a program's record that may be changed until the end
// of the step, creating the record if needed.
func (s *slot) edit(id core.ProgramID) *core.Program {
	p := s.image.programs[id]
	if s.home.changed[id] && p != nil {
		return p
	}
	if p == nil {
		p = &core.Program{ID: id, NextSeq: 1}
	} else {
		p = p.Clone()
	}
	s.image.programs[id] = p
	s.home.changed[id] = true
	delete(s.home.removed, id)
	return p
}

// remove forgets a program.
func (s *slot) remove(id core.ProgramID) {
	delete(s.image.programs, id)
	delete(s.home.changed, id)
	s.home.removed[id] = true
}

// setEscrow replaces an escrow.
func (s *slot) setEscrow(x core.Escrow) {
	s.image.escrows[x.Account] = x
	s.home.escrows[x.Account] = true
}

// sortedRequests returns the edge's requests of the slot in order of arrival.
func (s *slot) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(s.requests), func(a, b *request) int {
		return cmp.Compare(a.id.N, b.id.N)
	})
}

// createSlots makes the slots once their number is known and asks the store for
// their owners.
func (e *Entry) createSlots(count uint32) {
	count = orDefault(count, uint32(defaultSlots))
	e.slots = make([]*slot, count)
	for i := range e.slots {
		e.slots[i] = &slot{id: core.SlotID(i), requests: map[core.RequestID]*request{}}
	}
	e.store.rangeDue = true
}

// slot returns the slot with an id, or nil while it is not known.
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

// mark makes sure that the slot is flushed at the end of the step.
func (e *Entry) mark(s *slot) {
	if s.dirty {
		return
	}
	s.dirty = true
	e.dirty = append(e.dirty, s)
}
