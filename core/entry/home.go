package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// nextSeq returns the lowest sequence number of a program that was not begun.
func nextSeq(s *slot, id core.ProgramID) uint64 {
	if p := s.image.programs[id]; p != nil {
		return p.NextSeq
	}
	return 1
}

// pump begins the next call of a program if none is under way.
func (e *Entry) pump(s *slot, id core.ProgramID) {
	l := s.home.lanes[id]
	for l != nil && l.open == nil {
		c := l.next(nextSeq(s, id))
		if c == nil {
			break
		}
		l.open = c
		e.begin(s, c)
	}
	if l != nil && l.empty() {
		delete(s.home.lanes, id)
	}
}

// begin checks a call whose turn it is against the program's limits, history
// and budget, and places it.
func (e *Entry) begin(s *slot, c *openCall) {
	next := nextSeq(s, c.program)
	e.check.Check(invariant.CallOrder, c.seq == 0 || c.seq == next,
		"%s: call %d of %s begun before %d", e.self, c.seq, c.program, next)
	c.seq = next
	c.state = stateReady
	c.readyAt = e.now
	if reason := e.allowed(s, c); reason != "" {
		e.refuse(s, c, reason, e.hint(reason))
		return
	}
	e.place(s, c)
}

// refuse ends a call of which nothing was sent and nothing recorded.
func (e *Entry) refuse(s *slot, c *openCall, reason core.Reason, after core.Duration) {
	f := refusal(reason, after)
	l := s.home.lanes[c.program]
	if l.open == c {
		l.open = nil
	} else {
		l.drop(c)
	}
	for _, req := range c.waiters {
		e.decide(s, req, f)
	}
}

// conclude records the outcome of a begun call. The waiters learn it once every
// mirror has the record.
func (e *Entry) conclude(s *slot, c *openCall, f core.Finish) {
	c.state = stateClosing
	var kind string
	var account core.Account
	if p := s.image.programs[c.program]; p != nil {
		kind, account = p.Kind, p.Account
	}
	e.emit(core.Decision{
		Step: "finish", Program: c.program, Seq: c.seq, Attempt: c.attempt, Target: c.target,
		Slot: s.id, Reason: f.Reason, Wait: e.now.Sub(c.arrived), Usage: f.Usage,
		Kind: kind, Account: account, History: c.history,
	})
	e.durable(s, func() { e.concluded(s, c, f) })
}

func (e *Entry) concluded(s *slot, c *openCall, f core.Finish) {
	for _, req := range c.waiters {
		e.answer(s, req, f)
	}
	if !c.attempt.IsZero() {
		e.send(c.target, core.AckResult{Attempt: c.attempt})
	}
	if p := s.image.programs[c.program]; p != nil && p.Ended {
		e.sendEnd(s, c.program)
	}
	if l := s.home.lanes[c.program]; l != nil && l.open == c {
		l.open = nil
		e.pump(s, c.program)
	}
}

// withdrawn drops a request whose caller has gone. A call that nobody awaits is
// canceled unless it must not be repeated.
func (e *Entry) withdrawn(req core.RequestID) {
	for _, s := range e.slots {
		if s.home == nil {
			continue
		}
		for _, c := range s.openCalls() {
			if c.detach(req) {
				e.abandoned(s, c)
				return
			}
		}
	}
}

// openCalls returns the open calls of a home by program.
func (s *slot) openCalls() []*openCall {
	var calls []*openCall
	for _, id := range slices.Sorted(maps.Keys(s.home.lanes)) {
		calls = append(calls, s.home.lanes[id].all()...)
	}
	return calls
}

func (e *Entry) abandoned(s *slot, c *openCall) {
	begun := c.state >= stateTicket
	repeatable := c.key == "" && c.body != nil && !c.body.NonIdempotent
	if len(c.waiters) > 0 || begun && !repeatable {
		return
	}
	e.cancel(s, c, core.ReasonCanceled)
	e.pump(s, c.program)
}

// cancel ends a call that has not been sent and asks the sidecar to stop one
// that has.
func (e *Entry) cancel(s *slot, c *openCall, reason core.Reason) {
	switch c.state {
	case stateQueued:
		e.refuse(s, c, reason, 0)
	case stateReady:
		e.giveUp(s, c, reason, 0)
	case stateTicket, stateSent:
		c.canceled = true
		e.sendCancel(s, c)
	}
}

// tickCalls drives the timeouts of the slot's open calls.
func (e *Entry) tickCalls(s *slot) {
	for _, id := range slices.Sorted(maps.Keys(s.home.lanes)) {
		for _, c := range s.home.lanes[id].all() {
			e.tickCall(s, c)
		}
		e.pump(s, id)
	}
	e.tickDeciding(s)
	e.expire(s)
}

func (e *Entry) tickCall(s *slot, c *openCall) {
	overdue := e.now >= c.deadline
	switch c.state {
	case stateQueued:
		e.tickQueued(s, c, overdue)
	case stateReady:
		if overdue {
			e.giveUp(s, c, core.ReasonTimeout, 0)
		} else if e.now >= c.retryAt {
			e.place(s, c)
		}
	case stateTicket:
		switch {
		case c.canceled:
		case overdue:
			e.dropTicket(s, c, refusal(core.ReasonTimeout, 0))
		case e.stalled(s):
			e.dropTicket(s, c, refusal(core.ReasonNoOwner, retryHint))
		}
	case stateSent:
		if overdue && !c.canceled {
			e.cancel(s, c, core.ReasonTimeout)
		}
		e.tickSent(s, c)
	}
}

// dropTicket refuses a call whose ticket the mirrors do not acknowledge. It is
// not dispatched any more, so nothing waits for them.
func (e *Entry) dropTicket(s *slot, c *openCall, f core.Finish) {
	c.canceled = true
	if findRecord(s.image.programs[c.program], c.seq).MayHaveRun {
		f.Outcome = core.OutcomeUnknown
	}
	for _, req := range c.waiters {
		e.answer(s, req, f)
	}
	c.waiters = nil
}

// tickQueued refuses a call whose predecessor does not come.
func (e *Entry) tickQueued(s *slot, c *openCall, overdue bool) {
	gap := s.home.lanes[c.program].open == nil && e.now.Sub(c.arrived) >= gapWait
	switch {
	case overdue:
		e.refuse(s, c, core.ReasonTimeout, 0)
	case gap:
		e.refuse(s, c, core.ReasonOutOfSequence, 0)
	}
}

// sortCalls keeps a record's calls in order of their sequence numbers.
func sortCalls(p *core.Program) {
	slices.SortStableFunc(p.Calls, func(a, b core.CallRecord) int { return cmp.Compare(a.Seq, b.Seq) })
}
