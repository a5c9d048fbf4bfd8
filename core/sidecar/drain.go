package sidecar

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// drainGrace is the shortest wait for the acknowledgement of a result, and for
// the edges to read the answers kept here, which takes them longer than their
// home's acknowledgement when the home has changed or cannot be reached: an
// edge repeats a forward every 16 seconds at the least. An answer that was not
// acknowledged is kept longer: a caller may have repeated its call.
const drainGrace = 20 * core.Second

// drain is the progress of a graceful shutdown.
type drain struct {
	// requested asks the process to stop; leaving says that the VM is leaving.
	requested bool
	leaving   bool
	stopped   bool
}

// refusing reports that no new work is accepted.
func (d *drain) refusing() bool { return d.requested || d.leaving }

// onDrain begins a graceful shutdown.
func (s *Sidecar) onDrain() {
	s.drain.requested = true
	s.refuseNewWork()
}

// onVMList stops new work when the VM is listed as leaving.
func (s *Sidecar) onVMList(ev core.VMList) {
	for _, vm := range ev.VMs {
		if vm.VM != s.opts.Self.VM || !vm.Leaving || s.drain.leaving {
			continue
		}
		s.drain.leaving = true
		s.refuseNewWork()
	}
}

// refuseNewWork hands the waiting calls back as not run and tells the entries.
func (s *Sidecar) refuseNewWork() {
	s.withdrawAll(core.ReasonDraining, func(*attempt) bool { return true })
	s.sendReports(s.load())
}

// finishDrain reports the end of a graceful shutdown: no attempt is at the
// target, and the results were acknowledged or had time to be.
func (s *Sidecar) finishDrain() {
	d := &s.drain
	if !d.requested || d.stopped || len(s.queue.running) > 0 {
		return
	}
	if slices.ContainsFunc(s.table.unacked, s.awaited) || s.unread() {
		return
	}
	d.stopped = true
	s.check(invariant.Drain, len(s.queue.waiting) == 0, "stopped with %d calls waiting", len(s.queue.waiting))
	s.emit(core.Stopped{})
}

// awaited reports whether an edge may still wait for an attempt's result.
func (s *Sidecar) awaited(a *attempt) bool {
	wait := drainGrace
	if a.state == core.AttemptDone {
		wait = unackedRetention
	}
	return s.now.Sub(a.doneAt) < wait
}

// unread reports whether an answer was finished or acknowledged so recently
// that its edge may not have read it.
func (s *Sidecar) unread() bool {
	return s.table.answered && s.now.Sub(s.table.answeredAt) < drainGrace
}
