// Package ledger is a model of the ledger's quorums under membership changes: members
// are added, replaced and removed, disks are lost one after the other, and writers and
// members use stale views. A view is one version of the membership; a member's entry in
// it is its seat. One record is written. Invariant: once it is acknowledged, no quorum
// may ever report that it does not exist.
//
// The model assumes that a writer's attempt ends when a member that acknowledged it
// loses its disk, because the connection to that member ends too.
package ledger

import (
	"errors"
	"fmt"
	"math/bits"
)

// maxMembers bounds the VMs that ever have a seat, maxViews the number of views.
const (
	maxMembers = 6
	maxViews   = 6
)

// Rules are the rules of the protocol. A test disables one at a time to show that the
// invariant depends on it.
type Rules struct {
	// RejectStaleWriters rejects writers that use an older view.
	RejectStaleWriters bool
	// OnlyReadyCount counts a member towards a quorum only if it is ready, that is, if it
	// has copied from enough others.
	OnlyReadyCount bool
	// EnoughSources makes a member copy from enough others to intersect every quorum.
	EnoughSources bool
	// SameView copies only from members that use the same view.
	SameView bool
	// HandOverBeforeRemoval copies the records of each remaining member to all
	// remaining members before a member is removed.
	HandOverBeforeRemoval bool
	// OthersHaveLatestView removes a member only when all others use the latest view, so
	// that writers with older views can no longer reach a quorum.
	OthersHaveLatestView bool
	// NewMembersRecover treats a member that gets a seat as lacking records.
	NewMembersRecover bool
	// CountAfterCopying adds a seat in two steps: at first its member stores what is
	// written and copies from the others, without counting in the size of a quorum or of the
	// sources of a copy. It counts from a second change of the view, once it has copied.
	// While fewer seats count than the loss of DisksLost disks requires, a seat counts at
	// once: a member with an empty disk could otherwise recover under the first view from
	// members that all lack what was written under the second one.
	CountAfterCopying bool
	// SourcesBeforeReplacement replaces a member only while enough others are ready for the new
	// one to copy from.
	SourcesBeforeReplacement bool
	// MarkBeforeCounting marks a member's disk as complete before its seat begins to count. A
	// member that ends just then needs no other one to copy from.
	MarkBeforeCounting bool
	// SettleFewSeats changes the seats that count, while fewer do than the loss of DisksLost disks
	// requires, only once the view is settled.
	SettleFewSeats bool
	// ConfirmView copies from fewer members in a settled view only if that view still is the
	// latest once the member has copied.
	ConfirmView bool
}

// AllRules returns Rules with every rule of the implementation enabled.
func AllRules() Rules {
	return Rules{
		RejectStaleWriters: true, OnlyReadyCount: true, EnoughSources: true, SameView: true, HandOverBeforeRemoval: true,
		OthersHaveLatestView: true, NewMembersRecover: true, CountAfterCopying: true, SourcesBeforeReplacement: true,
		MarkBeforeCounting: true, SettleFewSeats: true, ConfirmView: true,
	}
}

// Bounds limit the size of an exploration.
type Bounds struct {
	// Members have seats at the start; Spares are further VMs that may get one.
	Members, Spares int
	// DisksLost bounds the disks lost at the same time, Wipes those lost in total.
	DisksLost, Wipes int
	// Views bounds the number of views.
	Views int
	// WipesWhileAdding also loses disks while a member that has been added has not copied
	// yet, and demands that the members can copy from each other whenever no more than
	// DisksLost disks have been lost.
	WipesWhileAdding bool
}

// mask is a set of members.
type mask uint8

func (m mask) has(i int) bool       { return m&(1<<i) != 0 }
func (m mask) with(i int) mask      { return m | 1<<i }
func (m mask) without(i int) mask   { return m &^ (1 << i) }
func (m mask) count() int           { return bits.OnesCount8(uint8(m)) }
func (m mask) minus(o mask) mask    { return m &^ o }
func (m mask) contains(o mask) bool { return o&^m == 0 }

// state is one state of the model. The current view in the store is views[latest].
type state struct {
	// views lists the members with seats in each view, without those in joining, whose seats
	// do not count yet.
	views, joining [maxViews]mask
	latest         uint8
	// settled is the set of views in which each member whose seat counts had the records of all
	// earlier views at some time.
	settled mask
	// added is the set of members that have not copied since they were added. Their empty
	// disks are none of those lost.
	added mask
	// marked is the set of members that have ended while their seats began to count, and will
	// be ready once they use a view in which they do.
	marked mask
	// memberView is the index of the view that each member uses.
	memberView [maxMembers]uint8
	// hasRecord is the set of members that have the record. ready is the set of
	// members that count towards a quorum.
	hasRecord, ready mask
	// copied is, for each recovering member, the set of members from which it has copied
	// while it used the view with index copiedView.
	copied     [maxMembers]mask
	copiedView [maxMembers]uint8
	// writing, acks and writerView describe the writer's current attempt. acknowledged
	// means that an attempt has reached a quorum.
	writing, acknowledged bool
	acks                  mask
	writerView            uint8
	wipes                 uint8
}

// Model is the transition system.
type Model struct {
	rules  Rules
	bounds Bounds
}

// NewModel returns the transition system for the rules and bounds.
func NewModel(rules Rules, bounds Bounds) *Model { return &Model{rules: rules, bounds: bounds} }

// Init returns the initial state: all members are ready and no record is written.
func (m *Model) Init() state {
	var s state
	for i := range m.bounds.Members {
		s.views[0] = s.views[0].with(i)
	}
	s.ready = s.views[0]
	return s
}

func (m *Model) quorum(seats mask) int { return max(m.bounds.DisksLost+1, seats.count()/2+1) }

// minSeats is the number of seats that the loss of DisksLost disks requires.
func (m *Model) minSeats() int { return 2*m.bounds.DisksLost + 1 }

// copySources returns the number of other members from which member i has to copy, where
// seats are those that count. Settled is set if the view is settled and no seat is joining.
func (m *Model) copySources(seats mask, settled bool, i int) int {
	n := seats.count() - m.quorum(seats) + 1
	if m.rules.EnoughSources && seats.count()%2 == 0 && !settled {
		// A quorum may date from a view with one more seat, whose quorums have the same
		// size, and include the member that was removed since.
		n++
	}
	if !m.rules.EnoughSources {
		n--
	}
	return min(max(n, 1), seats.without(i).count())
}

// Check returns an error if the record is acknowledged but a quorum may report that it
// does not exist.
func (m *Model) Check(s state) error {
	if err := m.checkSources(s); err != nil {
		return err
	}
	if !s.acknowledged {
		return nil
	}
	if s.hasRecord == 0 {
		return errors.New("no disk has the acknowledged record")
	}
	seats := s.views[s.latest]
	ready := seats
	if m.rules.OnlyReadyCount {
		ready &= s.ready
	}
	lacking := ready.minus(s.hasRecord)
	if lacking.count() >= m.quorum(seats) {
		return fmt.Errorf("a quorum of %d members lacks the acknowledged record", m.quorum(seats))
	}
	return nil
}

// checkSources returns an error if a member lacks records and too few others are ready to
// copy from.
func (m *Model) checkSources(s state) error {
	seats := s.views[s.latest]
	ready := seats & (s.ready | s.marked)
	if !m.bounds.WipesWhileAdding {
		return nil
	}
	lacking := seats.minus(ready)
	if lacking == 0 {
		// Joining members wait until the others have copied.
		lacking = s.joining[s.latest].minus(ready)
	}
	for i := range maxMembers {
		if needed := m.copySources(seats, s.isSettled(s.latest), i); lacking.has(i) && ready.count() < needed {
			return fmt.Errorf("%d ready members are too few for m%d to copy from, %d are needed", ready.count(), i, needed)
		}
	}
	return nil
}

// Next emits every successor of a state, with the name of the transition.
func (m *Model) Next(s state, emit func(string, state)) {
	m.write(s, emit)
	m.wipeDisk(s, emit)
	m.copy(s, emit)
	m.changeView(s, emit)
	m.settle(s, emit)
	for i := range maxMembers {
		if s.memberView[i] < s.latest && (s.views[s.latest] | s.joining[s.latest]).has(i) {
			next := s
			next.memberView[i] = s.latest
			emit(fmt.Sprintf("m%d reads view %d", i, s.latest), next)
		}
	}
}

// write starts an attempt, or delivers it to a member, which stores the record, or
// rejects it because the writer's view is too old.
func (m *Model) write(s state, emit func(string, state)) {
	if s.acknowledged {
		return
	}
	if !s.writing {
		for v := range s.latest + 1 {
			next := s
			next.writing, next.writerView, next.acks = true, v, 0
			emit(fmt.Sprintf("the writer starts with view %d", v), next)
		}
		return
	}
	for i := range maxMembers {
		if !(s.views[s.writerView] | s.joining[s.writerView]).has(i) || s.acks.has(i) {
			continue
		}
		if m.rules.RejectStaleWriters && s.writerView < s.memberView[i] {
			next := s
			next.writing = false
			emit(fmt.Sprintf("m%d rejects the old view", i), next)
			continue
		}
		next := s
		next.hasRecord = s.hasRecord.with(i)
		if s.views[s.writerView].has(i) && (s.ready.has(i) || !m.rules.OnlyReadyCount) {
			next.acks = s.acks.with(i)
		}
		next.acknowledged = next.acks.count() >= m.quorum(s.views[s.writerView])
		emit(fmt.Sprintf("m%d stores the record", i), next)
	}
}

// wipeDisk erases the disk of a member. Members that are not ready count as having lost
// their disks already.
func (m *Model) wipeDisk(s state, emit func(string, state)) {
	seats := s.views[s.latest]
	lost := seats.minus(s.ready)
	if m.bounds.WipesWhileAdding {
		lost = lost.minus(s.added)
	}
	lostDisks := lost.count()
	if m.isUnsettledAndFew(s) || seats.count() <= m.minSeats() && seats&s.added != 0 {
		// The member that was removed counts as lost until the others have what it acknowledged.
		lostDisks++
	}
	if int(s.wipes) >= m.bounds.Wipes || lostDisks >= m.bounds.DisksLost {
		return
	}
	for i := range maxMembers {
		if !(seats | s.joining[s.latest]).has(i) {
			continue
		}
		next := s
		next.wipes++
		next.loseDisk(i)
		if next.acks.has(i) {
			next.writing, next.acks = false, 0
		}
		emit(fmt.Sprintf("m%d loses its disk", i), next)
	}
}

func (s *state) loseDisk(i int) {
	if s.marked.has(i) {
		s.marked, s.added = s.marked.without(i), s.added.without(i)
	}
	s.hasRecord = s.hasRecord.without(i)
	s.ready = s.ready.without(i)
	s.copied[i] = 0
}

// copy lets a recovering member copy from another, and become ready once it has copied
// from enough.
func (m *Model) copy(s state, emit func(string, state)) {
	for i := range maxMembers {
		seats, isJoining := s.views[s.memberView[i]], s.joining[s.memberView[i]].has(i)
		if s.ready.has(i) || !seats.has(i) && !isJoining {
			continue
		}
		if s.marked.has(i) {
			m.resume(s, i, emit)
			continue
		}
		for j := range maxMembers {
			if j == i || !seats.has(j) || !s.ready.has(j) || m.rules.SameView && s.memberView[j] != s.memberView[i] {
				continue
			}
			next := s
			if s.copiedView[i] != s.memberView[i] {
				next.copied[i], next.copiedView[i] = 0, s.memberView[i]
			}
			next.copied[i] = next.copied[i].with(j)
			if s.hasRecord.has(j) {
				next.hasRecord = next.hasRecord.with(i)
			}
			emit(fmt.Sprintf("m%d copies from m%d", i, j), next)
		}
		if s.copiedView[i] == s.memberView[i] && s.copied[i].count() >= m.copySources(seats, m.isConfirmed(s, i), i) {
			if isJoining {
				m.count(s, i, emit)
				continue
			}
			next := s
			next.added = next.added.without(i)
			next.ready = next.ready.with(i)
			next.copied[i] = 0
			emit(fmt.Sprintf("m%d is ready", i), next)
		}
	}
}

// count lets the seat of a member that has copied count, if its view is the latest.
func (m *Model) count(s state, i int, emit func(string, state)) {
	if s.memberView[i] != s.latest || int(s.latest)+1 >= min(m.bounds.Views, maxViews) {
		return
	}
	next := s
	next.latest++
	next.views[next.latest] = s.views[s.latest].with(i)
	next.joining[next.latest] = s.joining[s.latest].without(i)
	next.memberView[i] = next.latest
	next.ready, next.added, next.copied[i] = s.ready.with(i), s.added.without(i), 0
	emit(fmt.Sprintf("the seat of m%d counts", i), next)
	next.memberView[i], next.ready, next.added = s.memberView[i], s.ready, s.added
	if m.rules.MarkBeforeCounting {
		next.marked = s.marked.with(i)
	}
	emit(fmt.Sprintf("the seat of m%d counts, and it ends", i), next)
}

// resume makes a member ready that finds the mark on its disk, if its seat counts in its view.
func (m *Model) resume(s state, i int, emit func(string, state)) {
	if !s.views[s.memberView[i]].has(i) {
		return
	}
	next := s
	next.marked, next.added, next.ready = s.marked.without(i), s.added.without(i), s.ready.with(i)
	emit(fmt.Sprintf("m%d finds its mark", i), next)
}

// changeView adds, replaces or removes one seat.
func (m *Model) changeView(s state, emit func(string, state)) {
	if int(s.latest)+1 >= min(m.bounds.Views, maxViews) {
		return
	}
	seats := s.views[s.latest]
	if m.rules.SettleFewSeats && m.isUnsettledAndFew(s) {
		return
	}
	allReady := s.ready.contains(seats)
	for i := range m.bounds.Members + m.bounds.Spares {
		if s.joining[s.latest].has(i) {
			m.removeJoining(s, i, emit)
			continue
		}
		if seats.has(i) {
			m.removeMember(s, i, emit)
			continue
		}
		// A seat is only added while all members are ready, so that a quorum stays
		// available. No violation of the invariant is known without this condition.
		if allReady && s.joining[s.latest] == 0 {
			next := m.addMember(s, seats.with(i), i)
			if m.rules.CountAfterCopying && seats.count() >= m.minSeats() {
				next.views[next.latest], next.joining[next.latest] = seats, mask(0).with(i)
			}
			next.added = next.added.with(i)
			emit(fmt.Sprintf("m%d is added", i), next)
		}
		for j := range maxMembers {
			if seats.has(j) && m.mayReplace(s, j, i) {
				next := m.addMember(s, seats.without(j).with(i), i)
				if s.settled.has(int(s.latest)) {
					// The others still have the records of earlier views.
					next.settled = next.settled.with(int(next.latest))
				}
				emit(fmt.Sprintf("m%d takes the seat of m%d", i, j), next)
			}
			if s.joining[s.latest].has(j) {
				next := m.addMember(s, seats, i)
				next.joining[next.latest] = mask(0).with(i)
				next.added = next.added.without(j).with(i)
				emit(fmt.Sprintf("m%d takes the seat of m%d, which does not count yet", i, j), next)
			}
		}
	}
}

// mayReplace reports whether member i may take the seat of member j. Member j counts as lost, so
// with 2f+1 seats all others must be ready. With more, others may recover at the same time.
func (m *Model) mayReplace(s state, j, i int) bool {
	rest := s.views[s.latest].without(j)
	return !m.rules.SourcesBeforeReplacement || (s.ready&rest).count() >= m.copySources(rest.with(i), false, i)
}

// addMember returns the state with a new view of the seats, in which member i is new.
func (m *Model) addMember(s state, seats mask, i int) state {
	s.latest++
	s.views[s.latest], s.joining[s.latest] = seats, s.joining[s.latest-1]
	s.memberView[i] = s.latest
	s.copied[i] = 0
	s.marked = s.marked.without(i)
	if m.rules.NewMembersRecover {
		s.ready = s.ready.without(i)
	} else {
		s.ready = s.ready.with(i)
	}
	return s
}

// removeJoining removes an unresponsive member whose seat does not count yet. No quorum needs
// it, so nothing is handed over.
func (m *Model) removeJoining(s state, i int, emit func(string, state)) {
	next := s
	next.latest++
	next.views[next.latest], next.joining[next.latest] = s.views[s.latest], s.joining[s.latest].without(i)
	next.added = next.added.without(i)
	emit(fmt.Sprintf("m%d is removed before its seat counts", i), next)
}

// allHaveLatestView reports whether all members of the set use the latest view.
func (s *state) allHaveLatestView(set mask) bool {
	for i := range maxMembers {
		if set.has(i) && s.memberView[i] != s.latest {
			return false
		}
	}
	return true
}

// removeMember removes an unresponsive member. Before that, one of the remaining members
// copies the records of the other remaining ones and hands over all records to them.
// Enough members must remain for each record to survive the loss of DisksLost disks.
func (m *Model) removeMember(s state, i int, emit func(string, state)) {
	seats := s.views[s.latest]
	rest := seats.without(i)
	if rest.count() <= m.bounds.DisksLost || !s.ready.contains(rest) || m.rules.OthersHaveLatestView && !s.allHaveLatestView(rest) {
		return
	}
	for j := range maxMembers {
		if !rest.has(j) || s.memberView[j] != s.latest {
			continue
		}
		next := s
		if m.rules.HandOverBeforeRemoval && s.hasRecord&rest != 0 {
			next.hasRecord |= rest
		}
		next.latest++
		next.views[next.latest], next.joining[next.latest] = rest, s.joining[s.latest]
		next.memberView[j] = next.latest
		// The removed member has no seat, so it misses what is written from now on.
		emit(fmt.Sprintf("m%d removes m%d", j, i), next)
	}
}
