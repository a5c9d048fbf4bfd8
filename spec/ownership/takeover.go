package ownership

import "fmt"

// isEligible reports whether node i's snapshot contains every write completed at
// version v.
func (m *Model) isEligible(s *state, i, v uint8) bool {
	n := &s.Nodes[i]
	a := &s.Assignments[v]
	position := a.position(s.incarnation(i))
	if !n.HasSnapshot {
		return false
	}
	if !m.Rules.Eligible {
		return true
	}
	return position >= 0 && n.WriteEpoch.Version >= a.Members[position].Since
}

// claim makes node i the owner at the version that it knows, without the
// key-value service: a member has died, and the node excludes it.
func (m *Model) claim(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	v := n.KnownVersion
	a := &s.Assignments[v]
	position := a.position(s.incarnation(i))
	if position < 0 || int(s.Claims) >= m.Bounds.Claims || n.Promise.Version > v || !m.isEligible(s, i, v) {
		return
	}
	for _, excluded := range m.excludableSets(s, i, a) {
		if m.isUsefulClaim(n, a, position, excluded) {
			m.claimWithout(s, i, position, excluded, emit)
		}
	}
}

// isUsefulClaim reports whether excluding members changes anything. A replica
// that would become the owner must also exclude the old owner.
func (m *Model) isUsefulClaim(n *node, a *assignment, position int, excluded uint8) bool {
	if position > 0 && excluded&bit(a.Members[0].Incarnation.N) == 0 {
		return false
	}
	return !n.IsOwner || n.OwnerEpoch.Version != n.KnownVersion || n.Required&excluded != 0
}

// claimWithout takes the next rank of node i's known version. Ranks are divided
// among the members by position, so that no other member takes the same one.
func (m *Model) claimWithout(s *state, i uint8, position int, excluded uint8, emit func(string, state)) {
	v := s.Nodes[i].KnownVersion
	a := &s.Assignments[v]
	m.step(s, emit, fmt.Sprintf("node %d claims version %d without %03b", i, v, excluded), func(s *state) {
		s.Claims++
		n := &s.Nodes[i]
		n.Required = m.memberBits(a) &^ bit(i) &^ excluded
		if n.IsOwner && n.OwnerEpoch.Version == v && !m.Rules.FreshRank {
			return
		}
		rank := n.Promise.Rank + 1
		if n.Promise.Version < v {
			rank = 1
		}
		for int(rank)%maxMembers != position {
			rank++
		}
		m.becomeOwner(s, i, epoch{v, rank})
	})
}

// excludableSets returns the sets of members that node i may exclude: the set of
// all dead members and, without the rule ConfirmedDead, any single member.
func (m *Model) excludableSets(s *state, i uint8, a *assignment) []uint8 {
	var dead uint8
	var sets []uint8
	for k := range a.Size {
		inc := a.Members[k].Incarnation
		if inc.N == i {
			continue
		}
		if s.isDead(inc) {
			dead |= bit(inc.N)
		}
		if !m.Rules.ConfirmedDead {
			sets = append(sets, bit(inc.N))
		}
	}
	if dead != 0 {
		sets = append(sets, dead)
	}
	return sets
}

// becomeOwner starts an epoch with a write of the complete snapshot.
func (m *Model) becomeOwner(s *state, i uint8, e epoch) {
	n := &s.Nodes[i]
	n.IsOwner, n.IsReady = true, false
	n.OwnerEpoch, n.Promise = e, e
	n.LastIndex = 0
	n.HasSnapshot = true
	m.startWrite(s, i)
}

// propose starts a change of the assignment: the node promises the next version
// and requests the same promise from the other members.
func (m *Model) propose(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	v := n.KnownVersion
	next := epoch{Version: v + 1}
	if int(v)+1 > m.Bounds.Versions || n.Proposed != 0 || next.less(n.Promise) {
		return
	}
	if !m.isEligible(s, i, v) && !m.isStateLost(s, v) {
		return
	}
	m.step(s, emit, fmt.Sprintf("node %d proposes version %d", i, v+1), func(s *state) {
		n := &s.Nodes[i]
		n.Proposed = v + 1
		n.Promises = 0
		n.Promise = next
		a := &s.Assignments[v]
		for k := range a.Size {
			to := a.Members[k].Incarnation
			if to.N != i && !s.isDead(to) && a.Size > 2 {
				m.send(s, message{Kind: kindPromiseRequest, From: s.incarnation(i), To: to, Epoch: next})
			}
		}
	})
}

// isStateLost reports whether all members of version v are dead, so that none has
// the slot's state.
func (m *Model) isStateLost(s *state, v uint8) bool {
	a := &s.Assignments[v]
	for k := range a.Size {
		if !s.isDead(a.Members[k].Incarnation) {
			return false
		}
	}
	return true
}

// sendSwap sends the compare-and-swap once enough members have promised.
func (m *Model) sendSwap(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if n.Proposed == 0 || int(s.Version) >= int(n.Proposed) || !m.mayExclude(s, i, n.Proposed-1) {
		return
	}
	for _, replicas := range m.replicaSets(i) {
		proposed := m.newAssignment(s, i, n.Proposed, replicas)
		m.step(s, emit, fmt.Sprintf("node %d sends the compare-and-swap to version %d with replicas %v", i, n.Proposed, replicas), func(s *state) {
			m.send(s, message{Kind: kindSwap, From: s.incarnation(i), Epoch: epoch{Version: n.Proposed}, Assignment: proposed})
		})
	}
}

// mayExclude reports whether node i may remove members from the assignment of
// version v: at most one other member of it is alive and has not promised to i.
func (m *Model) mayExclude(s *state, i, v uint8) bool {
	if !m.Rules.OthersPromise {
		return true
	}
	a := &s.Assignments[v]
	unaccounted := 0
	for k := range a.Size {
		inc := a.Members[k].Incarnation
		if inc.N != i && !s.isDead(inc) && s.Nodes[i].Promises&bit(inc.N) == 0 {
			unaccounted++
		}
	}
	return unaccounted <= 1
}

// replicaSets returns the possible sets of replicas for an owner.
func (m *Model) replicaSets(owner uint8) [][]uint8 {
	var others []uint8
	for k := range m.Bounds.Nodes {
		if uint8(k) != owner {
			others = append(others, uint8(k))
		}
	}
	var sets [][]uint8
	for a := range others {
		if m.Bounds.Members == 2 {
			sets = append(sets, []uint8{others[a]})
			continue
		}
		for b := a + 1; b < len(others); b++ {
			sets = append(sets, []uint8{others[a], others[b]})
		}
	}
	return sets
}

// newAssignment returns the assignment that node i proposes.
func (m *Model) newAssignment(s *state, i, v uint8, replicas []uint8) assignment {
	old := &s.Assignments[v-1]
	a := assignment{Size: uint8(len(replicas) + 1), StateLost: !m.isEligible(s, i, v-1) || s.Nodes[i].StateLost}
	for k, n := range append([]uint8{i}, replicas...) {
		inc := s.incarnation(n)
		since := v
		if at := old.position(inc); at >= 0 {
			since = old.Members[at].Since
		}
		a.Members[k] = member{Incarnation: inc, Since: since}
	}
	return a
}

// readBack settles the node's proposal by reading the assignment.
func (m *Model) readBack(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	v := n.Proposed
	if v == 0 || s.Version < v {
		return
	}
	m.step(s, emit, fmt.Sprintf("node %d reads version %d back", i, s.Version), func(s *state) {
		n := &s.Nodes[i]
		n.Proposed = 0
		n.KnownVersion = s.Version
		n.IsOwner = false
		a := &s.Assignments[v]
		if s.Version != v || a.Members[0].Incarnation != s.incarnation(i) || (epoch{Version: v}).less(n.Promise) {
			return
		}
		n.StateLost = a.StateLost
		n.Required = m.memberBits(a) &^ bit(i)
		m.becomeOwner(s, i, epoch{Version: v})
	})
}

// receiveVersion delivers the newest version of the assignment to a node.
func (m *Model) receiveVersion(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if n.KnownVersion >= s.Version || n.Proposed != 0 {
		return
	}
	m.step(s, emit, fmt.Sprintf("node %d receives version %d", i, s.Version), func(s *state) {
		n := &s.Nodes[i]
		n.KnownVersion = s.Version
		if n.OwnerEpoch.Version < n.KnownVersion {
			n.IsOwner = false
		}
	})
}

// restartNode replaces a node with its next incarnation, which has lost its
// state.
func (m *Model) restartNode(s *state, i uint8, emit func(string, state)) {
	if int(s.Crashes) >= m.Bounds.Crashes {
		return
	}
	m.step(s, emit, fmt.Sprintf("node %d restarts", i), func(s *state) {
		s.Crashes++
		old := s.Nodes[i]
		s.Nodes[i] = node{Inc: old.Inc + 1, KnownVersion: old.KnownVersion}
	})
}

// restartTarget replaces a sidecar with its next incarnation, which has lost its
// state.
func (m *Model) restartTarget(s *state, t uint8, emit func(string, state)) {
	if int(s.TargetCrashes) >= m.Bounds.TargetCrashes {
		return
	}
	m.step(s, emit, fmt.Sprintf("target %d restarts", t), func(s *state) {
		s.TargetCrashes++
		s.Targets[t] = target{Inc: s.Targets[t].Inc + 1}
	})
}

// mutantSteps emits the steps that are possible only when a rule is removed.
func (m *Model) mutantSteps(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !m.Rules.ReadBackSwap && n.Proposed != 0 {
		m.step(s, emit, fmt.Sprintf("node %d assumes that its compare-and-swap succeeded", i), func(s *state) {
			n := &s.Nodes[i]
			e := epoch{Version: n.Proposed}
			n.Proposed = 0
			n.KnownVersion = e.Version
			n.Required = 0
			m.becomeOwner(s, i, e)
		})
	}
	if m.Rules.QueryOutcome || !n.IsOwner || !n.IsReady || n.WritePending {
		return
	}
	for c := range m.Bounds.Calls {
		if n.Snapshot[c].Phase != phaseDispatched {
			continue
		}
		m.step(s, emit, fmt.Sprintf("owner %d reports not_run for call %d without a query", i, c), func(s *state) {
			s.Nodes[i].Snapshot[c].Phase = phaseNotRun
			s.ReportedNotRun[c] = true
			m.startWrite(s, i)
		})
	}
}
