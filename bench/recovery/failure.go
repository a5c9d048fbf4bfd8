package recovery

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// failure is one kind of failure. The programs are observed for watchTime after
// it.
type failure struct {
	name        string
	watchTime   core.Duration
	arrangeTime core.Duration
	// arrange, if not nil, is called before the failure, which follows after
	// arrangeTime.
	arrange func(t *trial)
	inject  func(t *trial)
}

// Durations of the failures, of their detection and of the observation.
const (
	restartDelay     = 1 * core.Second
	partitionTime    = 20 * core.Second
	outageTime       = 3 * core.Minute
	outageBeforeKill = 1 * core.Minute
	pauseTime        = 10 * core.Second
	detectionTime    = 2 * core.Second
	defaultWatchTime = 45 * core.Second
)

// prepare calls arrange and returns the time to wait before the failure.
func (f failure) prepare(t *trial) core.Duration {
	if f.arrange == nil {
		return 0
	}
	f.arrange(t)
	return f.arrangeTime
}

func failures() []failure {
	return []failure{
		{name: "entry killed, VM replaced", watchTime: defaultWatchTime, inject: killEntry(replaceVM)},
		{name: "entry killed, restart in place", watchTime: defaultWatchTime, inject: killEntry(restartInPlace)},
		{name: "sidecar killed, restart in place", watchTime: defaultWatchTime, inject: killSidecar},
		{name: "failure domain cut off", watchTime: defaultWatchTime, inject: partitionDomain},
		{
			name: "key-value service down, entry killed, restart in place", watchTime: outageTime, arrangeTime: outageBeforeKill,
			arrange: startStoreOutage, inject: killEntry(restartInPlace),
		},
		{
			name: "key-value service down, entry killed, VM replaced", watchTime: outageTime, arrangeTime: outageBeforeKill,
			arrange: startStoreOutage, inject: killEntry(replaceVM),
		},
		{name: "holder paused beyond suspicion", watchTime: defaultWatchTime, inject: pauseOwner},
		{name: "all connections silent", watchTime: defaultWatchTime, inject: blackholeAll},
	}
}

// firstNode returns the first node of a role in order of creation.
func (t *trial) firstNode(role core.VMRole) *sim.Node {
	for _, n := range t.cluster.Sim().Nodes() {
		if n.Role() == role {
			return n
		}
	}
	return nil
}

// restartInPlace kills a process and restarts it on its VM.
func restartInPlace(t *trial, n *sim.Node) {
	t.cluster.Kill(n)
	t.cluster.Sim().After(restartDelay, n.Start)
}

// replaceVM kills a process, removes its VM permanently and adds another one.
func replaceVM(t *trial, n *sim.Node) {
	t.cluster.Kill(n)
	n.Remove()
	t.cluster.Sim().After(restartDelay, func() { t.cluster.AddEntry(n.Domain()) })
}

func killEntry(end func(*trial, *sim.Node)) func(*trial) {
	return func(t *trial) {
		n := t.firstNode(core.RoleEntry)
		t.markAffected(func(vm core.VM) bool { return vm == n.ID().VM })
		end(t, n)
	}
}

func killSidecar(t *trial) {
	n := t.firstNode(core.RoleSidecar)
	for id := range t.cluster.ExecutingPrograms(n.ID().VM) {
		t.affected[id.Root()] = true
	}
	restartInPlace(t, n)
}

func partitionDomain(t *trial) {
	s := t.cluster.Sim()
	d := t.firstNode(core.RoleEntry).Domain()
	t.markAffected(func(vm core.VM) bool { return s.Node(vm) != nil && s.Node(vm).Domain() == d })
	s.PartitionDomain(d)
	s.After(partitionTime, func() { s.HealDomain(d) })
}

func startStoreOutage(t *trial) {
	s := t.cluster.Sim()
	s.Store.SetDown(true)
	s.After(outageTime, func() { s.Store.SetDown(false) })
}

func pauseOwner(t *trial) {
	n := t.firstNode(core.RoleEntry)
	t.markAffected(func(vm core.VM) bool { return vm == n.ID().VM })
	n.Pause(pauseTime)
}

func blackholeAll(t *trial) {
	t.markAffected(func(core.VM) bool { return true })
	t.cluster.Sim().BlackholeAllConnections(detectionTime)
}
