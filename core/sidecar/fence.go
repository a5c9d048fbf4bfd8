package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// fences maps each slot to the highest epoch seen for it. Requests with a lower epoch
// come from a former owner.
type fences struct {
	highest map[core.SlotID]core.Epoch
}

func newFences() fences { return fences{highest: map[core.SlotID]core.Epoch{}} }

// advance raises the fence of a slot to an epoch. It reports false if the epoch is
// below the fence.
func (f *fences) advance(slot core.SlotID, epoch core.Epoch) bool {
	high, ok := f.highest[slot]
	if ok && epoch.Less(high) {
		return false
	}
	f.highest[slot] = epoch
	return true
}

// onDispatch accepts or refuses a new attempt. For a known attempt it reports the
// current state, so that a duplicate dispatch starts nothing.
func (s *Sidecar) onDispatch(from core.Node, d core.Dispatch) {
	if d.Target != s.opts.Self {
		s.reportTargetRestarted(from, d.Slot, d.Attempt)
		return
	}
	isCurrent := s.fences.advance(d.Slot, d.Epoch)
	if a := s.table.attempts[d.Attempt]; a != nil {
		s.reportState(from, a, isCurrent)
		return
	}
	if s.table.wasEvicted(d.Attempt) {
		s.send(from, s.memoryLostResult(d.Slot, d.Attempt))
		return
	}
	a := s.addAttempt(from, d)
	if !isCurrent {
		s.refuse(a, core.ReasonStaleEpoch, 0)
		return
	}
	if reason, retryAfter := s.rejectionReason(a); reason != "" {
		s.refuse(a, reason, retryAfter)
		return
	}
	s.enqueue(a)
}

// onQueryAttempt reports the state of an attempt. It refuses an unknown attempt
// permanently, so that the report stays true if the dispatch arrives late.
func (s *Sidecar) onQueryAttempt(from core.Node, q core.QueryAttempt) {
	if q.Target != s.opts.Self {
		s.reportTargetRestarted(from, q.Slot, q.Attempt)
		return
	}
	isCurrent := s.fences.advance(q.Slot, q.Epoch)
	if a := s.table.attempts[q.Attempt]; a != nil {
		s.reportState(from, a, isCurrent)
		return
	}
	if s.table.wasEvicted(q.Attempt) {
		s.send(from, s.memoryLostResult(q.Slot, q.Attempt))
		return
	}
	s.addTombstone(from, q.Slot, q.Attempt, core.ReasonRefusedBefore)
}

// onCancelAttempt refuses a waiting attempt, aborts a running one, and records a
// tombstone for an unknown one.
func (s *Sidecar) onCancelAttempt(from core.Node, c core.CancelAttempt) {
	if !s.fences.advance(c.Slot, c.Epoch) {
		return
	}
	a := s.table.attempts[c.Attempt]
	switch {
	case a == nil && s.table.wasEvicted(c.Attempt):
		s.send(from, s.memoryLostResult(c.Slot, c.Attempt))
	case a == nil:
		s.addTombstone(from, c.Slot, c.Attempt, core.ReasonCanceled)
	case a.state == core.AttemptWaiting:
		a.owner = from
		s.refuseWaiting(a, core.ReasonCanceled)
	case a.state == core.AttemptRunning:
		a.owner = from
		s.abort(a, core.ReasonCanceled)
	default:
		s.reportState(from, a, true)
	}
}

// reportState sends the state of an attempt to an entry. The entry becomes the
// attempt's owner if its epoch is current.
func (s *Sidecar) reportState(from core.Node, a *attempt, isCurrent bool) {
	if isCurrent {
		a.owner = from
	}
	s.sendResult(from, a)
}

// reportTargetRestarted reports as lost an attempt that is bound to another incarnation
// of this process. That incarnation may have executed it, so its outcome is unknown
// here.
func (s *Sidecar) reportTargetRestarted(to core.Node, slot core.SlotID, id core.AttemptID) {
	r := s.memoryLostResult(slot, id)
	r.Reason = core.ReasonTargetRestarted
	s.send(to, r)
}

func (s *Sidecar) memoryLostResult(slot core.SlotID, id core.AttemptID) core.Result {
	return core.Result{
		Attempt: id,
		State:   core.AttemptLost,
		Reason:  core.ReasonMemoryLost,
		Epoch:   s.fences.highest[slot],
		Load:    s.load(),
	}
}

// addTombstone records the refusal of an attempt that has not arrived, so that a late
// dispatch cannot start it.
func (s *Sidecar) addTombstone(from core.Node, slot core.SlotID, id core.AttemptID, reason core.Reason) {
	a := &attempt{id: id, slot: slot, owner: from, arrived: s.now}
	s.table.attempts[id] = a
	s.refuse(a, reason, 0)
}

// refuse ends an attempt that was not sent to the target.
func (s *Sidecar) refuse(a *attempt, reason core.Reason, retryAfter core.Duration) {
	s.check(invariant.NotExecuted, !a.sent, "attempt %s refused (%s) after it was sent", a.id, reason)
	a.retryAfter = retryAfter
	s.emit(core.Decision{
		Step: "refuse", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
		Target: s.opts.Self, Slot: a.slot, Reason: reason, Wait: s.now.Sub(a.arrived),
	})
	s.finalize(a, core.AttemptRefused, reason)
}
