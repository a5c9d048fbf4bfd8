package recovery

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// failure is one kind of failure and how long the programs are watched.
type failure struct {
	name   string
	watch  core.Duration
	before core.Duration
	// arrange runs before the failure; nil means nothing.
	arrange func(t *trial)
	inject  func(t *trial)
}

// Times of the failures.
const (
	restartAfter = 1 * core.Second
	cutFor       = 20 * core.Second
	outage       = 3 * core.Minute
	killIn       = 1 * core.Minute
	pauseFor     = 10 * core.Second
	noticeAfter  = 2 * core.Second
	watchFor     = 45 * core.Second
)

// prepare arranges what has to stand before the failure and returns the time
// to let pass.
func (f failure) prepare(t *trial) core.Duration {
	if f.arrange == nil {
		return 0
	}
	f.arrange(t)
	return f.before
}

func failures() []failure {
	return []failure{
		{name: "entry killed, VM replaced", watch: watchFor, inject: killEntry(replaced)},
		{name: "entry killed, restart in place", watch: watchFor, inject: killEntry(restarted)},
		{name: "sidecar killed, restart in place", watch: watchFor, inject: killSidecar},
		{name: "failure domain cut off", watch: watchFor, inject: cutDomain},
		{
			name: "key-value service down, entry killed, restart in place", watch: outage, before: killIn,
			arrange: storeDown, inject: killEntry(restarted),
		},
		{
			name: "key-value service down, entry killed, VM replaced", watch: outage, before: killIn,
			arrange: storeDown, inject: killEntry(replaced),
		},
		{name: "holder paused beyond suspicion", watch: watchFor, inject: pauseHolder},
		{name: "all connections silent", watch: watchFor, inject: silenceAll},
	}
}

// node returns the first node of a role, in order of creation.
func (t *trial) node(role core.VMRole) *sim.Node {
	for _, n := range t.cluster.Sim().Nodes() {
		if n.Role() == role {
			return n
		}
	}
	return nil
}

// restarted starts a killed process again on its VM.
func restarted(t *trial, n *sim.Node) {
	t.cluster.Kill(n)
	t.cluster.Sim().After(restartAfter, n.Start)
}

// replaced ends the VM for good; another one takes its place.
func replaced(t *trial, n *sim.Node) {
	t.cluster.Kill(n)
	n.Remove()
	t.cluster.Sim().After(restartAfter, func() { t.cluster.AddEntry(n.Domain()) })
}

func killEntry(end func(*trial, *sim.Node)) func(*trial) {
	return func(t *trial) {
		n := t.node(core.RoleEntry)
		t.hitSlots(func(vm core.VM) bool { return vm == n.ID().VM })
		end(t, n)
	}
}

func killSidecar(t *trial) {
	n := t.node(core.RoleSidecar)
	for id := range t.cluster.ExecutingPrograms(n.ID().VM) {
		t.hit[id.Root()] = true
	}
	restarted(t, n)
}

func cutDomain(t *trial) {
	s := t.cluster.Sim()
	d := t.node(core.RoleEntry).Domain()
	t.hitSlots(func(vm core.VM) bool { return s.Node(vm) != nil && s.Node(vm).Domain() == d })
	s.PartitionDomain(d)
	s.After(cutFor, func() { s.HealDomain(d) })
}

func storeDown(t *trial) {
	s := t.cluster.Sim()
	s.Store.SetDown(true)
	s.After(outage, func() { s.Store.SetDown(false) })
}

func pauseHolder(t *trial) {
	n := t.node(core.RoleEntry)
	t.hitSlots(func(vm core.VM) bool { return vm == n.ID().VM })
	n.Pause(pauseFor)
}

func silenceAll(t *trial) {
	t.hitSlots(func(core.VM) bool { return true })
	t.cluster.Sim().BlackholeAllConnections(noticeAfter)
}
