package entry

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// raiseFences makes the sidecars refuse the dispatches of earlier homes of a
// slot that was taken over without its memory. The tickets of those homes are
// lost, so their attempts cannot be asked for one by one; the attempt with
// number zero is never dispatched.
func (e *Entry) raiseFences(s *slot) {
	for _, t := range e.targets.list {
		if t.reports == 0 || e.members.dead(t.node) {
			continue
		}
		epoch := s.home.epoch
		e.send(t.node, core.QueryAttempt{
			Slot: s.id, Epoch: epoch, Target: t.node,
			Attempt: core.AttemptID{Slot: s.id, Epoch: epoch},
		})
	}
}
