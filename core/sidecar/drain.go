package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// drainGrace bounds the wait, after the last attempt has finished, for the
// acknowledgements of results whose answers are kept here.
const drainGrace = 10 * core.Second

// drain is the progress of a graceful shutdown.
type drain struct {
	// requested asks the process to stop; leaving says that the VM is leaving.
	requested bool
	leaving   bool
	stopped   bool
	// idleSince is when the last attempt had finished.
	idleSince core.Instant
	idle      bool
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
	if !d.idle {
		d.idle = true
		d.idleSince = s.now
	}
	if len(s.table.unacked) > 0 && s.now.Sub(d.idleSince) < drainGrace {
		return
	}
	d.stopped = true
	s.check(invariant.Drain, len(s.queue.waiting) == 0, "stopped with %d calls waiting", len(s.queue.waiting))
	s.emit(core.Stopped{})
}
