package sim

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Delays and periods of the VM list.
const (
	// vmListMaxReadDelay bounds the time until a node reads a changed list.
	vmListMaxReadDelay = 2 * core.Second
	// vmListRefreshPeriod is the period at which nodes read an unchanged list again.
	vmListRefreshPeriod = 5 * core.Second
	// vmListLag bounds the time until the list shows a change.
	vmListLag = 1 * core.Second
)

// VMRegistry is the fake VM list of the platform.
type VMRegistry struct {
	sim  *Sim
	list []core.VMInfo
	// lastChange is the instant at which the latest change becomes visible.
	// Changes become visible in the order in which they were made.
	lastChange core.Instant
}

func newVMRegistry(s *Sim) *VMRegistry { return &VMRegistry{sim: s} }

// List returns the list as the platform shows it now.
func (r *VMRegistry) List() []core.VMInfo { return r.list }

func (r *VMRegistry) add(n *Node) {
	info := core.VMInfo{VM: n.id.VM, Domain: n.domain, Role: n.role, Pool: n.pool}
	r.change(func() { r.list = append(slices.Clone(r.list), info) }, r.sim.now > start)
}

func (r *VMRegistry) remove(n *Node) {
	r.change(func() {
		r.list = slices.DeleteFunc(slices.Clone(r.list), func(v core.VMInfo) bool { return v.VM == n.id.VM })
	}, true)
}

// MarkLeaving marks a VM as leaving.
func (r *VMRegistry) MarkLeaving(n *Node) {
	r.change(func() {
		r.list = slices.Clone(r.list)
		for i := range r.list {
			if r.list[i].VM == n.id.VM {
				r.list[i].Leaving = true
			}
		}
	}, true)
}

// change edits the list, after a random time below vmListLag if delayed is
// true. Every node reads the edited list within vmListMaxReadDelay.
func (r *VMRegistry) change(edit func(), delayed bool) {
	if !delayed {
		edit()
		r.scheduleSendAll()
		return
	}
	r.lastChange = max(r.lastChange, r.sim.now.Add(r.sim.rng.Int64N(vmListLag)))
	r.sim.At(r.lastChange, func() {
		edit()
		r.scheduleSendAll()
	})
}

func (r *VMRegistry) scheduleSendAll() {
	for _, n := range r.sim.nodeOrder {
		r.scheduleSend(n)
	}
}

func (r *VMRegistry) scheduleSend(n *Node) {
	if n.removed {
		return
	}
	r.sim.After(r.sim.rng.Int64N(vmListMaxReadDelay), func() { r.send(n) })
}

// sendPeriodically sends the list to an incarnation of a node periodically.
func (r *VMRegistry) sendPeriodically(n *Node, incarnation core.Incarnation) {
	if !n.running || n.id.Inc != incarnation {
		return
	}
	r.send(n)
	r.sim.After(vmListRefreshPeriod, func() { r.sendPeriodically(n, incarnation) })
}

// send sends a node the current list.
func (r *VMRegistry) send(n *Node) {
	if !n.running {
		return
	}
	ev := core.VMList{VMs: r.list}
	r.sim.schedule(item{at: r.sim.now, node: n, incarnation: n.id.Inc, ev: ev})
}
