package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// result takes in the state of an attempt. A second report changes nothing.
func (e *Entry) result(from core.Node, r core.Result) {
	e.loadReport(from, r.Load)
	s := e.slot(r.Attempt.Slot)
	if s == nil || s.home == nil {
		return
	}
	if s.home.epoch.Less(r.Epoch) {
		e.stepDown(s, r.Epoch)
		return
	}
	if r.Attempt.N == 0 {
		e.fenceRaised(s, from)
		return
	}
	if !s.home.ready {
		return
	}
	c := s.home.attempts[r.Attempt]
	if c == nil {
		e.staleResult(s, from, r)
		return
	}
	if c.state != stateSent || from != c.target {
		return
	}
	switch r.State {
	case core.AttemptWaiting, core.AttemptRunning:
		c.seen = true
		c.askedAt = e.now
	case core.AttemptDone:
		e.ran(s, c, r)
	case core.AttemptRefused:
		e.refused(s, c, r)
	case core.AttemptLost:
		e.lost(s, c, orDefault(r.Reason, core.ReasonTargetFailed))
	}
}

// staleResult releases an attempt that is no longer awaited, once it is certain
// that this entry is still the home.
func (e *Entry) staleResult(s *slot, from core.Node, r core.Result) {
	if r.State < core.AttemptDone {
		return
	}
	e.durable(s, func() { e.send(from, core.AckResult{Attempt: r.Attempt}) })
}

// ran records the answer of a call and settles its budget.
func (e *Entry) ran(s *slot, c *openCall, r core.Result) {
	e.noteEnd(c)
	delete(s.home.attempts, c.attempt)
	p := s.edit(c.program)
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
		c.history = historyTokens(p, c.body)
		e.recordHistory(p, c.body, r, c.target)
		for _, kept := range c.early {
			if current(p, kept) {
				e.recordCopy(s, p, kept)
			}
		}
		p.Turns++
		p.LastTarget = c.target
	}
	s.edit(c.program.Root()).Attained += r.Usage.Total()
	e.conclude(s, c, f)
}

func (e *Entry) finishRecord(p *core.Program, rec *core.CallRecord, f core.Finish) {
	rec.Phase = core.PhaseDone
	rec.Finish = f
	rec.DoneAt = e.now
	p.LastActive = e.now
	p.Calls = e.trim(p.Calls)
}

// refused frees the ticket of an attempt that did not run and never will, and
// tries the call again within the retry budget.
func (e *Entry) refused(s *slot, c *openCall, r core.Result) {
	e.noteEnd(c)
	e.correct(c)
	delete(s.home.attempts, c.attempt)
	rec := findRecord(s.edit(c.program), c.seq)
	rec.Phase = core.PhaseReserved
	rec.Attempt = core.AttemptID{}
	c.attempt = core.AttemptID{}
	c.state = stateReady
	c.readyAt = e.now
	switch {
	case c.canceled && e.now >= c.deadline:
		e.giveUp(s, c, core.ReasonTimeout, 0)
	case c.ended:
		e.giveUp(s, c, core.ReasonProgramEnded, 0)
	case c.canceled:
		e.giveUp(s, c, core.ReasonCanceled, 0)
	case c.body == nil:
		e.awaitBody(c)
	case !e.scheduleRetry(c):
		e.giveUp(s, c, orDefault(r.Reason, core.ReasonOverload), orDefault(r.RetryAfter, retryHint))
	}
}

// awaitBody lets a call that this home knows from the image only wait for an
// edge to forward it again.
func (e *Entry) awaitBody(c *openCall) { c.deadline = min(c.deadline, e.now.Add(gapWait)) }

// correct makes the view of a target that refused look full until its next
// report.
func (e *Entry) correct(c *openCall) {
	t := e.targets.byVM[c.target.VM]
	if t != nil && t.node == c.target {
		t.ownCalls += max(1, t.load.Limit/4)
	}
}

// lost ends an attempt whose outcome cannot be known. Its reservation counts as
// spent. Only an idempotent call is tried again.
func (e *Entry) lost(s *slot, c *openCall, reason core.Reason) {
	e.noteEnd(c)
	delete(s.home.attempts, c.attempt)
	p := s.edit(c.program)
	rec := findRecord(p, c.seq)
	e.settle(s, c.program, rec, rec.Reserved)
	rec.Phase = core.PhaseReserved
	rec.MayHaveRun = true
	c.state = stateReady
	c.readyAt = e.now
	switch {
	case rec.NonIdempotent || c.canceled:
		e.giveUp(s, c, reason, 0)
	case c.body == nil:
		e.awaitBody(c)
	case !e.affordable(s, c.body):
		e.giveUp(s, c, core.ReasonBudgetExhausted, 0)
	case !e.scheduleRetry(c):
		e.giveUp(s, c, reason, retryHint)
	}
}

// giveUp ends a ready call. It is not_run only if no attempt of it may have run.
func (e *Entry) giveUp(s *slot, c *openCall, reason core.Reason, after core.Duration) {
	p := s.image.programs[c.program]
	if p == nil || findRecord(p, c.seq) == nil {
		e.refuse(s, c, reason, after)
		return
	}
	p = s.edit(c.program)
	rec := findRecord(p, c.seq)
	if rec.MayHaveRun {
		e.settle(s, c.program, rec, 0)
		f := core.Finish{Outcome: core.OutcomeUnknown, Reason: reason, RetryAfter: after}
		e.finishRecord(p, rec, f)
		e.conclude(s, c, f)
		return
	}
	e.check.Check(invariant.NotRun, rec.Phase == core.PhaseReserved,
		"%s: call %d of %s refused with an open ticket", e.self, c.seq, c.program)
	e.settle(s, c.program, rec, 0)
	p.Calls = slices.DeleteFunc(p.Calls, func(r core.CallRecord) bool { return r.Seq == c.seq })
	p.NextSeq = c.seq
	e.removeUnused(s, p)
	e.conclude(s, c, refusal(reason, after))
}
