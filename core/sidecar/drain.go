package sidecar

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// drainGrace is the minimum time that a drain waits for the acknowledgement of a
// result, and for ingress entries to read the answers stored here. If the owner has
// changed or is unreachable, the ingress may read an answer well after the owner has
// acknowledged it, because the backoff between its forwards grows to 16 seconds. An
// unacknowledged answer is stored longer, since the caller may have repeated its
// call.
const drainGrace = 20 * core.Second

// drain is the state of a graceful shutdown.
type drain struct {
	// requested is set by core.DrainRequested, and leaving when the VM is listed as
	// leaving.
	requested bool
	leaving   bool
	stopped   bool
}

// refusesNewWork reports whether new attempts are refused.
func (d *drain) refusesNewWork() bool { return d.requested || d.leaving }

// onDrain begins a graceful shutdown.
func (s *Sidecar) onDrain() {
	s.drain.requested = true
	s.refuseNewWork()
}

// onVMList starts to refuse new work when this VM is listed as leaving.
func (s *Sidecar) onVMList(ev core.VMList) {
	for _, vm := range ev.VMs {
		if vm.VM != s.opts.Self.VM || !vm.Leaving || s.drain.leaving {
			continue
		}
		s.drain.leaving = true
		s.refuseNewWork()
	}
}

// refuseNewWork refuses all waiting attempts, which their owners may dispatch
// elsewhere, and reports the draining state to the listening entries.
func (s *Sidecar) refuseNewWork() {
	s.refuseAllWaiting(core.ReasonDraining, func(*attempt) bool { return true })
	s.sendReports(s.load())
}

// finishDrain emits core.Stopped once a requested shutdown is complete: no attempt is
// running, every result has been acknowledged or its grace period has ended, and ingress
// entries have had time to read the answers.
func (s *Sidecar) finishDrain() {
	d := &s.drain
	if !d.requested || d.stopped || len(s.queue.running) > 0 {
		return
	}
	if slices.ContainsFunc(s.table.unacked, s.mayBeAwaited) || s.mayHaveUnreadAnswers() {
		return
	}
	d.stopped = true
	s.check(invariant.Drain, len(s.queue.waiting) == 0, "stopped with %d calls waiting", len(s.queue.waiting))
	s.emit(core.Stopped{})
}

// mayBeAwaited reports whether an entry may still wait for an attempt's result.
func (s *Sidecar) mayBeAwaited(a *attempt) bool {
	wait := drainGrace
	if a.state == core.AttemptDone {
		wait = unackedRetention
	}
	return s.now.Sub(a.doneAt) < wait
}

// mayHaveUnreadAnswers reports whether an answer was finished or acknowledged so
// recently that its ingress may not have read it.
func (s *Sidecar) mayHaveUnreadAnswers() bool {
	return s.table.hasAnswers && s.now.Sub(s.table.lastAnswerActivity) < drainGrace
}
