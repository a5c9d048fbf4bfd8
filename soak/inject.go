package soak

import (
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
	EntryKilled:                3800 * core.Millisecond,
	SidecarKilled:              3800 * core.Millisecond,
	OwnerAndReplicaKilled:      1400 * core.Millisecond,
	EntryReplaced:              3800 * core.Millisecond,
	SidecarReplaced:            3800 * core.Millisecond,
	TargetLeaving:              3 * core.Second,
	StoreUnavailable:           3800 * core.Millisecond,
	StoreSlow:                  3800 * core.Millisecond,
	CompareAndSwapResponseLost: 4 * core.Second,
	EntryPaused:                3800 * core.Millisecond,
	SidecarPaused:              3800 * core.Millisecond,
	ConnectionUnresponsive:     3 * core.Second,
	AllConnectionsUnresponsive: 3800 * core.Millisecond,
	DomainPartitioned:          3800 * core.Millisecond,
	MessageLost:                2 * core.Second,
	ToolHung:                   2 * core.Second,
	EngineHung:                 1400 * core.Millisecond,
	ConfigConflict:             3 * core.Second,
	StaleConfigDelivered:       3 * core.Second,
	CacheEventLost:             1600 * core.Millisecond,
	EntryDrained:               3800 * core.Millisecond,
	SidecarDrained:             3800 * core.Millisecond,
}

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
		j.h.sim.AddToDigest(uint64(f), uint64(j.h.sim.Now()))
	}
}

func (j *injector) act(f Fault) bool {
	switch f {
	case EntryKilled:
		return j.kill(j.node(core.RoleEntry))
	case SidecarKilled:
		return j.kill(j.node(core.RoleSidecar))
	case OwnerAndReplicaKilled:
		return j.killPair()
	case EntryReplaced:
		return j.replaceEntry()
	case SidecarReplaced:
		return j.replaceSidecar()
	case TargetLeaving:
		return j.leave()
	case StoreUnavailable:
		return j.storeDown()
	case StoreSlow:
		return j.storeSlow()
	case CompareAndSwapResponseLost:
		return j.loseSwaps()
	case EntryPaused:
		return j.pauseNode(j.node(core.RoleEntry))
	case SidecarPaused:
		return j.pauseNode(j.node(core.RoleSidecar))
	case ConnectionUnresponsive:
		return j.silence()
	case AllConnectionsUnresponsive:
		j.h.sim.BlackholeAllConnections(2 * core.Second)
		return true
	case DomainPartitioned:
		return j.cut()
	case MessageLost:
		return j.burst()
	case ToolHung:
		return j.hangTool()
	case EngineHung:
		return j.hangEngine()
	case ConfigConflict:
		return j.conflict()
	case StaleConfigDelivered:
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
