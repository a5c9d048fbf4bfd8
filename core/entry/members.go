package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// members is what an entry knows of the VMs and of the lives of processes.
type members struct {
	// self is this entry's VM, which no reading of the list declares dead.
	self  core.VM
	peers map[core.VM]*peer
	// lives holds the highest incarnation seen of each VM.
	lives map[core.VM]core.Incarnation
	// gone holds the VMs that were listed and no longer are.
	gone map[core.VM]bool
	// listed holds the VMs of the last reading of the list, taken at listedAt.
	listed   map[core.VM]core.VMInfo
	listedAt core.Instant
	// listLag bounds how late the list shows a new VM.
	listLag core.Duration
	// absent holds the first reading without a VM that this entry has never seen
	// listed and that some record names.
	absent map[core.VM]core.Instant
	// list says that the list was read at least once.
	list   bool
	beatAt core.Instant
	// round counts the rounds of heartbeats; the first goes to every peer.
	round uint64
	// ordered holds the peers by VM, or nil after one came or went.
	ordered []*peer
	// neighbours is the number of ring neighbours on each side, and near holds
	// the ring neighbours, or nil after a peer came or went.
	neighbours int
	near       map[core.VM]bool
	// shared counts the slots of which this entry's VM and a peer are members.
	shared map[core.VM]int
}

// peer is another entry.
type peer struct {
	node   core.Node
	domain core.Domain
	// heard is when the current life was last heard; zero for never.
	heard core.Instant
	// since is when the current life was first heard.
	since    core.Instant
	leaving  bool
	draining bool
	asked    core.Instant
	// owed is the time beyond the heartbeat period within which the peer owes its
	// next heartbeat.
	owed core.Duration
	// point is the peer's place on the ring.
	point uint64
	// greet says that the peer's life is new and gets a heartbeat at once.
	greet bool
	// close says that the peer got its last heartbeat at the full rate.
	close bool
}

func newMembers(self core.Node) members {
	return members{
		self:   self.VM,
		peers:  map[core.VM]*peer{},
		lives:  map[core.VM]core.Incarnation{self.VM: self.Inc},
		gone:   map[core.VM]bool{},
		listed: map[core.VM]core.VMInfo{},
		absent: map[core.VM]core.Instant{},
		shared: map[core.VM]int{},

		listLag:    defaultListLag,
		neighbours: ringNeighbours,
	}
}

// dead reports evidence that a life has ended: a later life of its VM was seen,
// its VM was listed and no longer is, or its VM is not listed for longer than
// the list lags. Silence is never evidence.
func (m *members) dead(n core.Node) bool {
	return m.gone[n.VM] || m.lives[n.VM] > n.Inc || m.unlisted(n.VM)
}

// unlisted reports whether readings of the list over its lag lack a VM. A VM
// that has ended before this life's first reading is known in no other way.
func (m *members) unlisted(vm core.VM) bool {
	if _, ok := m.listed[vm]; ok || !m.list || vm == m.self {
		return false
	}
	since, ok := m.absent[vm]
	if !ok {
		m.absent[vm] = m.listedAt
		return false
	}
	if m.listedAt.Sub(since) < m.listLag {
		return false
	}
	m.gone[vm] = true
	return true
}

// observe notes that a life was heard.
func (m *members) observe(n core.Node, now core.Instant) {
	if m.lives[n.VM] < n.Inc {
		m.lives[n.VM] = n.Inc
	}
	delete(m.absent, n.VM)
	p := m.peers[n.VM]
	if p == nil {
		return
	}
	if p.node != n {
		*p = peer{node: n, domain: p.domain, since: now, leaving: p.leaving, point: p.point, greet: true}
	}
	p.heard = now
}

// peer returns the record of an entry's VM, creating it if needed.
func (m *members) peer(vm core.VM) *peer {
	p := m.peers[vm]
	if p == nil {
		p = &peer{node: core.Node{VM: vm}, point: ringPoint(vm), greet: true}
		m.peers[vm] = p
		m.ordered = nil
	}
	return p
}

// sorted returns the peers by VM. The caller must not change the slice.
func (m *members) sorted() []*peer {
	if m.ordered == nil {
		m.near = nil
		m.ordered = slices.SortedFunc(maps.Values(m.peers), func(a, b *peer) int {
			return cmp.Compare(a.node.VM, b.node.VM)
		})
	}
	return m.ordered
}

// vmList takes in a reading of the platform's VM list.
func (e *Entry) vmList(vms []core.VMInfo) {
	m := &e.members
	next := make(map[core.VM]core.VMInfo, len(vms))
	for _, vm := range vms {
		next[vm.VM] = vm
	}
	for vm := range m.listed {
		if _, ok := next[vm]; !ok {
			m.gone[vm] = true
			delete(m.peers, vm)
			m.ordered = nil
			e.targets.remove(vm)
		}
	}
	m.listed = next
	m.listedAt = e.now
	m.list = true
	for _, vm := range vms {
		delete(m.absent, vm.VM)
		e.vmListed(vm)
	}
}

func (e *Entry) vmListed(vm core.VMInfo) {
	if vm.VM == e.self.VM {
		e.drain.leaving = vm.Leaving
		return
	}
	if e.members.gone[vm.VM] {
		return
	}
	if vm.Role == core.RoleSidecar {
		e.targets.listed(vm)
		return
	}
	p := e.members.peer(vm.VM)
	p.domain = vm.Domain
	p.leaving = vm.Leaving
}

// alive reports whether the peer's life was heard recently, judged against the
// heartbeats that it owes.
func (e *Entry) alive(p *peer) bool {
	return p.heard > 0 && e.now.Sub(p.heard) < e.times.suspect+p.owed
}

// silent reports whether a life has not been heard for the suspicion time. An
// unknown life is silent since the start.
func (e *Entry) silent(n core.Node) bool {
	return n != e.self && e.silence(n) >= e.times.suspect
}

// silence returns the time since a life was heard, less the time that it may
// take for its heartbeats beyond the period of the configuration.
func (e *Entry) silence(n core.Node) core.Duration {
	p := e.members.peers[n.VM]
	if p == nil || p.node != n || p.heard == 0 {
		return e.now.Sub(e.started)
	}
	return max(0, e.now.Sub(p.heard)-p.owed)
}

// leavingEntry reports whether an entry is draining or leaving.
func (e *Entry) leavingEntry(n core.Node) bool {
	if n == e.self {
		return e.drain.active()
	}
	p := e.members.peers[n.VM]
	return p != nil && (p.leaving || p.draining)
}

// heartbeat takes in a peer's heartbeat and asks for its slot map if the two
// maps differ.
func (e *Entry) heartbeat(from core.Node, h core.Heartbeat) {
	p := e.members.peer(from.VM)
	e.members.observe(from, e.now)
	p.domain = h.Domain
	p.draining = h.Draining
	p.owed = min(max(0, h.Period-e.times.heartbeat), maxOwed*e.times.heartbeat)
	if h.MapSum != e.mapSum && e.now.Sub(p.asked) >= e.times.heartbeat {
		p.asked = e.now
		e.send(from, core.SlotQuery{})
	}
}
