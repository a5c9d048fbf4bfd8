package entry

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// fenceWait bounds the time for which a home without the slot's memory waits
// for sidecars that it cannot reach.
const fenceWait = 5 * core.Second

// fencing is the state of a home that took a slot over without its memory. The
// tickets of earlier homes are lost, so their attempts cannot be asked for one
// by one: every sidecar has to refuse them before the home serves.
type fencing struct {
	// waiting holds the sidecars that have not confirmed the new epoch.
	waiting map[core.VM]bool
	began   core.Instant
	toldAt  core.Instant
	// written says that the first write of the home is complete.
	written bool
}

// beginFencing makes the sidecars refuse the dispatches of earlier homes.
func (e *Entry) beginFencing(s *slot) {
	f := &fencing{waiting: map[core.VM]bool{}, began: e.now}
	for _, t := range e.targets.list {
		f.waiting[t.node.VM] = true
	}
	s.home.fencing = f
	if s.home.ready {
		f.written = true
		s.home.ready = false
	}
	e.tellFences(s)
}

// tickFencing repeats what may be lost and ends the wait when every sidecar has
// confirmed, or has had its time.
func (e *Entry) tickFencing(s *slot) {
	f := s.home.fencing
	if f == nil {
		return
	}
	if e.now.Sub(f.toldAt) >= e.times.heartbeat {
		e.tellFences(s)
	}
	if len(f.waiting) > 0 && e.now.Sub(f.began) < fenceWait {
		return
	}
	s.home.fencing = nil
	if f.written {
		e.serve(s)
	}
}

// tellFences asks for the outcome of an attempt of the new epoch: that raises
// the slot's fence. The attempt with number zero is never dispatched. A sidecar
// whose present life is not known yet is told after its first report.
func (e *Entry) tellFences(s *slot) {
	f := s.home.fencing
	f.toldAt = e.now
	for _, vm := range slices.Sorted(maps.Keys(f.waiting)) {
		t := e.targets.byVM[vm]
		if t == nil {
			delete(f.waiting, vm)
			continue
		}
		if t.reports == 0 {
			continue
		}
		e.send(t.node, core.QueryAttempt{
			Slot: s.id, Epoch: s.home.epoch, Target: t.node,
			Attempt: core.AttemptID{Slot: s.id, Epoch: s.home.epoch},
		})
	}
}

// fenceRaised notes that a sidecar has confirmed the new epoch.
func (e *Entry) fenceRaised(s *slot, from core.Node) {
	if f := s.home.fencing; f != nil {
		delete(f.waiting, from.VM)
	}
}
