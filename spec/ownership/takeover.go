package ownership

import "fmt"

// eligible reports whether node i's image contains every write completed at
// version v.
func (m *Model) eligible(s *state, i, v uint8) bool {
	n := &s.Nodes[i]
	e := &s.Entries[v]
	place := e.place(s.life(i))
	if !n.HasImage {
		return false
	}
	if !m.Rules.Eligible {
		return true
	}
	return place >= 0 && n.Sync.V >= e.Members[place].Since
}

// claim makes node i home at the version it knows, without the key-value
// service: a member has died, and the node leaves it out.
func (m *Model) claim(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	v := n.Known
	e := &s.Entries[v]
	place := e.place(s.life(i))
	if place < 0 || int(s.Claims) >= m.Bounds.Claims || n.Promise.V > v || !m.eligible(s, i, v) {
		return
	}
	for _, left := range m.mayLeaveOut(s, i, e) {
		if m.needsClaim(n, e, place, left) {
			m.claimWithout(s, i, place, left, emit)
		}
	}
}

// needsClaim reports whether leaving members out changes anything, and whether
// a mirror that would become home leaves the old one out.
func (m *Model) needsClaim(n *node, e *entry, place int, left uint8) bool {
	if place > 0 && left&bit(e.Members[0].Life.N) == 0 {
		return false
	}
	return !n.Home || n.HomeE.V != n.Known || n.Required&left != 0
}

// claimWithout takes the next rank of the version that node i knows; its place
// in the entry makes the rank its own.
func (m *Model) claimWithout(s *state, i uint8, place int, left uint8, emit func(string, state)) {
	v := s.Nodes[i].Known
	e := &s.Entries[v]
	m.do(s, emit, fmt.Sprintf("node %d claims version %d without %03b", i, v, left), func(s *state) {
		s.Claims++
		n := &s.Nodes[i]
		n.Required = m.memberBits(e) &^ bit(i) &^ left
		if n.Home && n.HomeE.V == v && !m.Rules.FreshRank {
			return
		}
		rank := n.Promise.R + 1
		if n.Promise.V < v {
			rank = 1
		}
		for int(rank)%maxMembers != place {
			rank++
		}
		m.becomeHome(s, i, epoch{v, rank})
	})
}

// mayLeaveOut returns the sets of members that node i may leave out: the dead
// ones, or any single one if evidence is not asked for.
func (m *Model) mayLeaveOut(s *state, i uint8, e *entry) []uint8 {
	var dead uint8
	var sets []uint8
	for k := range e.Size {
		l := e.Members[k].Life
		if l.N == i {
			continue
		}
		if s.dead(l) {
			dead |= bit(l.N)
		}
		if !m.Rules.ConfirmedDead {
			sets = append(sets, bit(l.N))
		}
	}
	if dead != 0 {
		sets = append(sets, dead)
	}
	return sets
}

// becomeHome starts an epoch with a write of the whole image.
func (m *Model) becomeHome(s *state, i uint8, e epoch) {
	n := &s.Nodes[i]
	n.Home, n.Served = true, false
	n.HomeE, n.Promise = e, e
	n.Idx = 0
	n.HasImage = true
	m.startWrite(s, i)
}

// propose begins a change of the owner entry: the node promises the next
// version and asks the other members to.
func (m *Model) propose(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	v := n.Known
	next := epoch{V: v + 1}
	if int(v)+1 > m.Bounds.Versions || n.Swap != 0 || next.less(n.Promise) {
		return
	}
	if !m.eligible(s, i, v) && !m.forgotten(s, v) {
		return
	}
	m.do(s, emit, fmt.Sprintf("node %d proposes version %d", i, v+1), func(s *state) {
		n := &s.Nodes[i]
		n.Swap = v + 1
		n.Promises = 0
		n.Promise = next
		e := &s.Entries[v]
		for k := range e.Size {
			to := e.Members[k].Life
			if to.N != i && !s.dead(to) && e.Size > 2 {
				m.send(s, message{Kind: kindAskPromise, From: s.life(i), To: to, E: next})
			}
		}
	})
}

// forgotten reports whether no member of version v can have an image.
func (m *Model) forgotten(s *state, v uint8) bool {
	e := &s.Entries[v]
	for k := range e.Size {
		if !s.dead(e.Members[k].Life) {
			return false
		}
	}
	return true
}

// swap sends the compare-and-swap once enough members have promised.
func (m *Model) swap(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if n.Swap == 0 || int(s.Version) >= int(n.Swap) || !m.mayExclude(s, i, n.Swap-1) {
		return
	}
	for _, mirrors := range m.mirrorSets(i) {
		entry := m.newEntry(s, i, n.Swap, mirrors)
		m.do(s, emit, fmt.Sprintf("node %d sends the swap to version %d with mirrors %v", i, n.Swap, mirrors), func(s *state) {
			m.send(s, message{Kind: kindSwap, From: s.life(i), E: epoch{V: n.Swap}, Entry: entry})
		})
	}
}

// mayExclude reports whether at most one other member of version v is neither
// dead nor has promised to node i.
func (m *Model) mayExclude(s *state, i, v uint8) bool {
	if !m.Rules.OthersPromise {
		return true
	}
	e := &s.Entries[v]
	open := 0
	for k := range e.Size {
		l := e.Members[k].Life
		if l.N != i && !s.dead(l) && s.Nodes[i].Promises&bit(l.N) == 0 {
			open++
		}
	}
	return open <= 1
}

// mirrorSets returns the choices of mirrors for a home.
func (m *Model) mirrorSets(home uint8) [][]uint8 {
	var others []uint8
	for k := range m.Bounds.Nodes {
		if uint8(k) != home {
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

// newEntry returns the owner entry that node i proposes.
func (m *Model) newEntry(s *state, i, v uint8, mirrors []uint8) entry {
	old := &s.Entries[v-1]
	e := entry{Size: uint8(len(mirrors) + 1), Forgot: !m.eligible(s, i, v-1) || s.Nodes[i].Forgot}
	for k, n := range append([]uint8{i}, mirrors...) {
		l := s.life(n)
		since := v
		if at := old.place(l); at >= 0 {
			since = old.Members[at].Since
		}
		e.Members[k] = member{Life: l, Since: since}
	}
	return e
}

// readBack settles the node's proposal by reading the owner entry.
func (m *Model) readBack(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	v := n.Swap
	if v == 0 || s.Version < v {
		return
	}
	m.do(s, emit, fmt.Sprintf("node %d reads version %d back", i, s.Version), func(s *state) {
		n := &s.Nodes[i]
		n.Swap = 0
		n.Known = s.Version
		n.Home = false
		e := &s.Entries[v]
		if s.Version != v || e.Members[0].Life != s.life(i) || (epoch{V: v}).less(n.Promise) {
			return
		}
		n.Forgot = e.Forgot
		n.Required = m.memberBits(e) &^ bit(i)
		m.becomeHome(s, i, epoch{V: v})
	})
}

// learn passes the newest owner entry on to a node.
func (m *Model) learn(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if n.Known >= s.Version || n.Swap != 0 {
		return
	}
	m.do(s, emit, fmt.Sprintf("node %d learns version %d", i, s.Version), func(s *state) {
		n := &s.Nodes[i]
		n.Known = s.Version
		if n.HomeE.V < n.Known {
			n.Home = false
		}
	})
}

// crash ends a node's life and restarts it in place without memory.
func (m *Model) crash(s *state, i uint8, emit func(string, state)) {
	if int(s.Crashes) >= m.Bounds.Crashes {
		return
	}
	m.do(s, emit, fmt.Sprintf("node %d restarts", i), func(s *state) {
		s.Crashes++
		old := s.Nodes[i]
		s.Nodes[i] = node{Inc: old.Inc + 1, Known: old.Known}
	})
}

// targetCrash ends a sidecar's life and restarts it in place without memory.
func (m *Model) targetCrash(s *state, t uint8, emit func(string, state)) {
	if int(s.TargetCrashes) >= m.Bounds.TargetCrashes {
		return
	}
	m.do(s, emit, fmt.Sprintf("target %d restarts", t), func(s *state) {
		s.TargetCrashes++
		s.Targets[t] = target{Inc: s.Targets[t].Inc + 1}
	})
}

// mutantSteps are the steps that only exist when a rule is taken away.
func (m *Model) mutantSteps(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !m.Rules.ReadBackSwap && n.Swap != 0 {
		m.do(s, emit, fmt.Sprintf("node %d takes its swap as won", i), func(s *state) {
			n := &s.Nodes[i]
			e := epoch{V: n.Swap}
			n.Swap = 0
			n.Known = e.V
			n.Required = 0
			m.becomeHome(s, i, e)
		})
	}
	if m.Rules.QueryOutcome || !n.Home || !n.Served || n.Pending {
		return
	}
	for c := range m.Bounds.Calls {
		if n.Image[c].Phase != phaseTicket {
			continue
		}
		m.do(s, emit, fmt.Sprintf("home %d says not_run of call %d without asking", i, c), func(s *state) {
			s.Nodes[i].Image[c].Phase = phaseNotRun
			s.SaidNot[c] = true
			m.startWrite(s, i)
		})
	}
}
