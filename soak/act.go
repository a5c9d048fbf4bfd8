package soak

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// removalDelay is the time between marking a VM as leaving in the VM list and
// removing it.
const removalDelay = 15 * core.Second

// killAndRestart kills a process, which restarts on its VM soon after.
func (j *injector) killAndRestart(n *sim.Node) bool {
	if n == nil {
		return false
	}
	j.cluster.Kill(n)
	j.cluster.sim.After(j.chooseDuration(50*core.Millisecond, 1500*core.Millisecond), n.Start)
	return true
}

// killOwnerAndReplica kills a slot's owner and its first replica at the same
// instant.
func (j *injector) killOwnerAndReplica() bool {
	assignment, ok := j.cluster.assignment(core.SlotID(j.chooseNumber(slots)))
	if !ok || len(assignment.Replicas) == 0 {
		return false
	}
	ownerNode, replicaNode := j.cluster.sim.Node(assignment.Owner.Node.VM), j.cluster.sim.Node(assignment.Replicas[0].Node.VM)
	if ownerNode == nil || replicaNode == nil || !j.isKillable(ownerNode) || !j.isKillable(replicaNode) {
		return false
	}
	return j.killAndRestart(ownerNode) && j.killAndRestart(replicaNode)
}

// isKillable reports whether a process runs and is neither paused nor draining.
func (j *injector) isKillable(n *sim.Node) bool { return n.Running() && !n.Paused() && !j.draining[n] }

// Kill kills a process without restarting it.
func (c *Cluster) Kill(n *sim.Node) {
	c.obs.endIncarnation(n)
	n.Kill()
}

func (j *injector) replaceEntry() bool {
	n := j.chooseNode(core.RoleEntry)
	if n == nil {
		return false
	}
	n.Remove()
	j.cluster.sim.After(j.chooseDuration(200*core.Millisecond, 2*core.Second), func() { j.cluster.AddEntry(n.Domain()) })
	return true
}

func (j *injector) replaceSidecar() bool {
	n := j.chooseNode(core.RoleSidecar)
	if n == nil {
		return false
	}
	j.cluster.obs.endIncarnation(n)
	n.Remove()
	j.cluster.sim.After(j.chooseDuration(200*core.Millisecond, 2*core.Second), func() { j.cluster.AddSidecar(n.Domain(), n.Pool()) })
	return true
}

// markLeaving lists a sidecar's VM as leaving, adds a new one, and removes the
// old one after removalDelay.
func (j *injector) markLeaving() bool {
	n := j.chooseNode(core.RoleSidecar)
	if n == nil {
		return false
	}
	if _, already := j.cluster.obs.leavingSince[n.ID().VM]; already {
		return false
	}
	j.cluster.obs.leavingSince[n.ID().VM] = j.cluster.sim.Now()
	j.cluster.sim.VMs.MarkLeaving(n)
	j.cluster.AddSidecar(n.Domain(), n.Pool())
	j.cluster.sim.After(removalDelay, func() {
		j.cluster.obs.endIncarnation(n)
		n.Remove()
	})
	return true
}

func (j *injector) makeStoreUnavailable() bool {
	st := j.cluster.sim.Store
	st.SetDown(true)
	j.cluster.sim.After(j.chooseDuration(500*core.Millisecond, 3*core.Second), func() { st.SetDown(false) })
	return true
}

func (j *injector) slowStore() bool {
	st := j.cluster.sim.Store
	st.SetSlow(j.chooseDuration(100*core.Millisecond, 2*core.Second))
	j.cluster.sim.After(j.chooseDuration(500*core.Millisecond, 4*core.Second), func() { st.SetSlow(0) })
	return true
}

// loseSwapResponses makes the store lose half of the responses to
// compare-and-swaps for four seconds. The store counts the lost responses.
func (j *injector) loseSwapResponses() bool {
	st := j.cluster.sim.Store
	st.SetResponseLoss(0.5)
	j.cluster.sim.After(4*core.Second, func() { st.SetResponseLoss(0) })
	return true
}

// pauseNode pauses a process, mostly for longer than the time after which its
// peers suspect it.
func (j *injector) pauseNode(n *sim.Node) bool {
	if n == nil {
		return false
	}
	d := j.chooseDuration(500*core.Millisecond, 5*core.Second)
	n.Pause(d)
	j.cluster.obs.resumedAt[n.ID().VM] = j.cluster.sim.Now().Add(d)
	return true
}

func (j *injector) stallConnection() bool {
	a, b := j.chooseNode(core.RoleEntry), j.chooseNode(core.VMRole(j.chooseNumber(2)))
	if a == nil || b == nil || a == b {
		return false
	}
	j.cluster.sim.BlackholeConnection(a, b, j.chooseDuration(core.Second, 4*core.Second))
	return true
}

func (j *injector) partitionDomain() bool {
	d := domains[j.chooseNumber(len(domains))]
	j.cluster.sim.PartitionDomain(d)
	j.cluster.sim.After(j.chooseDuration(core.Second, 5*core.Second), func() { j.cluster.sim.HealDomain(d) })
	return true
}

func (j *injector) loseMessages() bool {
	j.cluster.sim.SetLoss(burstLoss, burstLoss, burstLoss)
	j.cluster.sim.After(core.Second, func() { j.cluster.sim.SetLoss(baseLoss, baseLoss, baseLoss) })
	return true
}

func (j *injector) hangTool() bool {
	n := j.chooseNode(core.RoleSidecar)
	if n == nil || j.cluster.tools[n.ID().VM] == nil {
		return false
	}
	t := j.cluster.tools[n.ID().VM]
	t.SetHang(0.5)
	j.cluster.sim.After(2*core.Second, func() { t.SetHang(0) })
	return true
}

func (j *injector) hangEngine() bool {
	n := j.chooseNode(core.RoleSidecar)
	if n == nil || j.cluster.engines[n.ID().VM] == nil {
		return false
	}
	e := j.cluster.engines[n.ID().VM]
	e.SetFaults(0, 0, 100*core.Millisecond, 0.5)
	j.cluster.sim.After(2*core.Second, func() { e.SetFaults(0, 0, 100*core.Millisecond, 0) })
	return true
}

// disturbEngineReports delays an engine's cache events and load reports, and
// loses some of the cache events.
func (j *injector) disturbEngineReports() bool {
	n := j.chooseNode(core.RoleSidecar)
	if n == nil || j.cluster.engines[n.ID().VM] == nil {
		return false
	}
	e := j.cluster.engines[n.ID().VM]
	e.SetFaults(3*core.Second, 0.3, 5*core.Second, 0)
	j.cluster.sim.After(5*core.Second, func() { e.SetFaults(0, 0, 100*core.Millisecond, 0) })
	return true
}

// applyConflictingConfigs makes two operators replace the same revision of the
// configuration's head. One compare-and-swap must succeed, and only that
// operator's configuration is distributed.
func (j *injector) applyConflictingConfigs() bool {
	st := j.cluster.sim.Store
	head := st.Get(core.ConfigHeadKey)
	won := 0
	for _, operator := range []string{"a", "b"} {
		value := fmt.Appendf(nil, "%d by %s", j.cluster.configGen+1, operator)
		if st.CompareAndSwap(0, core.ConfigHeadKey, head.Revision, value).Swapped {
			won++
		}
	}
	for range won {
		j.cluster.applyConfig()
	}
	return won == 1
}

// deliverStaleConfig delivers the previous generation to a node once more, as a
// delayed peer would.
func (j *injector) deliverStaleConfig() bool {
	n := j.chooseNode(core.VMRole(j.chooseNumber(2)))
	if n == nil || j.cluster.configGen < 2 {
		return false
	}
	old := j.cluster.configGen - 1
	n.Inject(core.ConfigApplied{Generation: old, Set: settings(old)})
	return true
}

// drainNode starts a graceful shutdown of a process and restarts it afterwards.
func (j *injector) drainNode(n *sim.Node) bool {
	if n == nil {
		return false
	}
	j.draining[n] = true
	incarnation := n.ID()
	restart := func() {
		delete(j.draining, n)
		j.cluster.sim.After(core.Second, n.Start)
	}
	n.Drain(restart)
	j.cluster.sim.After(45*core.Second, func() {
		if n.ID() == incarnation && n.Running() && j.draining[n] {
			j.cluster.drainTimeouts++
			j.cluster.Kill(n)
			restart()
		}
	})
	return true
}
