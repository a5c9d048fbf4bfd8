package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// reopen rebuilds the open calls of a slot that this entry became the owner of.
// The outcome of every dispatched attempt will be queried.
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
		program:     id,
		seq:         r.Seq,
		key:         r.Key,
		fingerprint: r.Fingerprint,
		state:       stateReady,
		arrived:     e.now,
		readyAt:     e.now,
		deadline:    e.now.Add(defaultCallTimeout),
		attempt:     r.Attempt,
		target:      r.Target,
	}
	c.attach(r.Req)
	if r.Phase == core.PhaseDispatched {
		c.state = stateDispatched
		s.ownerState.attempts[c.attempt] = c
	} else {
		c.deadline = e.now.Add(sequenceGapTimeout)
	}
	s.ownerState.queues[id] = &programQueue{started: c}
}
