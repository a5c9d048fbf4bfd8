package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// placeCall chooses a target for a ready call and writes its dispatch record. A
// call without a usable target waits up to noTargetTimeout and is then refused.
func (e *Entry) placeCall(s *slot, c *openCall) {
	if c.call == nil {
		return
	}
	// Other calls of the program tree may have reserved budget since this call was
	// checked.
	if !e.holdsReservation(s, c) && !e.isAffordable(s, c.call) {
		e.failCall(s, c, core.ReasonBudgetExhausted, 0)
		return
	}
	if !e.ensureEscrow(s, c) {
		return
	}
	t, cost := e.chooseTarget(s, c)
	if t == nil {
		if e.now.Sub(c.readyAt) >= noTargetTimeout {
			e.failCall(s, c, core.ReasonNoTarget, defaultRetryAfter)
		}
		return
	}
	e.emit(core.Decision{
		Step: "place", Program: c.program, Seq: c.seq, Target: t.node, Slot: s.id,
		Cost: cost, Wait: e.now.Sub(c.arrived),
	})
	e.writeDispatchRecord(s, c, t)
}

// ensureProgram returns the record of a call's program for changes. It creates
// the records of the program and its root if they are new.
func (e *Entry) ensureProgram(s *slot, call *core.Call) *core.Program {
	for _, id := range []core.ProgramID{call.Program.Root(), call.Program} {
		if s.snapshot.programs[id] != nil {
			continue
		}
		p := s.editProgram(id)
		p.Kind = call.ProgramKind
		p.Account = call.Account
		p.Started = e.now
		p.LastActive = e.now
		if id == call.Program.Root() {
			p.Budget = e.budgetOf(call)
		}
	}
	return s.editProgram(call.Program)
}

// findRecord returns the record of a call, or nil.
func findRecord(p *core.Program, seq uint64) *core.CallRecord {
	i := slices.IndexFunc(p.Calls, func(r core.CallRecord) bool { return r.Seq == seq })
	if i < 0 {
		return nil
	}
	return &p.Calls[i]
}

// writeDispatchRecord records the target incarnation to which a call is
// dispatched. The attempt is sent only after every replica has the record. A
// new owner therefore has a record of every attempt that may have been
// executed.
func (e *Entry) writeDispatchRecord(s *slot, c *openCall, t *target) {
	p := e.ensureProgram(s, c.call)
	r := findRecord(p, c.seq)
	if r == nil {
		p.Calls = append(p.Calls, newCallRecord(c))
		sortCalls(p)
		r = findRecord(p, c.seq)
		p.NextSeq = c.seq + 1
		e.retryBudget(c.call).Deposit()
	}
	e.invariants.Check(invariant.AtMostOnce, !c.call.NonIdempotent || r.Attempt.IsZero() && !r.MayHaveRun,
		"%s: second dispatch record for call %d of %s", e.self, c.seq, c.program)
	if r.Reserved == 0 {
		e.reserve(s, r, c.call)
	}
	s.snapshot.nextAttempt++
	c.attempt = core.AttemptID{Slot: s.id, Epoch: s.ownerState.epoch, N: s.snapshot.nextAttempt}
	c.target = t.node
	c.state = stateReplicating
	s.ownerState.attempts[c.attempt] = c
	r.Phase = core.PhaseDispatched
	r.Attempt = c.attempt
	r.Target = t.node
	p.LastActive = e.now
	e.recordServer(s, c.program, t.node)
	e.countDispatch(t, c)
	e.afterReplication(s, func() { e.sendDispatch(s, c) })
}

func newCallRecord(c *openCall) core.CallRecord {
	r := core.CallRecord{
		Seq:           c.seq,
		Key:           c.key,
		Kind:          c.call.Kind,
		Pool:          c.call.Pool,
		NonIdempotent: c.call.NonIdempotent,
		Fingerprint:   c.fingerprint,
	}
	if len(c.waiters) > 0 {
		r.Req = c.waiters[0]
	}
	return r
}

// recordServer records at the root that a sidecar serves the program tree, so
// that it gets an EndProgram message when the program ends.
func (e *Entry) recordServer(s *slot, id core.ProgramID, n core.Node) {
	e.targets.markUsed(n, e.now)
	root := s.editProgram(id.Root())
	root.ServedBy = slices.DeleteFunc(root.ServedBy, e.members.confirmedDead)
	if !slices.Contains(root.ServedBy, n) {
		root.ServedBy = append(root.ServedBy, n)
	}
}

// sendDispatch sends an attempt whose dispatch record is replicated.
func (e *Entry) sendDispatch(s *slot, c *openCall) {
	if c.canceled || e.members.confirmedDead(c.target) {
		// Nothing was sent, so the call can be placed again.
		e.attemptRefused(s, c, core.Result{Reason: core.ReasonTargetRestarted})
		return
	}
	if e.targets.isLeaving(c.target) {
		e.attemptRefused(s, c, core.Result{Reason: core.ReasonDraining})
		return
	}
	e.invariants.Check(invariant.LeavingTarget, !e.targets.isLeaving(c.target),
		"%s: dispatch of %s to leaving target %s", e.self, c.attempt, c.target)
	p := s.snapshot.programs[c.program]
	root := s.snapshot.programs[c.program.Root()]
	c.state = stateDispatched
	c.queriedAt = e.now
	c.acknowledged = false
	call := *c.call
	// The owner has assigned a sequence number if the caller gave none.
	call.Seq = c.seq
	e.send(c.target, core.Dispatch{
		Slot:     s.id,
		Epoch:    s.ownerState.epoch,
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

// sendCancel requests that the sidecar stop a call that was dispatched.
func (e *Entry) sendCancel(s *slot, c *openCall) {
	if c.state == stateDispatched {
		e.send(c.target, core.CancelAttempt{Slot: s.id, Epoch: s.ownerState.epoch, Attempt: c.attempt})
	}
}

// tickDispatched queries the outcome of a call if the sidecar has not reported
// on it for a while, and ends the attempt if the sidecar is confirmed dead.
func (e *Entry) tickDispatched(s *slot, c *openCall) {
	if e.members.confirmedDead(c.target) {
		e.attemptLost(s, c, core.ReasonTargetRestarted)
		return
	}
	wait := queryDelay
	if c.acknowledged {
		wait = pollInterval
	}
	if c.queriedAt > 0 && e.now.Sub(c.queriedAt) < wait {
		return
	}
	c.queriedAt = e.now
	e.targets.markUsed(c.target, e.now)
	if c.canceled {
		e.sendCancel(s, c)
	}
	e.send(c.target, core.QueryAttempt{
		Slot: s.id, Epoch: s.ownerState.epoch, Attempt: c.attempt, Target: c.target,
	})
}
