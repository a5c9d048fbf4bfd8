package sim

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Factory makes the reducer of a new life.
type Factory func(self core.Node) core.Reducer

// Node is one VM with the process on it. Its identity changes with each life.
type Node struct {
	sim     *Sim
	id      core.Node
	domain  core.Domain
	role    core.VMRole
	pool    core.Pool
	factory Factory
	reducer core.Reducer
	index   int
	skew    core.Duration

	up     bool
	gone   bool
	paused bool
	// held are the events that arrived during a pause.
	held []core.Event

	requests map[uint64]*request
	nextReq  uint64

	target *targetRun
	// stopped is called once when a graceful shutdown is complete.
	stopped func()
}

// AddEntry adds an entry VM and starts its process.
func (s *Sim) AddEntry(vm core.VM, domain core.Domain, f Factory) *Node {
	n := &Node{id: core.Node{VM: vm}, domain: domain, role: core.RoleEntry, factory: f}
	return s.add(n)
}

// AddSidecar adds a sidecar VM beside a target and starts its process.
func (s *Sim) AddSidecar(vm core.VM, domain core.Domain, pool core.Pool, t Target, f Factory) *Node {
	n := &Node{id: core.Node{VM: vm}, domain: domain, role: core.RoleSidecar, pool: pool, factory: f}
	n.target = &targetRun{node: n, target: t}
	return s.add(n)
}

func (s *Sim) add(n *Node) *Node {
	n.sim = s
	n.index = len(s.order)
	s.nodes[n.id.VM] = n
	s.order = append(s.order, n)
	s.VMs.add(n)
	n.Start()
	return n
}

// ID returns the node's present life.
func (n *Node) ID() core.Node { return n.id }

// Domain returns the node's failure domain.
func (n *Node) Domain() core.Domain { return n.domain }

// Role returns the node's role.
func (n *Node) Role() core.VMRole { return n.role }

// Pool returns the pool of a sidecar's target.
func (n *Node) Pool() core.Pool { return n.pool }

// Running reports whether the process runs, paused or not.
func (n *Node) Running() bool { return n.up }

// Paused reports whether the process is paused.
func (n *Node) Paused() bool { return n.paused }

// Removed reports whether the VM has ended for good.
func (n *Node) Removed() bool { return n.gone }

// Reducer returns the reducer of the present life.
func (n *Node) Reducer() core.Reducer { return n.reducer }

// Start begins a new life with the next incarnation.
func (n *Node) Start() {
	if n.up || n.gone {
		return
	}
	s := n.sim
	n.id.Inc++
	n.up = true
	n.paused = false
	n.held = nil
	n.requests = map[uint64]*request{}
	n.nextReq = 0
	n.skew = 0
	if s.opts.ClockSkew > 0 {
		n.skew = s.rng.Int64N(2*s.opts.ClockSkew) - s.opts.ClockSkew
	}
	n.reducer = n.factory(n.id)
	if n.target != nil {
		n.target.newLife()
	}
	s.configure(n)
	s.VMs.refresh(n, n.id.Inc)
	s.Store.attach(n)
	n.scheduleTick(s.rng.Int64N(s.opts.Tick))
}

// Kill ends the process at once; its memory is lost.
func (n *Node) Kill() {
	if !n.up {
		return
	}
	n.up = false
	n.paused = false
	n.held = nil
	n.breakRequests()
	if n.target != nil {
		n.target.endLife()
	}
}

// Remove ends the VM for good: the process dies and the VM list drops the VM
// after its lag.
func (n *Node) Remove() {
	n.Kill()
	n.gone = true
	n.sim.VMs.remove(n)
}

// Pause stops the process for a while. Events wait; afterwards the process
// acts on them late, as a process does that the hypervisor stopped.
func (n *Node) Pause(d core.Duration) {
	if !n.up || n.paused {
		return
	}
	n.paused = true
	life := n.id.Inc
	n.sim.After(d, func() { n.resume(life) })
}

func (n *Node) resume(life core.Incarnation) {
	if !n.up || n.id.Inc != life || !n.paused {
		return
	}
	n.paused = false
	held := n.held
	n.held = nil
	for _, ev := range held {
		n.deliver(life, ev)
	}
}

// Drain asks the process for a graceful shutdown; done is called when it is
// complete.
func (n *Node) Drain(done func()) {
	n.stopped = done
	n.event(core.DrainRequested{})
}

// event delivers an event to the present life now.
func (n *Node) event(ev core.Event) {
	n.sim.schedule(item{at: n.sim.now, node: n, life: n.id.Inc, ev: ev})
}

func (n *Node) scheduleTick(d core.Duration) {
	n.sim.schedule(item{at: n.sim.now.Add(d), node: n, life: n.id.Inc, ev: core.Tick{}})
}

// deliver gives an event to the reducer of a life and runs its effects.
func (n *Node) deliver(life core.Incarnation, ev core.Event) {
	if !n.up || n.id.Inc != life {
		return
	}
	_, tick := ev.(core.Tick)
	if tick {
		n.scheduleTick(n.sim.opts.Tick)
	}
	if n.paused {
		n.hold(ev, tick)
		return
	}
	s := n.sim
	s.events++
	if s.opts.Hooks.Event != nil {
		s.opts.Hooks.Event(n, ev)
	}
	for _, e := range n.reducer.Step(ev, s.now.Add(n.skew)) {
		n.run(e)
	}
}

// hold keeps an event of a pause; a ticker fires once after a pause, not once
// for each missed period.
func (n *Node) hold(ev core.Event, tick bool) {
	if tick {
		return
	}
	n.held = append(n.held, ev)
}

// run executes one effect.
func (n *Node) run(e core.Effect) {
	s := n.sim
	if s.opts.Hooks.Effect != nil {
		s.opts.Hooks.Effect(n, e)
	}
	switch e := e.(type) {
	case core.Send:
		s.net.send(n, e)
	case core.Reply:
		n.reply(e)
	case core.AttachStream:
		n.attach(e.Req, e.Attempt, e.Sidecar)
	case core.StoreGet:
		s.Store.get(n, e)
	case core.StoreRange:
		s.Store.scan(n, e)
	case core.StoreCompareAndSwap:
		s.Store.swap(n, e)
	case core.Stopped:
		n.stop()
	default:
		if n.target != nil {
			n.target.run(e)
		}
	}
}

// lingerPeriod is the time between two looks of a stopping shell at the
// transfers that are still open.
const lingerPeriod = 50 * core.Millisecond

// stop ends the process after a graceful shutdown: once the reducer has
// stopped, the shell completes the transfers that are open and exits.
func (n *Node) stop() {
	life := n.id.Inc
	if !n.up {
		return
	}
	if n.transferring() {
		n.sim.After(lingerPeriod, func() {
			if n.id.Inc == life {
				n.stop()
			}
		})
		return
	}
	done := n.stopped
	n.stopped = nil
	n.Kill()
	if done != nil {
		done()
	}
}

// transferring reports whether a response of this edge, or an answer read from
// this sidecar, is still on its way.
func (n *Node) transferring() bool {
	for _, r := range n.requests {
		if r.replied {
			return true
		}
	}
	if n.target == nil {
		return false
	}
	for _, edge := range n.sim.order {
		for _, r := range edge.requests {
			if r.sidecar == n.id && r.answer == nil && n.target.answers[r.attempt] != nil {
				return true
			}
		}
	}
	return false
}

// Inject delivers an event to the present life now, as a faulty peer would.
func (n *Node) Inject(ev core.Event) { n.event(ev) }

// Sim returns the run that the node belongs to.
func (n *Node) Sim() *Sim { return n.sim }
