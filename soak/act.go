package soak

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// leaveAfter is the time between the mark in the VM list and the VM's end.
const leaveAfter = 15 * core.Second

// kill ends a process, which restarts in place soon after.
func (j *injector) kill(n *sim.Node) bool {
	if n == nil {
		return false
	}
	j.h.Kill(n)
	j.h.sim.After(j.between(50*core.Millisecond, 1500*core.Millisecond), n.Start)
	return true
}

// killPair ends the home of a slot and its first mirror at the same instant.
func (j *injector) killPair() bool {
	owner, ok := j.h.owner(core.SlotID(j.number(slots)))
	if !ok || len(owner.Replicas) == 0 {
		return false
	}
	home, mirror := j.h.sim.Node(owner.Owner.Node.VM), j.h.sim.Node(owner.Replicas[0].Node.VM)
	if home == nil || mirror == nil || !j.killable(home) || !j.killable(mirror) {
		return false
	}
	return j.kill(home) && j.kill(mirror)
}

// killable reports whether a process runs and is not stopping.
func (j *injector) killable(n *sim.Node) bool { return n.Running() && !n.Paused() && !j.draining[n] }

// Kill ends a process at once, without a restart.
func (h *Cluster) Kill(n *sim.Node) {
	h.obs.endLife(n)
	n.Kill()
}

func (j *injector) replaceEntry() bool {
	n := j.node(core.RoleEntry)
	if n == nil {
		return false
	}
	n.Remove()
	j.h.sim.After(j.between(200*core.Millisecond, 2*core.Second), func() { j.h.AddEntry(n.Domain()) })
	return true
}

func (j *injector) replaceSidecar() bool {
	n := j.node(core.RoleSidecar)
	if n == nil {
		return false
	}
	j.h.obs.endLife(n)
	n.Remove()
	j.h.sim.After(j.between(200*core.Millisecond, 2*core.Second), func() { j.h.AddSidecar(n.Domain(), n.Pool()) })
	return true
}

// leave lists a target as leaving, and ends its VM after a while.
func (j *injector) leave() bool {
	n := j.node(core.RoleSidecar)
	if n == nil {
		return false
	}
	if _, already := j.h.obs.leaving[n.ID().VM]; already {
		return false
	}
	j.h.obs.leaving[n.ID().VM] = j.h.sim.Now()
	j.h.sim.VMs.MarkLeaving(n)
	j.h.AddSidecar(n.Domain(), n.Pool())
	j.h.sim.After(leaveAfter, func() {
		j.h.obs.endLife(n)
		n.Remove()
	})
	return true
}

func (j *injector) storeDown() bool {
	st := j.h.sim.Store
	st.SetDown(true)
	j.h.sim.After(j.between(500*core.Millisecond, 3*core.Second), func() { st.SetDown(false) })
	return true
}

func (j *injector) storeSlow() bool {
	st := j.h.sim.Store
	st.SetSlow(j.between(100*core.Millisecond, 2*core.Second))
	j.h.sim.After(j.between(500*core.Millisecond, 4*core.Second), func() { st.SetSlow(0) })
	return true
}

// loseSwaps loses the answers of swaps for a while; the store counts them.
func (j *injector) loseSwaps() bool {
	st := j.h.sim.Store
	st.SetResponseLoss(0.5)
	j.h.sim.After(4*core.Second, func() { st.SetResponseLoss(0) })
	return true
}

// pauseNode stops a process for longer than the suspicion time, most times.
func (j *injector) pauseNode(n *sim.Node) bool {
	if n == nil {
		return false
	}
	d := j.between(500*core.Millisecond, 5*core.Second)
	n.Pause(d)
	j.h.obs.resumed[n.ID().VM] = j.h.sim.Now().Add(d)
	return true
}

func (j *injector) silence() bool {
	a, b := j.node(core.RoleEntry), j.node(core.VMRole(j.number(2)))
	if a == nil || b == nil || a == b {
		return false
	}
	j.h.sim.BlackholeConnection(a, b, j.between(core.Second, 4*core.Second))
	return true
}

func (j *injector) cut() bool {
	d := domains[j.number(len(domains))]
	j.h.sim.PartitionDomain(d)
	j.h.sim.After(j.between(core.Second, 5*core.Second), func() { j.h.sim.HealDomain(d) })
	return true
}

func (j *injector) burst() bool {
	j.h.sim.SetLoss(burstLoss, burstLoss, burstLoss)
	j.h.sim.After(core.Second, func() { j.h.sim.SetLoss(baseLoss, baseLoss, baseLoss) })
	return true
}

func (j *injector) hangTool() bool {
	n := j.node(core.RoleSidecar)
	if n == nil || j.h.tools[n.ID().VM] == nil {
		return false
	}
	t := j.h.tools[n.ID().VM]
	t.SetHang(0.5)
	j.h.sim.After(2*core.Second, func() { t.SetHang(0) })
	return true
}

func (j *injector) hangEngine() bool {
	n := j.node(core.RoleSidecar)
	if n == nil || j.h.engines[n.ID().VM] == nil {
		return false
	}
	e := j.h.engines[n.ID().VM]
	e.SetFaults(0, 0, 100*core.Millisecond, 0.5)
	j.h.sim.After(2*core.Second, func() { e.SetFaults(0, 0, 100*core.Millisecond, 0) })
	return true
}

// lateReports delays and loses an engine's cache events and delays its loads.
func (j *injector) lateReports() bool {
	n := j.node(core.RoleSidecar)
	if n == nil || j.h.engines[n.ID().VM] == nil {
		return false
	}
	e := j.h.engines[n.ID().VM]
	e.SetFaults(3*core.Second, 0.3, 5*core.Second, 0)
	j.h.sim.After(5*core.Second, func() { e.SetFaults(0, 0, 100*core.Millisecond, 0) })
	return true
}

// conflict lets two operators apply a configuration on top of the same head:
// one swap wins, and only the winner's set is put in force.
func (j *injector) conflict() bool {
	st := j.h.sim.Store
	head := st.Get(core.ConfigHeadKey)
	won := 0
	for _, operator := range []string{"a", "b"} {
		value := fmt.Appendf(nil, "%d by %s", j.h.configGen+1, operator)
		if st.CompareAndSwap(0, core.ConfigHeadKey, head.Revision, value).Swapped {
			won++
		}
	}
	for range won {
		j.h.apply()
	}
	return won == 1
}

// lateConfig delivers an old generation once more, as a slow relay would.
func (j *injector) lateConfig() bool {
	n := j.node(core.VMRole(j.number(2)))
	if n == nil || j.h.configGen < 2 {
		return false
	}
	old := j.h.configGen - 1
	n.Inject(core.ConfigApplied{Generation: old, Set: settings(old)})
	return true
}

// drain asks a process for a graceful shutdown; another life starts later.
func (j *injector) drain(n *sim.Node) bool {
	if n == nil {
		return false
	}
	j.draining[n] = true
	life := n.ID()
	restart := func() {
		delete(j.draining, n)
		j.h.sim.After(core.Second, n.Start)
	}
	n.Drain(restart)
	j.h.sim.After(45*core.Second, func() {
		if n.ID() == life && n.Running() && j.draining[n] {
			j.h.drainTimeouts++
			j.h.Kill(n)
			restart()
		}
	})
	return true
}
