package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// place chooses a target for a ready call and writes its ticket. A call with no
// usable target waits a little and is then refused.
func (e *Entry) place(s *slot, c *openCall) {
	if c.body == nil {
		return
	}
	// Other calls of the tree may have reserved since this one was checked.
	if !e.holdsReservation(s, c) && !e.affordable(s, c.body) {
		e.giveUp(s, c, core.ReasonBudgetExhausted, 0)
		return
	}
	if !e.escrowed(s, c) {
		return
	}
	t, cost := e.choose(s, c)
	if t == nil {
		if e.now.Sub(c.readyAt) >= noTargetWait {
			e.giveUp(s, c, core.ReasonNoTarget, retryHint)
		}
		return
	}
	e.emit(core.Decision{
		Step: "place", Program: c.program, Seq: c.seq, Target: t.node, Slot: s.id,
		Cost: cost, Wait: e.now.Sub(c.arrived),
	})
	e.writeTicket(s, c, t)
}

// program returns the record of a call's program for changes, and makes those
// of the program and its root if they are new.
func (e *Entry) program(s *slot, call *core.Call) *core.Program {
	for _, id := range []core.ProgramID{call.Program.Root(), call.Program} {
		if s.image.programs[id] != nil {
			continue
		}
		p := s.edit(id)
		p.Kind = call.ProgramKind
		p.Account = call.Account
		p.Started = e.now
		p.LastActive = e.now
		if id == call.Program.Root() {
			p.Budget = e.budgetOf(call)
		}
	}
	return s.edit(call.Program)
}

// findRecord returns the record of a call, or nil.
func findRecord(p *core.Program, seq uint64) *core.CallRecord {
	i := slices.IndexFunc(p.Calls, func(r core.CallRecord) bool { return r.Seq == seq })
	if i < 0 {
		return nil
	}
	return &p.Calls[i]
}

// writeTicket binds a call to a target's life in its record. The dispatch waits
// until every mirror has the record, so that a new home knows what may run.
func (e *Entry) writeTicket(s *slot, c *openCall, t *target) {
	p := e.program(s, c.body)
	r := findRecord(p, c.seq)
	if r == nil {
		p.Calls = append(p.Calls, newRecord(c))
		sortCalls(p)
		r = findRecord(p, c.seq)
		p.NextSeq = c.seq + 1
		e.retryBudget(c.body).Deposit()
	}
	e.check.Check(invariant.AtMostOnce, !c.body.NonIdempotent || r.Attempt.IsZero() && !r.MayHaveRun,
		"%s: second ticket for call %d of %s", e.self, c.seq, c.program)
	if r.Reserved == 0 {
		e.reserve(s, r, c.body)
	}
	s.image.nextAttempt++
	c.attempt = core.AttemptID{Slot: s.id, Epoch: s.home.epoch, N: s.image.nextAttempt}
	c.target = t.node
	c.state = stateTicket
	s.home.attempts[c.attempt] = c
	r.Phase = core.PhaseDispatched
	r.Attempt = c.attempt
	r.Target = t.node
	p.LastActive = e.now
	e.served(s, c.program, t.node)
	e.noteDispatch(t, c)
	e.durable(s, func() { e.dispatch(s, c) })
}

func newRecord(c *openCall) core.CallRecord {
	r := core.CallRecord{
		Seq:           c.seq,
		Key:           c.key,
		Kind:          c.body.Kind,
		Pool:          c.body.Pool,
		NonIdempotent: c.body.NonIdempotent,
		Fingerprint:   c.print,
	}
	if len(c.waiters) > 0 {
		r.Req = c.waiters[0]
	}
	return r
}

// served notes at the root that a sidecar's life serves the tree.
func (e *Entry) served(s *slot, id core.ProgramID, n core.Node) {
	e.targets.use(n, e.now)
	root := s.edit(id.Root())
	root.ServedBy = slices.DeleteFunc(root.ServedBy, e.members.dead)
	if !slices.Contains(root.ServedBy, n) {
		root.ServedBy = append(root.ServedBy, n)
	}
}

// dispatch sends an attempt whose ticket is acknowledged.
func (e *Entry) dispatch(s *slot, c *openCall) {
	if c.canceled || e.members.dead(c.target) {
		// Nothing was sent, so the ticket is free again.
		e.refused(s, c, core.Result{Reason: core.ReasonTargetRestarted})
		return
	}
	if e.targets.leaving(c.target) {
		e.refused(s, c, core.Result{Reason: core.ReasonDraining})
		return
	}
	e.check.Check(invariant.LeavingTarget, !e.targets.leaving(c.target),
		"%s: dispatch of %s to leaving target %s", e.self, c.attempt, c.target)
	p := s.image.programs[c.program]
	root := s.image.programs[c.program.Root()]
	c.state = stateSent
	c.askedAt = e.now
	c.seen = false
	call := *c.body
	// The caller may have left the position to the home.
	call.Seq = c.seq
	e.send(c.target, core.Dispatch{
		Slot:     s.id,
		Epoch:    s.home.epoch,
		Attempt:  c.attempt,
		Target:   c.target,
		Call:     call,
		Attained: root.Attained,
		Turns:    p.Turns,
		Started:  root.Started,
		Age:      e.now.Sub(root.Started),
	})
	for _, req := range c.waiters {
		e.send(req.Ingress, core.Placed{Req: req, Attempt: c.attempt, Sidecar: c.target})
	}
}

// sendCancel asks the sidecar to stop a call that was sent.
func (e *Entry) sendCancel(s *slot, c *openCall) {
	if c.state == stateSent {
		e.send(c.target, core.CancelAttempt{Slot: s.id, Epoch: s.home.epoch, Attempt: c.attempt})
	}
}

// tickSent asks for the outcome of a call whose sidecar is silent about it, and
// ends it if the sidecar's life has ended.
func (e *Entry) tickSent(s *slot, c *openCall) {
	if e.members.dead(c.target) {
		e.lost(s, c, core.ReasonTargetRestarted)
		return
	}
	wait := queryAfter
	if c.seen {
		wait = pollAfter
	}
	if c.askedAt > 0 && e.now.Sub(c.askedAt) < wait {
		return
	}
	c.askedAt = e.now
	e.targets.use(c.target, e.now)
	if c.canceled {
		e.sendCancel(s, c)
	}
	e.send(c.target, core.QueryAttempt{
		Slot: s.id, Epoch: s.home.epoch, Attempt: c.attempt, Target: c.target,
	})
}
