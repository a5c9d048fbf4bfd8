package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// members tracks the listed VMs, the other entries and the incarnations of
// processes.
type members struct {
	// self is this entry's VM, which is never declared dead by a VM list.
	self  core.VM
	peers map[core.VM]*peer
	// latestInc holds the highest incarnation seen of each VM.
	latestInc map[core.VM]core.Incarnation
	// removed holds the VMs that were listed and no longer are.
	removed map[core.VM]bool
	// listed holds the VMs of the last fetched VM list, received at listedAt.
	listed   map[core.VM]core.VMInfo
	listedAt core.Instant
	// listLag bounds how long a new VM may be missing from the list.
	listLag core.Duration
	// unlistedSince maps a VM that this entry has never seen listed to the
	// arrival time of the first list that was checked for the VM and did not
	// contain it.
	unlistedSince map[core.VM]core.Instant
	// hasList is set once a VM list was received.
	hasList     bool
	heartbeatAt core.Instant
	// round counts the rounds of heartbeats; the first round includes every
	// peer.
	round uint64
	// ordered caches the peers sorted by VM. It is reset to nil when a peer is
	// added or removed.
	ordered []*peer
	// neighbours is the number of ring neighbours on each side. ringPeers
	// caches the ring neighbours. It is reset to nil when a peer is added or
	// removed.
	neighbours int
	ringPeers  map[core.VM]bool
	// sharedSlots maps another VM to the number of slots that have both that VM
	// and this entry's VM as members.
	sharedSlots map[core.VM]int
}

// peer is another entry.
type peer struct {
	node   core.Node
	domain core.Domain
	// lastHeard is when the current incarnation was last heard; zero for never.
	lastHeard core.Instant
	// firstHeard is when the current incarnation was first heard.
	firstHeard   core.Instant
	leaving      bool
	draining     bool
	mapQueriedAt core.Instant
	// extraInterval is the time, in addition to the heartbeat period, that may
	// pass until the peer's next heartbeat.
	extraInterval core.Duration
	// point is the peer's position on the ring.
	point uint64
	// isNew is set if the peer's incarnation is new and gets a heartbeat
	// immediately.
	isNew bool
	// fullRate is set if the peer's last heartbeat was sent at the full rate.
	fullRate bool
}

func newMembers(self core.Node) members {
	return members{
		self:          self.VM,
		peers:         map[core.VM]*peer{},
		latestInc:     map[core.VM]core.Incarnation{self.VM: self.Inc},
		removed:       map[core.VM]bool{},
		listed:        map[core.VM]core.VMInfo{},
		unlistedSince: map[core.VM]core.Instant{},
		sharedSlots:   map[core.VM]int{},

		listLag:    defaultListLag,
		neighbours: ringNeighbours,
	}
}

// confirmedDead reports whether an incarnation is known to have ended: a later
// incarnation of its VM was seen, its VM was listed and no longer is, or its VM
// has been missing from the list for longer than the list may lag. Missed
// heartbeats alone never confirm a death.
func (m *members) confirmedDead(n core.Node) bool {
	return m.removed[n.VM] || m.latestInc[n.VM] > n.Inc || m.missingBeyondLag(n.VM)
}

// missingBeyondLag reports whether a VM has been missing from the fetched lists
// for longer than the list may lag. It is the only way to confirm the death of a
// VM that ended before this incarnation received its first list.
func (m *members) missingBeyondLag(vm core.VM) bool {
	if _, ok := m.listed[vm]; ok || !m.hasList || vm == m.self {
		return false
	}
	since, ok := m.unlistedSince[vm]
	if !ok {
		m.unlistedSince[vm] = m.listedAt
		return false
	}
	if m.listedAt.Sub(since) < m.listLag {
		return false
	}
	m.removed[vm] = true
	return true
}

// recordHeard records that a message of an incarnation was received.
func (m *members) recordHeard(n core.Node, now core.Instant) {
	if m.latestInc[n.VM] < n.Inc {
		m.latestInc[n.VM] = n.Inc
	}
	delete(m.unlistedSince, n.VM)
	p := m.peers[n.VM]
	if p == nil {
		return
	}
	if p.node != n {
		*p = peer{node: n, domain: p.domain, firstHeard: now, leaving: p.leaving, point: p.point, isNew: true}
	}
	p.lastHeard = now
}

// peer returns the peer on an entry's VM, creating it if needed.
func (m *members) peer(vm core.VM) *peer {
	p := m.peers[vm]
	if p == nil {
		p = &peer{node: core.Node{VM: vm}, point: ringPoint(vm), isNew: true}
		m.peers[vm] = p
		m.ordered = nil
	}
	return p
}

// sorted returns the peers by VM. The slice must not be changed.
func (m *members) sorted() []*peer {
	if m.ordered == nil {
		m.ringPeers = nil
		m.ordered = slices.SortedFunc(maps.Values(m.peers), func(a, b *peer) int {
			return cmp.Compare(a.node.VM, b.node.VM)
		})
	}
	return m.ordered
}

// applyVMList applies a newly fetched VM list of the platform.
func (e *Entry) applyVMList(vms []core.VMInfo) {
	m := &e.members
	next := make(map[core.VM]core.VMInfo, len(vms))
	for _, vm := range vms {
		next[vm.VM] = vm
	}
	for vm := range m.listed {
		if _, ok := next[vm]; !ok {
			m.removed[vm] = true
			delete(m.peers, vm)
			m.ordered = nil
			e.targets.remove(vm)
		}
	}
	m.listed = next
	m.listedAt = e.now
	m.hasList = true
	for _, vm := range vms {
		delete(m.unlistedSince, vm.VM)
		e.applyVM(vm)
	}
}

func (e *Entry) applyVM(vm core.VMInfo) {
	if vm.VM == e.self.VM {
		e.drain.listedLeaving = vm.Leaving
		return
	}
	if e.members.removed[vm.VM] {
		return
	}
	if vm.Role == core.RoleSidecar {
		e.targets.applyVM(vm)
		return
	}
	p := e.members.peer(vm.VM)
	p.domain = vm.Domain
	p.leaving = vm.Leaving
}

// isAlive reports whether the peer's incarnation was heard recently, allowing
// for the heartbeat period that it announced.
func (e *Entry) isAlive(p *peer) bool {
	return p.lastHeard > 0 && e.now.Sub(p.lastHeard) < e.times.suspect+p.extraInterval
}

// isSuspected reports whether an incarnation has not been heard for the
// suspicion time.
func (e *Entry) isSuspected(n core.Node) bool {
	return n != e.self && e.sinceHeard(n) >= e.times.suspect
}

// sinceHeard returns the time since an incarnation was last heard, minus the
// peer's extraInterval. For an unknown incarnation it is the time since this
// entry started.
func (e *Entry) sinceHeard(n core.Node) core.Duration {
	p := e.members.peers[n.VM]
	if p == nil || p.node != n || p.lastHeard == 0 {
		return e.now.Sub(e.started)
	}
	return max(0, e.now.Sub(p.lastHeard)-p.extraInterval)
}

// isLeaving reports whether an entry is draining or leaving.
func (e *Entry) isLeaving(n core.Node) bool {
	if n == e.self {
		return e.drain.active()
	}
	p := e.members.peers[n.VM]
	return p != nil && (p.leaving || p.draining)
}

// handleHeartbeat records a peer's heartbeat and requests its slot map if the
// two maps differ.
func (e *Entry) handleHeartbeat(from core.Node, h core.Heartbeat) {
	p := e.members.peer(from.VM)
	e.members.recordHeard(from, e.now)
	p.domain = h.Domain
	p.draining = h.Draining
	p.extraInterval = min(max(0, h.Period-e.times.heartbeat), maxExtraHeartbeats*e.times.heartbeat)
	if h.MapSum != e.mapSum && e.now.Sub(p.mapQueriedAt) >= e.times.heartbeat {
		p.mapQueriedAt = e.now
		e.send(from, core.SlotQuery{})
	}
}
