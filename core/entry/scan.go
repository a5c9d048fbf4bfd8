package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// slotsPerTick is the number of slots of other entries that a tick checks. A
// deployment with no more slots than this checks all of them in every tick.
const slotsPerTick = 256

// slotScan selects the slots that a tick checks.
type slotScan struct {
	limit int
	// ownSlots holds the slots that every tick checks. It must be rebuilt if
	// stale is set.
	ownSlots []*slot
	stale    bool
	// next is the slot at which the scan of the other slots continues.
	next int
}

// involves reports whether the entry on a VM is a member of the slot or is
// changing its assignment.
func (s *slot) involves(self core.VM) bool {
	if s.ownerState != nil || s.proposal != nil || s.assignment.Owner.Node.VM == self {
		return true
	}
	return slices.ContainsFunc(s.assignment.Replicas, func(m core.Member) bool { return m.Node.VM == self })
}

// slotsDue returns the slots that this tick checks: all that involve this entry,
// and the next slotsPerTick of the others.
func (e *Entry) slotsDue() []*slot {
	sc := &e.scan
	if len(e.slots) <= sc.limit {
		return e.slots
	}
	if sc.stale {
		sc.stale = false
		sc.ownSlots = sc.ownSlots[:0]
		for _, s := range e.slots {
			if s.involves(e.self.VM) {
				sc.ownSlots = append(sc.ownSlots, s)
			}
		}
	}
	due := slices.Clone(sc.ownSlots)
	for range sc.limit {
		s := e.slots[sc.next]
		sc.next = (sc.next + 1) % len(e.slots)
		if !s.involves(e.self.VM) {
			due = append(due, s)
		}
	}
	return due
}
