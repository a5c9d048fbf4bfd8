package soak

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// Faults come in storms, in which they combine, with calm between them, in
// which programs get on and so have something to lose.
const (
	stormLength = 10 * core.Second
	calmLength  = 14 * core.Second
)

// meanBetween is the mean time of storm between two injections of each kind
// that is scheduled; the other kinds come from callers or are counted by the
// fakes.
var meanBetween = map[Fault]core.Duration{
	EntryKilled:          3800 * core.Millisecond,
	SidecarKilled:        3800 * core.Millisecond,
	HomeAndMirrorKilled:  1400 * core.Millisecond,
	EntryReplaced:        3800 * core.Millisecond,
	SidecarReplaced:      3800 * core.Millisecond,
	TargetLeaving:        3 * core.Second,
	StoreDown:            3800 * core.Millisecond,
	StoreSlow:            3800 * core.Millisecond,
	SwapAnswerLost:       4 * core.Second,
	HolderPaused:         3800 * core.Millisecond,
	SidecarPaused:        3800 * core.Millisecond,
	ConnectionSilent:     3 * core.Second,
	AllConnectionsSilent: 3800 * core.Millisecond,
	DomainCut:            3800 * core.Millisecond,
	MessageLost:          2 * core.Second,
	ToolHung:             2 * core.Second,
	EngineHung:           1400 * core.Millisecond,
	ConfigConflict:       3 * core.Second,
	ConfigLate:           3 * core.Second,
	CacheEventLost:       1600 * core.Millisecond,
	EntryDrained:         3800 * core.Millisecond,
	SidecarDrained:       3800 * core.Millisecond,
}

// leaveAfter is the time between the mark in the VM list and the VM's end.
const leaveAfter = 15 * core.Second

// Probabilities of network faults, outside and inside of bursts.
const (
	baseLoss  = 0.002
	burstLoss = 0.05
)

// injector schedules the faults of a run.
type injector struct {
	h        *Cluster
	draining map[*sim.Node]bool
	// foreign is the conversation of some other program.
	foreign   []core.Block
	foreignOf core.ProgramID
	pick      uint64
	picked    bool
	// stopped ends the random schedule, which has begun at an instant.
	stopped bool
	began   core.Instant
}

func newInjector(h *Cluster) *injector {
	return &injector{h: h, draining: map[*sim.Node]bool{}}
}

// start begins to inject, at random or by the given schedule.
func (j *injector) start() {
	j.began = j.h.sim.Now()
	if j.h.opts.Schedule != nil {
		j.follow()
		return
	}
	j.h.sim.SetLoss(baseLoss, baseLoss, baseLoss)
	for _, f := range Faults() {
		if mean, ok := meanBetween[f]; ok {
			j.plan(f, mean)
		}
	}
}

func (j *injector) plan(f Fault, mean core.Duration) {
	gap := core.Duration(j.h.sim.Rand().ExpFloat64() * float64(mean))
	j.h.sim.After(j.inStorm(gap), func() {
		if j.stopped {
			return
		}
		j.do(f)
		j.plan(f, mean)
	})
}

// inStorm returns the time until so much time of storm has passed.
func (j *injector) inStorm(gap core.Duration) core.Duration {
	var wait core.Duration
	phase := j.h.sim.Now().Sub(j.began) % (stormLength + calmLength)
	if phase >= stormLength {
		wait, phase = stormLength+calmLength-phase, 0
	}
	left := stormLength - phase
	for gap > left {
		wait += left + calmLength
		gap -= left
		left = stormLength
	}
	return wait + gap
}

func (j *injector) follow() {
	for _, in := range j.h.opts.Schedule {
		j.h.sim.After(in.After, func() {
			j.pick, j.picked = in.Pick, true
			j.do(in.Fault)
			j.picked = false
		})
	}
}

// do injects one fault; a fault that finds no node to hit is not counted.
func (j *injector) do(f Fault) {
	if j.act(f) {
		j.h.faults[f]++
		j.h.sim.Fold(uint64(f), uint64(j.h.sim.Now()))
	}
}

func (j *injector) act(f Fault) bool {
	switch f {
	case EntryKilled:
		return j.kill(j.node(core.RoleEntry))
	case SidecarKilled:
		return j.kill(j.node(core.RoleSidecar))
	case HomeAndMirrorKilled:
		return j.killPair()
	case EntryReplaced:
		return j.replaceEntry()
	case SidecarReplaced:
		return j.replaceSidecar()
	case TargetLeaving:
		return j.leave()
	case StoreDown:
		return j.storeDown()
	case StoreSlow:
		return j.storeSlow()
	case SwapAnswerLost:
		return j.loseSwaps()
	case HolderPaused:
		return j.pauseNode(j.node(core.RoleEntry))
	case SidecarPaused:
		return j.pauseNode(j.node(core.RoleSidecar))
	case ConnectionSilent:
		return j.silence()
	case AllConnectionsSilent:
		j.h.sim.SilenceAll(2 * core.Second)
		return true
	case DomainCut:
		return j.cut()
	case MessageLost:
		return j.burst()
	case ToolHung:
		return j.hangTool()
	case EngineHung:
		return j.hangEngine()
	case ConfigConflict:
		return j.conflict()
	case ConfigLate:
		return j.lateConfig()
	case CacheEventLost:
		return j.lateReports()
	case EntryDrained:
		return j.drain(j.node(core.RoleEntry))
	case SidecarDrained:
		return j.drain(j.node(core.RoleSidecar))
	}
	return false
}

// number draws a number below n, or takes it from the schedule.
func (j *injector) number(n int) int {
	if j.picked {
		v := int(j.pick % uint64(n))
		j.pick = j.pick/uint64(n) + 1
		return v
	}
	return j.h.sim.Rand().IntN(n)
}

// between draws a duration from a range.
func (j *injector) between(low, high core.Duration) core.Duration {
	return low + j.h.sim.Rand().Int64N(high-low)
}

// node chooses a node of a role that runs and is not stopping, or nil.
func (j *injector) node(role core.VMRole) *sim.Node {
	var up []*sim.Node
	for _, n := range j.h.sim.Nodes() {
		if n.Role() == role && j.killable(n) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[j.number(len(up))]
}

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
	if !ok || len(owner.Mirrors) == 0 {
		return false
	}
	home, mirror := j.h.sim.Node(owner.Home.Node.VM), j.h.sim.Node(owner.Mirrors[0].Node.VM)
	if home == nil || mirror == nil || !j.killable(home) || !j.killable(mirror) {
		return false
	}
	return j.kill(home) && j.kill(mirror)
}

// killable reports whether a process runs and is not stopping.
func (j *injector) killable(n *sim.Node) bool { return n.Up() && !n.Paused() && !j.draining[n] }

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
	n.Leave()
	j.h.sim.After(j.between(200*core.Millisecond, 2*core.Second), func() { j.h.AddEntry(n.Domain()) })
	return true
}

func (j *injector) replaceSidecar() bool {
	n := j.node(core.RoleSidecar)
	if n == nil {
		return false
	}
	j.h.obs.endLife(n)
	n.Leave()
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
	j.h.sim.VMs.Leaving(n)
	j.h.AddSidecar(n.Domain(), n.Pool())
	j.h.sim.After(leaveAfter, func() {
		j.h.obs.endLife(n)
		n.Leave()
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
	st.SetLostAnswers(0.5)
	j.h.sim.After(4*core.Second, func() { st.SetLostAnswers(0) })
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
	j.h.sim.Silence(a, b, j.between(core.Second, 4*core.Second))
	return true
}

func (j *injector) cut() bool {
	d := domains[j.number(len(domains))]
	j.h.sim.CutDomain(d)
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
		if st.Swap(0, core.ConfigHeadKey, head.Revision, value).Swapped {
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
		if n.ID() == life && n.Up() && j.draining[n] {
			j.h.drainTimeouts++
			j.h.Kill(n)
			restart()
		}
	})
	return true
}
