package sim

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Times of the VM list.
const (
	// vmListPeriod is the period at which nodes read the list.
	vmListPeriod = 2 * core.Second
	// vmListRefresh is the period at which nodes read an unchanged list again.
	vmListRefresh = 5 * core.Second
	// vmListLag bounds the time by which the list lags behind the truth.
	vmListLag = 1 * core.Second
)

// VMRegistry is the fake VM list of the platform.
type VMRegistry struct {
	sim  *Sim
	list []core.VMInfo
	// changed is when the last change shows; changes show in order.
	changed core.Instant
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

// change applies an edit after the list's lag. Every node reads the new list
// within a period.
func (r *VMRegistry) change(edit func(), lag bool) {
	if !lag {
		edit()
		r.informAll()
		return
	}
	r.changed = max(r.changed, r.sim.now.Add(r.sim.rng.Int64N(vmListLag)))
	r.sim.At(r.changed, func() {
		edit()
		r.informAll()
	})
}

func (r *VMRegistry) informAll() {
	for _, n := range r.sim.order {
		r.informLater(n)
	}
}

func (r *VMRegistry) informLater(n *Node) {
	if n.gone {
		return
	}
	r.sim.After(r.sim.rng.Int64N(vmListPeriod), func() { r.inform(n) })
}

// refresh reads the list for a life again and again.
func (r *VMRegistry) refresh(n *Node, life core.Incarnation) {
	if !n.up || n.id.Inc != life {
		return
	}
	r.inform(n)
	r.sim.After(vmListRefresh, func() { r.refresh(n, life) })
}

// inform gives a node the present list.
func (r *VMRegistry) inform(n *Node) {
	if !n.up {
		return
	}
	ev := core.VMList{VMs: r.list}
	r.sim.schedule(item{at: r.sim.now, node: n, life: n.id.Inc, ev: ev})
}
