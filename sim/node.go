package sim

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Factory returns the reducer of a newly started process; self identifies its
// VM and incarnation.
type Factory func(self core.Node) core.Reducer

// Node is one VM with the process on it. Its ID has a new incarnation with each
// start of the process.
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

	running bool
	removed bool
	paused  bool
	// queuedEvents are the events that arrived during a pause.
	queuedEvents []core.Event

	requests map[uint64]*request
	nextReq  uint64

	target *targetHost
	// onStopped is called once when a graceful shutdown is complete.
	onStopped func()
}

// AddEntry adds an entry VM and starts its process.
func (s *Sim) AddEntry(vm core.VM, domain core.Domain, f Factory) *Node {
	n := &Node{id: core.Node{VM: vm}, domain: domain, role: core.RoleEntry, factory: f}
	return s.add(n)
}

// AddSidecar adds the VM of a target's sidecar and starts the sidecar's
// process.
func (s *Sim) AddSidecar(vm core.VM, domain core.Domain, pool core.Pool, t Target, f Factory) *Node {
	n := &Node{id: core.Node{VM: vm}, domain: domain, role: core.RoleSidecar, pool: pool, factory: f}
	n.target = &targetHost{node: n, target: t}
	return s.add(n)
}

func (s *Sim) add(n *Node) *Node {
	n.sim = s
	n.index = len(s.nodeOrder)
	s.nodes[n.id.VM] = n
	s.nodeOrder = append(s.nodeOrder, n)
	s.VMs.add(n)
	n.Start()
	return n
}

// ID returns the node's VM and current incarnation.
func (n *Node) ID() core.Node { return n.id }

// Domain returns the node's failure domain.
func (n *Node) Domain() core.Domain { return n.domain }

// Role returns the node's role.
func (n *Node) Role() core.VMRole { return n.role }

// Pool returns the pool of a sidecar's target.
func (n *Node) Pool() core.Pool { return n.pool }

// Running reports whether the process runs, paused or not.
func (n *Node) Running() bool { return n.running }

// Paused reports whether the process is paused.
func (n *Node) Paused() bool { return n.paused }

// Removed reports whether the VM was removed permanently.
func (n *Node) Removed() bool { return n.removed }

// Reducer returns the reducer of the current incarnation.
func (n *Node) Reducer() core.Reducer { return n.reducer }

// Start starts the process with the next incarnation, unless it is running
// already or the VM was removed.
func (n *Node) Start() {
	if n.running || n.removed {
		return
	}
	s := n.sim
	n.id.Inc++
	n.running = true
	n.paused = false
	n.queuedEvents = nil
	n.requests = map[uint64]*request{}
	n.nextReq = 0
	n.skew = 0
	if s.opts.ClockSkew > 0 {
		n.skew = s.rng.Int64N(2*s.opts.ClockSkew) - s.opts.ClockSkew
	}
	n.reducer = n.factory(n.id)
	if n.target != nil {
		n.target.reset()
	}
	s.sendConfig(n)
	s.VMs.sendPeriodically(n, n.id.Inc)
	s.Store.startWatch(n)
	n.scheduleTick(s.rng.Int64N(s.opts.Tick))
}

// Kill ends the process at once; its state is lost.
func (n *Node) Kill() {
	if !n.running {
		return
	}
	n.running = false
	n.paused = false
	n.queuedEvents = nil
	n.loseRequests()
	if n.target != nil {
		n.target.discard()
	}
}

// Remove removes the VM permanently: its process is killed, and the VM list omits
// the VM after the list's lag.
func (n *Node) Remove() {
	n.Kill()
	n.removed = true
	n.sim.VMs.remove(n)
}

// Pause suspends the process for a duration, as a hypervisor does. Events are
// queued and handled late, when the process resumes.
func (n *Node) Pause(d core.Duration) {
	if !n.running || n.paused {
		return
	}
	n.paused = true
	incarnation := n.id.Inc
	n.sim.After(d, func() { n.resume(incarnation) })
}

func (n *Node) resume(incarnation core.Incarnation) {
	if !n.running || n.id.Inc != incarnation || !n.paused {
		return
	}
	n.paused = false
	queued := n.queuedEvents
	n.queuedEvents = nil
	for _, ev := range queued {
		n.deliver(incarnation, ev)
	}
}

// Drain requests a graceful shutdown of the process; done is called when the
// shutdown is complete.
func (n *Node) Drain(done func()) {
	n.onStopped = done
	n.schedule(core.DrainRequested{})
}

// schedule schedules an event for the current incarnation now.
func (n *Node) schedule(ev core.Event) {
	n.sim.schedule(item{at: n.sim.now, node: n, incarnation: n.id.Inc, ev: ev})
}

func (n *Node) scheduleTick(d core.Duration) {
	n.sim.schedule(item{at: n.sim.now.Add(d), node: n, incarnation: n.id.Inc, ev: core.Tick{}})
}

// deliver passes an event to the reducer of an incarnation and runs the effects;
// an event for an ended incarnation is dropped.
func (n *Node) deliver(incarnation core.Incarnation, ev core.Event) {
	if !n.running || n.id.Inc != incarnation {
		return
	}
	_, tick := ev.(core.Tick)
	if tick {
		n.scheduleTick(n.sim.opts.Tick)
	}
	if n.paused {
		n.queueDuringPause(ev, tick)
		return
	}
	s := n.sim
	s.events++
	if s.opts.Hooks.Event != nil {
		s.opts.Hooks.Event(n, ev)
	}
	for _, e := range n.reducer.Step(ev, s.now.Add(n.skew)) {
		n.runEffect(e)
	}
}

// queueDuringPause queues an event that arrives during a pause. Ticks are not
// queued: a ticker fires once after a pause, not once for each missed period.
func (n *Node) queueDuringPause(ev core.Event, tick bool) {
	if tick {
		return
	}
	n.queuedEvents = append(n.queuedEvents, ev)
}

// runEffect executes one effect.
func (n *Node) runEffect(e core.Effect) {
	s := n.sim
	if s.opts.Hooks.Effect != nil {
		s.opts.Hooks.Effect(n, e)
	}
	switch e := e.(type) {
	case core.Send:
		s.net.send(n, e)
	case core.Reply:
		n.handleReply(e)
	case core.AttachStream:
		n.attachStream(e.Req, e.Attempt, e.Sidecar)
	case core.StoreGet:
		s.Store.get(n, e)
	case core.StoreRange:
		s.Store.scan(n, e)
	case core.StoreCompareAndSwap:
		s.Store.compareAndSwap(n, e)
	case core.Stopped:
		n.stopAfterTransfers()
	default:
		if n.target != nil {
			n.target.runEffect(e)
		}
	}
}

// transferPollPeriod is the period at which a stopping process checks whether
// transfers are still open.
const transferPollPeriod = 50 * core.Millisecond

// stopAfterTransfers ends the process after a graceful shutdown: once the reducer
// has stopped, the runtime completes the open transfers and exits.
func (n *Node) stopAfterTransfers() {
	incarnation := n.id.Inc
	if !n.running {
		return
	}
	if n.hasOpenTransfers() {
		n.sim.After(transferPollPeriod, func() {
			if n.id.Inc == incarnation {
				n.stopAfterTransfers()
			}
		})
		return
	}
	done := n.onStopped
	n.onStopped = nil
	n.Kill()
	if done != nil {
		done()
	}
}

// hasOpenTransfers reports whether a response of this ingress entry, or an answer
// read from this sidecar, is still in flight.
func (n *Node) hasOpenTransfers() bool {
	for _, r := range n.requests {
		if r.replied {
			return true
		}
	}
	if n.target == nil {
		return false
	}
	for _, ingress := range n.sim.nodeOrder {
		for _, r := range ingress.requests {
			if r.sidecar == n.id && r.answer == nil && n.target.answers[r.attempt] != nil {
				return true
			}
		}
	}
	return false
}

// Inject schedules an event for the current incarnation now, such as one from a
// faulty peer.
func (n *Node) Inject(ev core.Event) { n.schedule(ev) }

// Sim returns the simulation that the node belongs to.
func (n *Node) Sim() *Sim { return n.sim }
