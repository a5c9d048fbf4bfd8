package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// fences holds the highest epoch seen of each slot.
type fences struct {
	highest map[core.SlotID]core.Epoch
}

func newFences() fences { return fences{highest: map[core.SlotID]core.Epoch{}} }

// pass raises the fence of a slot to an epoch and reports whether the epoch is
// not below it.
func (f *fences) pass(slot core.SlotID, epoch core.Epoch) bool {
	high, ok := f.highest[slot]
	if ok && epoch.Less(high) {
		return false
	}
	f.highest[slot] = epoch
	return true
}

// onDispatch accepts an attempt, or answers with the state that it has.
func (s *Sidecar) onDispatch(from core.Node, d core.Dispatch) {
	if d.Target != s.opts.Self {
		s.disown(from, d.Slot, d.Attempt)
		return
	}
	current := s.fences.pass(d.Slot, d.Epoch)
	if a := s.table.attempts[d.Attempt]; a != nil {
		s.answer(from, a, current)
		return
	}
	if s.table.wasForgotten(d.Attempt) {
		s.send(from, s.forgottenResult(d.Slot, d.Attempt))
		return
	}
	a := s.newAttempt(from, d)
	if !current {
		s.refuse(a, core.ReasonStaleEpoch, 0)
		return
	}
	if reason, retryAfter := s.objection(a); reason != "" {
		s.refuse(a, reason, retryAfter)
		return
	}
	s.enqueue(a)
}

// onQuery answers with the state of an attempt. An unknown one is refused for
// ever, so that the answer stays true when its dispatch arrives late.
func (s *Sidecar) onQuery(from core.Node, q core.QueryAttempt) {
	if q.Target != s.opts.Self {
		s.disown(from, q.Slot, q.Attempt)
		return
	}
	current := s.fences.pass(q.Slot, q.Epoch)
	if a := s.table.attempts[q.Attempt]; a != nil {
		s.answer(from, a, current)
		return
	}
	if s.table.wasForgotten(q.Attempt) {
		s.send(from, s.forgottenResult(q.Slot, q.Attempt))
		return
	}
	s.tombstone(from, q.Slot, q.Attempt, core.ReasonRefusedBefore)
}

// onCancel stops an attempt where it is.
func (s *Sidecar) onCancel(from core.Node, c core.CancelAttempt) {
	if !s.fences.pass(c.Slot, c.Epoch) {
		return
	}
	a := s.table.attempts[c.Attempt]
	switch {
	case a == nil && s.table.wasForgotten(c.Attempt):
		s.send(from, s.forgottenResult(c.Slot, c.Attempt))
	case a == nil:
		s.tombstone(from, c.Slot, c.Attempt, core.ReasonCanceled)
	case a.state == core.AttemptWaiting:
		a.home = from
		s.withdraw(a, core.ReasonCanceled)
	case a.state == core.AttemptRunning:
		a.home = from
		s.abort(a, core.ReasonCanceled)
	default:
		s.answer(from, a, true)
	}
}

// answer reports an attempt to an entry, which becomes its home if its epoch is
// current.
func (s *Sidecar) answer(from core.Node, a *attempt, current bool) {
	if current {
		a.home = from
	}
	s.sendResult(from, a)
}

// disown answers for an attempt that is bound to another life of this VM. That
// life may have run it, so the outcome is unknown here.
func (s *Sidecar) disown(to core.Node, slot core.SlotID, id core.AttemptID) {
	r := s.forgottenResult(slot, id)
	r.Reason = core.ReasonTargetRestarted
	s.send(to, r)
}

func (s *Sidecar) forgottenResult(slot core.SlotID, id core.AttemptID) core.Result {
	return core.Result{
		Attempt: id,
		State:   core.AttemptLost,
		Reason:  core.ReasonMemoryLost,
		Epoch:   s.fences.highest[slot],
		Load:    s.load(),
	}
}

// tombstone refuses an attempt that never arrived.
func (s *Sidecar) tombstone(from core.Node, slot core.SlotID, id core.AttemptID, reason core.Reason) {
	a := &attempt{id: id, slot: slot, home: from, arrived: s.now}
	s.table.attempts[id] = a
	s.refuse(a, reason, 0)
}

// refuse makes an attempt final that the target has not executed.
func (s *Sidecar) refuse(a *attempt, reason core.Reason, retryAfter core.Duration) {
	s.check(invariant.NotRun, !a.sent, "attempt %s refused as %s after it was sent", a.id, reason)
	a.retryAfter = retryAfter
	s.emit(core.Decision{
		Step: "refuse", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
		Target: s.opts.Self, Slot: a.slot, Reason: reason, Wait: s.now.Sub(a.arrived),
	})
	s.finish(a, core.AttemptRefused, reason)
}
