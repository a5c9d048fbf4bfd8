package entry

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// fenceTimeout bounds the time for which an owner without the slot's state waits
// for sidecars that it cannot reach.
const fenceTimeout = 5 * core.Second

// fencing is the state of an owner that took a slot over without its state. The
// dispatch records of earlier owners are lost, so their attempts cannot be
// queried one by one: every sidecar has to reject them before the owner serves.
type fencing struct {
	// unconfirmed holds the sidecars that have not confirmed the new epoch.
	unconfirmed map[core.VM]bool
	startedAt   core.Instant
	sentAt      core.Instant
	// writeReplicated is set once the owner's first write is replicated.
	writeReplicated bool
}

// startFencing makes the sidecars reject the dispatches of earlier owners.
func (e *Entry) startFencing(s *slot) {
	f := &fencing{unconfirmed: map[core.VM]bool{}, startedAt: e.now}
	for _, t := range e.targets.list {
		f.unconfirmed[t.node.VM] = true
	}
	s.ownerState.fencing = f
	if s.ownerState.ready {
		f.writeReplicated = true
		s.ownerState.ready = false
	}
	e.sendFences(s)
}

// tickFencing resends fences that may have been lost, and ends the wait when
// every sidecar has confirmed or fenceTimeout has passed.
func (e *Entry) tickFencing(s *slot) {
	f := s.ownerState.fencing
	if f == nil {
		return
	}
	if e.now.Sub(f.sentAt) >= e.times.heartbeat {
		e.sendFences(s)
	}
	if len(f.unconfirmed) > 0 && e.now.Sub(f.startedAt) < fenceTimeout {
		return
	}
	s.ownerState.fencing = nil
	if f.writeReplicated {
		e.startServing(s)
	}
}

// sendFences sends each unconfirmed sidecar a query for an attempt of the new
// epoch, which raises the slot's fence there. The attempt has number zero,
// which is never dispatched. A sidecar whose current incarnation is not known
// yet gets the query after its first report.
func (e *Entry) sendFences(s *slot) {
	f := s.ownerState.fencing
	f.sentAt = e.now
	for _, vm := range slices.Sorted(maps.Keys(f.unconfirmed)) {
		t := e.targets.byVM[vm]
		if t == nil {
			delete(f.unconfirmed, vm)
			continue
		}
		if t.reports == 0 {
			continue
		}
		e.send(t.node, core.QueryAttempt{
			Slot: s.id, Epoch: s.ownerState.epoch, Target: t.node,
			Attempt: core.AttemptID{Slot: s.id, Epoch: s.ownerState.epoch},
		})
	}
}

// confirmFence records that a sidecar has confirmed the new epoch.
func (e *Entry) confirmFence(s *slot, from core.Node) {
	if f := s.ownerState.fencing; f != nil {
		delete(f.unconfirmed, from.VM)
	}
}
