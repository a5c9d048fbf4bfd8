package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// handleResult handles a sidecar's report of an attempt's state. A repeated
// report changes nothing.
func (e *Entry) handleResult(from core.Node, r core.Result) {
	e.recordLoad(from, r.Load)
	s := e.slot(r.Attempt.Slot)
	if s == nil || s.ownerState == nil {
		return
	}
	if s.ownerState.epoch.Less(r.Epoch) {
		e.stepDown(s, r.Epoch)
		return
	}
	if r.Attempt.N == 0 {
		e.confirmFence(s, from)
		return
	}
	if !s.ownerState.ready {
		return
	}
	c := s.ownerState.attempts[r.Attempt]
	if c == nil {
		e.ackStaleResult(s, from, r)
		return
	}
	if c.state != stateDispatched || from != c.target {
		return
	}
	switch r.State {
	case core.AttemptWaiting, core.AttemptRunning:
		c.acknowledged = true
		c.queriedAt = e.now
	case core.AttemptDone:
		e.attemptDone(s, c, r)
	case core.AttemptRefused:
		e.attemptRefused(s, c, r)
	case core.AttemptLost:
		e.attemptLost(s, c, orDefault(r.Reason, core.ReasonTargetFailed))
	}
}

// ackStaleResult acknowledges the result of an attempt that is no longer
// awaited, once a replicated write has confirmed that this entry is still the
// owner.
func (e *Entry) ackStaleResult(s *slot, from core.Node, r core.Result) {
	if r.State < core.AttemptDone {
		return
	}
	e.afterReplication(s, func() { e.send(from, core.AckResult{Attempt: r.Attempt}) })
}

// attemptDone records the answer of a call and settles its budget.
func (e *Entry) attemptDone(s *slot, c *openCall, r core.Result) {
	e.uncountDispatch(c)
	delete(s.ownerState.attempts, c.attempt)
	p := s.editProgram(c.program)
	rec := findRecord(p, c.seq)
	f := core.Finish{
		Outcome: core.OutcomeRan,
		Reason:  r.Reason,
		Attempt: c.attempt,
		Sidecar: c.target,
		Usage:   r.Usage,
		Answer:  r.Answer,
		Length:  r.Length,
	}
	e.settle(s, c.program, rec, r.Usage.Total())
	e.finishRecord(p, rec, f)
	if rec.Kind == core.CallModel {
		c.historyTokens = historyTokens(p, c.call)
		e.recordHistory(p, c.call, r, c.target)
		for _, stored := range c.pendingCopies {
			if isCurrentCopy(p, stored) {
				e.recordCopy(s, p, stored)
			}
		}
		p.Turns++
		p.LastTarget = c.target
	}
	s.editProgram(c.program.Root()).Attained += r.Usage.Total()
	e.finishCall(s, c, f)
}

func (e *Entry) finishRecord(p *core.Program, rec *core.CallRecord, f core.Finish) {
	rec.Phase = core.PhaseDone
	rec.Finish = f
	rec.DoneAt = e.now
	p.LastActive = e.now
	p.Calls = e.trimRecords(p.Calls)
}

// attemptRefused handles an attempt that was not executed and never will be. It
// schedules another attempt within the retry budget.
func (e *Entry) attemptRefused(s *slot, c *openCall, r core.Result) {
	e.uncountDispatch(c)
	e.addRefusalPenalty(c)
	delete(s.ownerState.attempts, c.attempt)
	rec := findRecord(s.editProgram(c.program), c.seq)
	rec.Phase = core.PhaseReserved
	rec.Attempt = core.AttemptID{}
	c.attempt = core.AttemptID{}
	c.state = stateReady
	c.readyAt = e.now
	switch {
	case c.canceled && e.now >= c.deadline:
		e.failCall(s, c, core.ReasonTimeout, 0)
	case c.programEnded:
		e.failCall(s, c, core.ReasonProgramEnded, 0)
	case c.canceled:
		e.failCall(s, c, core.ReasonCanceled, 0)
	case c.call == nil:
		e.awaitForward(c)
	case !e.scheduleRetry(c):
		e.failCall(s, c, orDefault(r.Reason, core.ReasonOverload), orDefault(r.RetryAfter, defaultRetryAfter))
	}
}

// awaitForward bounds how long a call waits for an ingress entry to forward it
// again. The owner has rebuilt such a call from its record in the snapshot,
// which does not contain the request.
func (e *Entry) awaitForward(c *openCall) {
	c.deadline = min(c.deadline, e.now.Add(sequenceGapTimeout))
}

// addRefusalPenalty makes a target that refused an attempt look more loaded, by
// a quarter of its limit, until its next report.
func (e *Entry) addRefusalPenalty(c *openCall) {
	t := e.targets.byVM[c.target.VM]
	if t != nil && t.node == c.target {
		t.callsSinceReport += max(1, t.load.Limit/4)
	}
}

// attemptLost ends an attempt whose outcome cannot be known. Its reservation
// counts as spent. Only an idempotent call is attempted again.
func (e *Entry) attemptLost(s *slot, c *openCall, reason core.Reason) {
	e.uncountDispatch(c)
	delete(s.ownerState.attempts, c.attempt)
	p := s.editProgram(c.program)
	rec := findRecord(p, c.seq)
	e.settle(s, c.program, rec, rec.Reserved)
	rec.Phase = core.PhaseReserved
	rec.MayHaveRun = true
	c.state = stateReady
	c.readyAt = e.now
	switch {
	case rec.NonIdempotent || c.canceled:
		e.failCall(s, c, reason, 0)
	case c.call == nil:
		e.awaitForward(c)
	case !e.isAffordable(s, c.call):
		e.failCall(s, c, core.ReasonBudgetExhausted, 0)
	case !e.scheduleRetry(c):
		e.failCall(s, c, reason, defaultRetryAfter)
	}
}

// failCall ends a ready call. The outcome is not_run only if no attempt of it
// may have been executed.
func (e *Entry) failCall(s *slot, c *openCall, reason core.Reason, after core.Duration) {
	p := s.snapshot.programs[c.program]
	if p == nil || findRecord(p, c.seq) == nil {
		e.refuseCall(s, c, reason, after)
		return
	}
	p = s.editProgram(c.program)
	rec := findRecord(p, c.seq)
	if rec.MayHaveRun {
		e.settle(s, c.program, rec, 0)
		f := core.Finish{Outcome: core.OutcomeUnknown, Reason: reason, RetryAfter: after}
		e.finishRecord(p, rec, f)
		e.finishCall(s, c, f)
		return
	}
	e.invariants.Check(invariant.NotExecuted, rec.Phase == core.PhaseReserved,
		"%s: call %d of %s refused although its dispatch record is open", e.self, c.seq, c.program)
	e.settle(s, c.program, rec, 0)
	p.Calls = slices.DeleteFunc(p.Calls, func(r core.CallRecord) bool { return r.Seq == c.seq })
	p.NextSeq = c.seq
	e.removeUnused(s, p)
	e.finishCall(s, c, refusal(reason, after))
}
