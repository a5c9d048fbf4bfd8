package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// nextSeq returns the sequence number that the next call of a program to start
// must have.
func nextSeq(s *slot, id core.ProgramID) uint64 {
	if p := s.snapshot.programs[id]; p != nil {
		return p.NextSeq
	}
	return 1
}

// startNext starts the next call of a program if none is in progress.
func (e *Entry) startNext(s *slot, id core.ProgramID) {
	q := s.ownerState.queues[id]
	for q != nil && q.started == nil {
		c := q.takeNext(nextSeq(s, id))
		if c == nil {
			break
		}
		q.started = c
		e.startCall(s, c)
	}
	if q != nil && q.empty() {
		delete(s.ownerState.queues, id)
	}
}

// startCall checks the next call of a program against the program's limits,
// history and budget, and places it.
func (e *Entry) startCall(s *slot, c *openCall) {
	next := nextSeq(s, c.program)
	e.invariants.Check(invariant.CallOrder, c.seq == 0 || c.seq == next,
		"%s: call %d of %s started before call %d", e.self, c.seq, c.program, next)
	c.seq = next
	c.state = stateReady
	c.readyAt = e.now
	if reason := e.startRefusal(s, c); reason != "" {
		e.refuseCall(s, c, reason, e.retryAfterFor(reason))
		return
	}
	e.placeCall(s, c)
}

// refuseCall refuses a call that has no record and of which no attempt was
// sent.
func (e *Entry) refuseCall(s *slot, c *openCall, reason core.Reason, after core.Duration) {
	f := refusal(reason, after)
	q := s.ownerState.queues[c.program]
	if q.started == c {
		q.started = nil
	} else {
		q.remove(c)
	}
	for _, req := range c.waiters {
		e.sendResultAfterReplication(s, req, f)
	}
}

// finishCall ends a started call whose record has been updated. The outcome is
// sent to the waiting requests once every replica has the update.
func (e *Entry) finishCall(s *slot, c *openCall, f core.Finish) {
	c.state = stateFinishing
	var kind string
	var account core.Account
	if p := s.snapshot.programs[c.program]; p != nil {
		kind, account = p.Kind, p.Account
	}
	e.emit(core.Decision{
		Step: "finish", Program: c.program, Seq: c.seq, Attempt: c.attempt, Target: c.target,
		Slot: s.id, Reason: f.Reason, Wait: e.now.Sub(c.arrived), Usage: f.Usage,
		Kind: kind, Account: account, History: c.historyTokens,
	})
	e.afterReplication(s, func() { e.outcomeReplicated(s, c, f) })
}

func (e *Entry) outcomeReplicated(s *slot, c *openCall, f core.Finish) {
	for _, req := range c.waiters {
		e.sendResult(s, req, f)
	}
	if !c.attempt.IsZero() {
		e.send(c.target, core.AckResult{Attempt: c.attempt})
	}
	if p := s.snapshot.programs[c.program]; p != nil && p.Ended {
		e.sendEndProgram(s, c.program)
	}
	if q := s.ownerState.queues[c.program]; q != nil && q.started == c {
		q.started = nil
		e.startNext(s, c.program)
	}
}

// handleWithdraw removes a request whose caller has disconnected. A call that no
// request awaits any more is canceled, unless it was started and must not be
// repeated.
func (e *Entry) handleWithdraw(req core.RequestID) {
	for _, s := range e.slots {
		if s.ownerState == nil {
			continue
		}
		for _, c := range s.openCalls() {
			if c.detach(req) {
				e.cancelIfUnawaited(s, c)
				return
			}
		}
	}
}

// openCalls returns the open calls of an owned slot, ordered by program.
func (s *slot) openCalls() []*openCall {
	var calls []*openCall
	for _, id := range slices.Sorted(maps.Keys(s.ownerState.queues)) {
		calls = append(calls, s.ownerState.queues[id].calls()...)
	}
	return calls
}

func (e *Entry) cancelIfUnawaited(s *slot, c *openCall) {
	started := c.state >= stateReplicating
	repeatable := c.key == "" && c.call != nil && !c.call.NonIdempotent
	if len(c.waiters) > 0 || started && !repeatable {
		return
	}
	e.cancelCall(s, c, core.ReasonCanceled)
	e.startNext(s, c.program)
}

// cancelCall ends a call if no attempt of it was sent. If it was dispatched,
// cancelCall requests that the sidecar stop the attempt.
func (e *Entry) cancelCall(s *slot, c *openCall, reason core.Reason) {
	switch c.state {
	case stateQueued:
		e.refuseCall(s, c, reason, 0)
	case stateReady:
		e.failCall(s, c, reason, 0)
	case stateReplicating, stateDispatched:
		c.canceled = true
		e.sendCancel(s, c)
	}
}

// tickCalls handles the timeouts and retries of the slot's open calls and
// expires programs.
func (e *Entry) tickCalls(s *slot) {
	for _, id := range slices.Sorted(maps.Keys(s.ownerState.queues)) {
		for _, c := range s.ownerState.queues[id].calls() {
			e.tickCall(s, c)
		}
		e.startNext(s, id)
	}
	e.tickAwaitingReplication(s)
	e.expirePrograms(s)
}

func (e *Entry) tickCall(s *slot, c *openCall) {
	overdue := e.now >= c.deadline
	switch c.state {
	case stateQueued:
		e.tickQueued(s, c, overdue)
	case stateReady:
		if overdue {
			e.failCall(s, c, core.ReasonTimeout, 0)
		} else if e.now >= c.retryAt {
			e.placeCall(s, c)
		}
	case stateReplicating:
		switch {
		case c.canceled:
		case overdue:
			e.abandonDispatch(s, c, refusal(core.ReasonTimeout, 0))
		case e.isStalled(s):
			e.abandonDispatch(s, c, refusal(core.ReasonNoOwner, defaultRetryAfter))
		}
	case stateDispatched:
		if overdue && !c.canceled {
			e.cancelCall(s, c, core.ReasonTimeout)
		}
		e.tickDispatched(s, c)
	}
}

// abandonDispatch answers a call whose dispatch record the replicas have not
// acknowledged in time. The call is canceled, so it is not dispatched even if
// they acknowledge the record later. The answer therefore need not wait for
// them.
func (e *Entry) abandonDispatch(s *slot, c *openCall, f core.Finish) {
	c.canceled = true
	if findRecord(s.snapshot.programs[c.program], c.seq).MayHaveRun {
		f.Outcome = core.OutcomeUnknown
	}
	for _, req := range c.waiters {
		e.sendResult(s, req, f)
	}
	c.waiters = nil
}

// tickQueued refuses a call that is overdue or whose predecessor does not
// arrive.
func (e *Entry) tickQueued(s *slot, c *openCall, overdue bool) {
	gap := s.ownerState.queues[c.program].started == nil && e.now.Sub(c.arrived) >= sequenceGapTimeout
	switch {
	case overdue:
		e.refuseCall(s, c, core.ReasonTimeout, 0)
	case gap:
		e.refuseCall(s, c, core.ReasonOutOfSequence, 0)
	}
}

// sortCalls sorts a program's call records by sequence number.
func sortCalls(p *core.Program) {
	slices.SortStableFunc(p.Calls, func(a, b core.CallRecord) int { return cmp.Compare(a.Seq, b.Seq) })
}
