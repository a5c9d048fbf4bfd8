package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retry"
)

// place chooses a target for a ready call and writes its ticket. A call with no
// usable target waits a little and is then refused.
func (e *Entry) place(s *slot, c *openCall) {
	if c.body == nil {
		return
	}
	// Other calls of the tree may have reserved since this one was checked.
	if !e.holdsReservation(s, c) && !e.affordable(s, c.body) {
		e.giveUp(s, c, core.ReasonBudget, 0)
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
		p.Active = e.now
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
	r.Phase = core.PhaseTicket
	r.Attempt = c.attempt
	r.Target = t.node
	p.Active = e.now
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
	root := s.edit(id.Root())
	root.Served = slices.DeleteFunc(root.Served, e.members.dead)
	if !slices.Contains(root.Served, n) {
		root.Served = append(root.Served, n)
	}
}

// dispatch sends an attempt whose ticket is acknowledged.
func (e *Entry) dispatch(s *slot, c *openCall) {
	if c.canceled || e.members.dead(c.target) {
		// Nothing was sent, so the ticket is free again.
		e.refused(s, c, core.Result{Reason: core.ReasonIncarnation})
		return
	}
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
		e.send(req.Edge, core.Placed{Req: req, Attempt: c.attempt, Sidecar: c.target})
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
		e.lost(s, c, core.ReasonIncarnation)
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
	if c.canceled {
		e.sendCancel(s, c)
	}
	e.send(c.target, core.QueryAttempt{
		Slot: s.id, Epoch: s.home.epoch, Attempt: c.attempt, Target: c.target,
	})
}

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
		e.lost(s, c, orDefault(r.Reason, core.ReasonTarget))
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
		e.recordHistory(p, c.body, r)
		p.Turns++
		p.Last = c.target
	}
	s.edit(c.program.Root()).Attained += r.Usage.Total()
	e.close(s, c, f)
}

// historyTokens returns the length of the part of a prompt that a program's
// earlier calls have computed.
func historyTokens(p *core.Program, call *core.Call) uint32 {
	if call == nil || call.ResetHistory {
		return 0
	}
	var sum uint32
	for _, b := range call.Blocks[:min(int(p.HistoryBlocks), len(call.Blocks))] {
		sum += b.Tokens
	}
	return sum
}

func (e *Entry) finishRecord(p *core.Program, rec *core.CallRecord, f core.Finish) {
	rec.Phase = core.PhaseDone
	rec.Finish = f
	rec.DoneAt = e.now
	p.Active = e.now
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
		e.giveUp(s, c, core.ReasonEnded, 0)
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

// scheduleRetry sets the time of a call's next attempt, if the retry budget of
// its pool and account allows one.
func (e *Entry) scheduleRetry(c *openCall) bool {
	b := e.retryBudget(c.body)
	if !b.Withdraw() {
		return false
	}
	c.retryAt = e.now.Add(b.Wait(c.attempts, c.deadline.Sub(e.now), e.rng))
	c.attempts++
	return true
}

func (e *Entry) retryBudget(call *core.Call) *retry.Budget {
	k := retryKey{call.Pool, call.Account}
	if b := e.budgets[k]; b != nil {
		return b
	}
	var cfg config.Retry
	if p := e.set.Pool(string(call.Pool)); p != nil {
		cfg = p.Retry
	}
	b := retry.New(cfg)
	e.budgets[k] = b
	return b
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
		e.giveUp(s, c, core.ReasonBudget, 0)
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
		e.close(s, c, f)
		return
	}
	e.check.Check(invariant.NotRun, rec.Phase == core.PhaseReserved,
		"%s: call %d of %s refused with an open ticket", e.self, c.seq, c.program)
	e.settle(s, c.program, rec, 0)
	p.Calls = slices.DeleteFunc(p.Calls, func(r core.CallRecord) bool { return r.Seq == c.seq })
	p.NextSeq = c.seq
	e.removeUnused(s, p)
	e.close(s, c, refusal(reason, after))
}

// reopen rebuilds the open calls of a slot that this entry became home of. The
// outcome of every ticket is asked for.
func (e *Entry) reopen(s *slot) {
	for _, p := range sortedPrograms(s) {
		for i := range p.Calls {
			if r := &p.Calls[i]; r.Phase != core.PhaseDone {
				e.reopenCall(s, p.ID, r)
			}
		}
	}
}

func (e *Entry) reopenCall(s *slot, id core.ProgramID, r *core.CallRecord) {
	c := &openCall{
		program:  id,
		seq:      r.Seq,
		key:      r.Key,
		print:    r.Fingerprint,
		state:    stateReady,
		arrived:  e.now,
		readyAt:  e.now,
		deadline: e.now.Add(defaultCallTimeout),
		attempt:  r.Attempt,
		target:   r.Target,
	}
	c.attach(r.Req)
	if r.Phase == core.PhaseTicket {
		c.state = stateSent
		s.home.attempts[c.attempt] = c
	} else {
		c.deadline = e.now.Add(gapWait)
	}
	s.home.lanes[id] = &lane{open: c}
}
