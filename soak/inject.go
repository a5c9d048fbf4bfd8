package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// Faulty periods, in which faults of several kinds overlap, alternate with
// fault-free ones, in which programs make progress and so build up state that
// the next faults can destroy.
const (
	faultyPeriod    = 10 * core.Second
	faultFreePeriod = 14 * core.Second
)

// meanInterval is the mean time, counted in faulty periods only, between two
// injections of a kind. Faults of the other kinds are made by the callers or
// counted by the fakes.
var meanInterval = map[Fault]core.Duration{
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

// Probability of loss, of duplication and of delay of a message: baseLoss
// outside bursts of message faults, burstLoss within them.
const (
	baseLoss  = 0.002
	burstLoss = 0.05
)

// injector schedules the faults of a run.
type injector struct {
	cluster  *Cluster
	draining map[*sim.Node]bool
	// otherConversation is the latest conversation of otherProgram; a caller's
	// error may send it under another program.
	otherConversation []core.Block
	otherProgram      core.ProgramID
	scheduledPick     uint64
	hasScheduledPick  bool
	// stopped means that the random schedule, which began at startedAt, has been
	// ended.
	stopped   bool
	startedAt core.Instant
}

func newInjector(c *Cluster) *injector {
	return &injector{cluster: c, draining: map[*sim.Node]bool{}}
}

// start schedules the faults, at random or as Options.Schedule says.
func (j *injector) start() {
	j.startedAt = j.cluster.sim.Now()
	if j.cluster.opts.Schedule != nil {
		j.runSchedule()
		return
	}
	j.cluster.sim.SetLoss(baseLoss, baseLoss, baseLoss)
	for _, f := range Faults() {
		if mean, ok := meanInterval[f]; ok {
			j.scheduleNext(f, mean)
		}
	}
}

func (j *injector) scheduleNext(f Fault, mean core.Duration) {
	gap := core.Duration(j.cluster.sim.Rand().ExpFloat64() * float64(mean))
	j.cluster.sim.After(j.delayForFaultyTime(gap), func() {
		if j.stopped {
			return
		}
		j.inject(f)
		j.scheduleNext(f, mean)
	})
}

// delayForFaultyTime returns the time from now until faulty periods with a
// total duration of gap have passed.
func (j *injector) delayForFaultyTime(gap core.Duration) core.Duration {
	var wait core.Duration
	phase := j.cluster.sim.Now().Sub(j.startedAt) % (faultyPeriod + faultFreePeriod)
	if phase >= faultyPeriod {
		wait, phase = faultyPeriod+faultFreePeriod-phase, 0
	}
	remaining := faultyPeriod - phase
	for gap > remaining {
		wait += remaining + faultFreePeriod
		gap -= remaining
		remaining = faultyPeriod
	}
	return wait + gap
}

func (j *injector) runSchedule() {
	for _, in := range j.cluster.opts.Schedule {
		j.cluster.sim.After(in.After, func() {
			j.scheduledPick, j.hasScheduledPick = in.Pick, true
			j.inject(in.Fault)
			j.hasScheduledPick = false
		})
	}
}

// inject injects one fault. A fault that finds no node to act on is not counted.
func (j *injector) inject(f Fault) {
	if j.tryInject(f) {
		j.cluster.faults[f]++
		j.cluster.sim.AddToDigest(uint64(f), uint64(j.cluster.sim.Now()))
	}
}

func (j *injector) tryInject(f Fault) bool {
	switch f {
	case EntryKilled:
		return j.killAndRestart(j.chooseNode(core.RoleEntry))
	case SidecarKilled:
		return j.killAndRestart(j.chooseNode(core.RoleSidecar))
	case OwnerAndReplicaKilled:
		return j.killOwnerAndReplica()
	case EntryReplaced:
		return j.replaceEntry()
	case SidecarReplaced:
		return j.replaceSidecar()
	case TargetLeaving:
		return j.markLeaving()
	case StoreUnavailable:
		return j.makeStoreUnavailable()
	case StoreSlow:
		return j.slowStore()
	case CompareAndSwapResponseLost:
		return j.loseSwapResponses()
	case EntryPaused:
		return j.pauseNode(j.chooseNode(core.RoleEntry))
	case SidecarPaused:
		return j.pauseNode(j.chooseNode(core.RoleSidecar))
	case ConnectionUnresponsive:
		return j.stallConnection()
	case AllConnectionsUnresponsive:
		j.cluster.sim.BlackholeAllConnections(2 * core.Second)
		return true
	case DomainPartitioned:
		return j.partitionDomain()
	case MessageLost:
		return j.loseMessages()
	case ToolHung:
		return j.hangTool()
	case EngineHung:
		return j.hangEngine()
	case ConfigConflict:
		return j.applyConflictingConfigs()
	case StaleConfigDelivered:
		return j.deliverStaleConfig()
	case CacheEventLost:
		return j.disturbEngineReports()
	case EntryDrained:
		return j.drainNode(j.chooseNode(core.RoleEntry))
	case SidecarDrained:
		return j.drainNode(j.chooseNode(core.RoleSidecar))
	}
	return false
}

// chooseNumber returns a number below n, from the given schedule if the fault
// comes from one, else at random.
func (j *injector) chooseNumber(n int) int {
	if j.hasScheduledPick {
		v := int(j.scheduledPick % uint64(n))
		j.scheduledPick = j.scheduledPick/uint64(n) + 1
		return v
	}
	return j.cluster.sim.Rand().IntN(n)
}

// chooseDuration returns a random duration in [low, high).
func (j *injector) chooseDuration(low, high core.Duration) core.Duration {
	return low + j.cluster.sim.Rand().Int64N(high-low)
}

// chooseNode chooses among the nodes of a role those that run and are not
// draining. It returns nil if there are none.
func (j *injector) chooseNode(role core.VMRole) *sim.Node {
	var up []*sim.Node
	for _, n := range j.cluster.sim.Nodes() {
		if n.Role() == role && j.isKillable(n) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[j.chooseNumber(len(up))]
}
