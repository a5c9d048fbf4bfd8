package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// slotsPerTick is the number of slots of other entries that a tick looks at. A
// deployment with no more slots than this looks at all of them in every tick.
const slotsPerTick = 256

// walk chooses the slots that a tick looks at.
type walk struct {
	limit int
	// own holds the slots that every tick looks at, unless stale.
	own   []*slot
	stale bool
	// next is where the walk over the other slots goes on.
	next int
}

// busy reports whether this entry takes part in a slot's ownership.
func (s *slot) busy(self core.VM) bool {
	if s.home != nil || s.proposal != nil || s.owner.Owner.Node.VM == self {
		return true
	}
	return slices.ContainsFunc(s.owner.Replicas, func(m core.Member) bool { return m.Node.VM == self })
}

// slotsDue returns the slots that this tick looks at: all of its own, and the
// others in turn.
func (e *Entry) slotsDue() []*slot {
	w := &e.walk
	if len(e.slots) <= w.limit {
		return e.slots
	}
	if w.stale {
		w.stale = false
		w.own = w.own[:0]
		for _, s := range e.slots {
			if s.busy(e.self.VM) {
				w.own = append(w.own, s)
			}
		}
	}
	due := slices.Clone(w.own)
	for range w.limit {
		s := e.slots[w.next]
		w.next = (w.next + 1) % len(e.slots)
		if !s.busy(e.self.VM) {
			due = append(due, s)
		}
	}
	return due
}
