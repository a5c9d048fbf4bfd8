package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

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
	if r.Phase == core.PhaseDispatched {
		c.state = stateSent
		s.home.attempts[c.attempt] = c
	} else {
		c.deadline = e.now.Add(gapWait)
	}
	s.home.lanes[id] = &lane{open: c}
}
