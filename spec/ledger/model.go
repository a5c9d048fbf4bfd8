// Package ledger is a small specification of the ledger's quorums under changes of
// the membership: members are added, replaced and given up, disks are lost one
// after the other, and writers and members act on old memberships. One record is
// written; once it is acknowledged, no quorum may ever say that it does not exist.
//
// A writer's attempt is taken to end when a member that acknowledged it loses its
// disk, as its connection does.
package ledger

import (
	"errors"
	"fmt"
	"math/bits"
)

// maxMembers bounds the VMs that may ever have a seat; maxViews the memberships.
const (
	maxMembers = 5
	maxViews   = 6
)

// Rules are the rules of the protocol; a test removes one at a time.
type Rules struct {
	// Fence refuses writers that act on an older membership.
	Fence bool
	// OnlyReadyCount lets only members count that have copied.
	OnlyReadyCount bool
	// EnoughSources copies from so many members that every quorum is met.
	EnoughSources bool
	// SameView copies only from members that act on the same membership.
	SameView bool
	// HandOverBeforeRemoval gives the others what a member holds before another is given up.
	HandOverBeforeRemoval bool
	// RestHasLatestView gives up a member only when all others know the membership in force,
	// so that writers under older ones find no quorum any more.
	RestHasLatestView bool
	// NewMembersRecover takes a member that has no seat as lacking records.
	NewMembersRecover bool
}

// AllRules returns the protocol as it is.
func AllRules() Rules {
	return Rules{Fence: true, OnlyReadyCount: true, EnoughSources: true, SameView: true, HandOverBeforeRemoval: true, RestHasLatestView: true, NewMembersRecover: true}
}

// Bounds are the size of an exploration.
type Bounds struct {
	// Members have seats at the start; Spares may get one.
	Members, Spares int
	// DisksLost may be lost at the same time, Wipes in all.
	DisksLost, Wipes int
	// Views bounds the memberships.
	Views int
}

// mask is a set of members.
type mask uint8

func (m mask) has(i int) bool       { return m&(1<<i) != 0 }
func (m mask) with(i int) mask      { return m | 1<<i }
func (m mask) without(i int) mask   { return m &^ (1 << i) }
func (m mask) count() int           { return bits.OnesCount8(uint8(m)) }
func (m mask) minus(o mask) mask    { return m &^ o }
func (m mask) contains(o mask) bool { return o&^m == 0 }

// state is one state of the model. The store's newest membership is views[top].
type state struct {
	// views holds the seats of each membership.
	views [maxViews]mask
	top   uint8
	// knows is the membership that each member acts on.
	knows [maxMembers]uint8
	// holds are the members that have the record, ready those that count.
	holds, ready mask
	// copied are the members that a recovering one has copied from, under the
	// membership copiedAt.
	copied   [maxMembers]mask
	copiedAt [maxMembers]uint8
	// writing, acks and view are the writer's attempt; stored says that it is
	// acknowledged.
	writing, stored bool
	acks            mask
	view            uint8
	wipes           uint8
}

// Model is the transition system.
type Model struct {
	rules  Rules
	bounds Bounds
}

// NewModel returns the system of the rules at a size.
func NewModel(rules Rules, bounds Bounds) *Model { return &Model{rules: rules, bounds: bounds} }

// Init returns the state in which all members are ready and nothing is written.
func (m *Model) Init() state {
	var s state
	for i := range m.bounds.Members {
		s.views[0] = s.views[0].with(i)
	}
	s.ready = s.views[0]
	return s
}

func (m *Model) quorum(seats mask) int { return max(m.bounds.DisksLost+1, seats.count()/2+1) }

// sources returns how many others a recovering member copies from.
func (m *Model) sources(seats mask) int {
	n := seats.count() - m.quorum(seats) + 1
	if m.rules.EnoughSources && seats.count()%2 == 0 {
		// The membership may have been one larger with the same quorum, when a member
		// that took part in it was given up.
		n++
	}
	if !m.rules.EnoughSources {
		n--
	}
	return min(max(n, 1), seats.count()-1)
}

// Check returns an error if an acknowledged record is unknown to a quorum.
func (m *Model) Check(s state) error {
	if !s.stored {
		return nil
	}
	if s.holds == 0 {
		return errors.New("an acknowledged record is on no disk")
	}
	seats := s.views[s.top]
	counting := seats
	if m.rules.OnlyReadyCount {
		counting &= s.ready
	}
	without := counting.minus(s.holds)
	if without.count() >= m.quorum(seats) {
		return fmt.Errorf("a quorum of %d members does not know an acknowledged record", m.quorum(seats))
	}
	return nil
}

// Next emits every successor.
func (m *Model) Next(s state, emit func(string, state)) {
	m.write(s, emit)
	m.wipe(s, emit)
	m.copy(s, emit)
	m.change(s, emit)
	for i := range maxMembers {
		if s.knows[i] < s.top && s.views[s.top].has(i) {
			next := s
			next.knows[i] = s.top
			emit(fmt.Sprintf("m%d learns view %d", i, s.top), next)
		}
	}
}

// write begins an attempt, delivers it and collects acknowledgements.
func (m *Model) write(s state, emit func(string, state)) {
	if s.stored {
		return
	}
	if !s.writing {
		for v := range s.top + 1 {
			next := s
			next.writing, next.view, next.acks = true, v, 0
			emit(fmt.Sprintf("the writer begins under view %d", v), next)
		}
		return
	}
	for i := range maxMembers {
		if !s.views[s.view].has(i) || s.acks.has(i) {
			continue
		}
		if m.rules.Fence && s.view < s.knows[i] {
			next := s
			next.writing = false
			emit(fmt.Sprintf("m%d refuses the old view", i), next)
			continue
		}
		next := s
		next.holds = s.holds.with(i)
		if s.ready.has(i) || !m.rules.OnlyReadyCount {
			next.acks = s.acks.with(i)
		}
		next.stored = next.acks.count() >= m.quorum(s.views[s.view])
		emit(fmt.Sprintf("m%d stores the record", i), next)
	}
}

// wipe takes a member's disk. A member that does not count is lost already.
func (m *Model) wipe(s state, emit func(string, state)) {
	seats := s.views[s.top]
	if int(s.wipes) >= m.bounds.Wipes || seats.minus(s.ready).count() >= m.bounds.DisksLost {
		return
	}
	for i := range maxMembers {
		if !seats.has(i) {
			continue
		}
		next := s
		next.wipes++
		next.lose(i)
		if next.acks.has(i) {
			next.writing, next.acks = false, 0
		}
		emit(fmt.Sprintf("m%d loses its disk", i), next)
	}
}

func (s *state) lose(i int) {
	s.holds = s.holds.without(i)
	s.ready = s.ready.without(i)
	s.copied[i] = 0
}

// copy lets a recovering member copy from another, and count once it may.
func (m *Model) copy(s state, emit func(string, state)) {
	for i := range maxMembers {
		seats := s.views[s.knows[i]]
		if s.ready.has(i) || !seats.has(i) {
			continue
		}
		for j := range maxMembers {
			if j == i || !seats.has(j) || !s.ready.has(j) || m.rules.SameView && s.knows[j] != s.knows[i] {
				continue
			}
			next := s
			if s.copiedAt[i] != s.knows[i] {
				next.copied[i], next.copiedAt[i] = 0, s.knows[i]
			}
			next.copied[i] = next.copied[i].with(j)
			if s.holds.has(j) {
				next.holds = next.holds.with(i)
			}
			emit(fmt.Sprintf("m%d copies from m%d", i, j), next)
		}
		if s.copiedAt[i] == s.knows[i] && s.copied[i].count() >= m.sources(seats) {
			next := s
			next.ready = next.ready.with(i)
			next.copied[i] = 0
			emit(fmt.Sprintf("m%d counts", i), next)
		}
	}
}

// change adds, replaces or gives up one seat.
func (m *Model) change(s state, emit func(string, state)) {
	if int(s.top)+1 >= min(m.bounds.Views, maxViews) {
		return
	}
	seats := s.views[s.top]
	settled := s.ready.contains(seats)
	for i := range m.bounds.Members + m.bounds.Spares {
		if seats.has(i) {
			m.giveUp(s, i, emit)
			continue
		}
		// That the number of seats changes only while all members are ready keeps a
		// quorum in reach; no counterexample is known without it.
		if settled {
			emit(fmt.Sprintf("m%d is added", i), m.seat(s, seats.with(i), i))
		}
		for j := range maxMembers {
			// The member that is replaced is lost, so no other may be.
			if seats.has(j) && s.ready.contains(seats.without(j)) {
				emit(fmt.Sprintf("m%d takes the seat of m%d", i, j), m.seat(s, seats.without(j).with(i), i))
			}
		}
	}
}

// seat makes a membership in which member i is new.
func (m *Model) seat(s state, seats mask, i int) state {
	s.top++
	s.views[s.top] = seats
	s.knows[i] = s.top
	s.copied[i] = 0
	if m.rules.NewMembersRecover {
		s.ready = s.ready.without(i)
	} else {
		s.ready = s.ready.with(i)
	}
	return s
}

// allKnow says whether all members of a set act on the newest membership.
func (s *state) allKnow(set mask) bool {
	for i := range maxMembers {
		if set.has(i) && s.knows[i] != s.top {
			return false
		}
	}
	return true
}

// giveUp removes a member that is silent, after another has collected what the
// rest holds and has given it to all of them. Enough members must remain.
func (m *Model) giveUp(s state, i int, emit func(string, state)) {
	seats := s.views[s.top]
	rest := seats.without(i)
	if rest.count() < 2*m.bounds.DisksLost+1 || !s.ready.contains(rest) || m.rules.RestHasLatestView && !s.allKnow(rest) {
		return
	}
	for j := range maxMembers {
		if !rest.has(j) || s.knows[j] != s.top {
			continue
		}
		next := s
		if m.rules.HandOverBeforeRemoval && s.holds&rest != 0 {
			next.holds |= rest
		}
		next.top++
		next.views[next.top] = rest
		next.knows[j] = next.top
		// A member without a seat misses what is written from now on.
		emit(fmt.Sprintf("m%d gives up m%d", j, i), next)
	}
}
