// Package membership plays the steps by which ledger members change the view, in drawn order:
// members are stopped, killed, added, retired and replaced, lose their disks, and the store fails
// at each change of the view. The views are those of package ledger. Two things must hold as long
// as no more disks are lost at the same time than allowed: no quorum lacks a record that was
// acknowledged, and once all members run again, all become ready.
//
// Like spec/ledger, it assumes that a writer's attempt ends when a member that acknowledged it
// loses its disk.
package membership

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

// maxRecords is the number of records that are written; a record is a bit in a records set.
const maxRecords = 64

type records uint64

// member is one VM with its disk.
type member struct {
	name string
	// What is on the disk; see identity in ledger/member.
	incarnation  uint64
	stored       records
	complete     bool
	completeFrom uint64
	view         ledger.View
	// isUp means that the process runs, isGone that the VM is removed for good.
	isUp, isGone bool
	ready        bool
	// isLeaving means that the process stops as planned, isRetiring that the VM is to be emptied.
	isLeaving, isRetiring bool
	// hasLostDisk means that the member has not been ready since it lost its disk. A VM that is gone
	// for good has until as many seats are ready as the loss of disksLost disks requires.
	hasLostDisk bool
	// copies are the copies made under the current view, exchanged the version of the view under
	// which this member has let all others exchange their records.
	copies    map[string]ledger.Copy
	exchanged uint64
}

func (m *member) seat(ready bool) ledger.Seat {
	return ledger.Seat{Name: m.name, Addr: m.name, Domain: m.name, Incarnation: m.incarnation, Ready: ready}
}

func (m *member) adopt(view ledger.View) {
	if view.Version > m.view.Version {
		m.view, m.copies = view, nil
	}
}

func (m *member) markIncomplete() { m.complete, m.completeFrom, m.ready = false, 0, false }

func (m *member) becomeReady() {
	m.complete, m.completeFrom, m.ready, m.hasLostDisk = true, 0, true, false
}

// attempt is a writer's attempt to store one record.
type attempt struct {
	record records
	view   ledger.View
	acks   map[string]bool
}

// World is a ledger with its store and one writer.
type World struct {
	rand      *rand.Rand
	disksLost int
	members   []*member
	// views are the versions that the store has had. late is a change whose response was lost and
	// which the store may still execute.
	views    []ledger.View
	late     *ledger.View
	storeUp  bool
	isCalm   bool
	attempt  *attempt
	written  int
	acked    records
	lastDisk uint64
	// lost are the disks that were lost.
	lost  []ledger.Disk
	trace []string
}

// NewWorld returns a world in which a number of members have ready seats.
func NewWorld(seed uint64, members, disksLost int) *World {
	w := &World{rand: rand.New(rand.NewPCG(seed, 0)), disksLost: disksLost, storeUp: true}
	view := ledger.View{}
	for range members {
		m := w.addMember()
		m.becomeReady()
		view = view.With(m.seat(true))
	}
	w.views = []ledger.View{view}
	for _, m := range w.members {
		m.adopt(view)
	}
	return w
}

// Play draws a number of steps, then lets all members that are left run until they are ready.
func (w *World) Play(steps int) error {
	for range steps {
		w.step()
		if err := w.check(); err != nil {
			return w.fail(err)
		}
	}
	w.calm()
	const calmRounds = 400
	for range calmRounds {
		for _, m := range w.members {
			w.run(m)
			if err := w.check(); err != nil {
				return w.fail(err)
			}
		}
		if w.isComplete() {
			return nil
		}
	}
	return w.fail(fmt.Errorf("the members do not become ready: %+v", w.latest().Seats))
}

func (w *World) fail(err error) error { return fmt.Errorf("%w\n%s", err, w.trace) }

func (w *World) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format+"\n", args...))
}

func (w *World) latest() ledger.View { return w.views[len(w.views)-1] }

// chance reports true once in n times, and never in the calm at the end.
func (w *World) chance(n int) bool { return !w.isCalm && w.rand.IntN(n) == 0 }

func (w *World) addMember() *member {
	w.lastDisk++
	m := &member{name: fmt.Sprint("m", len(w.members)+1), incarnation: w.lastDisk, isUp: true}
	w.members = append(w.members, m)
	return m
}

func (w *World) find(name string) *member {
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.name == name })
	return w.members[i]
}

// step draws a fault, a planned change, or a step of a member or of the writer.
func (w *World) step() {
	m := w.members[w.rand.IntN(len(w.members))]
	switch w.rand.IntN(24) {
	case 0:
		w.storeUp = w.chance(2)
	case 1:
		w.kill(m)
	case 2:
		w.loseDisk(m)
	case 3:
		w.add()
	case 4:
		w.changePlanned(m)
	case 5, 6, 7:
		w.start(m)
	case 8, 9, 10, 11, 12:
		w.write()
	case 13:
		w.executeLate()
	default:
		w.run(m)
	}
}

func (w *World) kill(m *member) {
	if m.isUp {
		w.log("%s is killed", m.name)
		m.isUp, m.isLeaving, m.ready = false, false, false
	}
}

func (w *World) start(m *member) {
	if !m.isUp && !m.isGone {
		w.log("%s starts, complete %t", m.name, m.complete)
		m.isUp, m.ready, m.copies, m.exchanged = true, m.complete, nil, 0
		if w.chance(3) && m.view.Version > w.views[0].Version {
			// The view is written to the disk some time after the member has it.
			m.view = w.views[slices.IndexFunc(w.views, func(v ledger.View) bool { return v.Version == m.view.Version })-1]
		}
	}
}

func (w *World) loseDisk(m *member) {
	if m.isGone || !w.mayLose(m) {
		return
	}
	w.kill(m)
	w.log("%s loses its disk", m.name)
	w.lost = append(w.lost, m.seat(false).Disk())
	if w.attempt != nil && w.attempt.acks[m.name] {
		w.attempt = nil
	}
	w.lastDisk++
	m.incarnation, m.stored, m.view = w.lastDisk, 0, ledger.View{}
	m.markIncomplete()
	m.hasLostDisk = true
}

// maxVMs bounds the VMs of a world.
const maxVMs = 9

func (w *World) add() {
	if len(w.members) < maxVMs && w.chance(3) {
		w.log("%s is added", w.addMember().name)
	}
}

// changePlanned stops a member, asks it to retire, or removes its VM for good.
func (w *World) changePlanned(m *member) {
	switch w.rand.IntN(4) {
	case 0, 1:
		m.isLeaving = m.isUp
	case 2:
		if !m.isGone && !m.isRetiring && w.isEnoughWithout(m) {
			m.isRetiring = true
			w.log("%s is to retire", m.name)
		}
	case 3:
		if !m.isGone && w.isEnoughWithout(m) && w.mayLose(m) {
			w.kill(m)
			w.remove(m)
			m.hasLostDisk = true
		}
	}
}

// isEnoughWithout reports whether the VMs that stay suffice for a quorum.
func (w *World) isEnoughWithout(m *member) bool {
	n := 0
	for _, other := range w.present() {
		if other != m && !other.isRetiring {
			n++
		}
	}
	return n > w.disksLost
}

// remove takes a VM away for good.
func (w *World) remove(m *member) {
	w.log("%s is gone for good", m.name)
	m.isUp, m.isGone, m.isLeaving, m.ready = false, true, false, false
	w.lost = append(w.lost, m.seat(false).Disk())
	if w.attempt != nil && w.attempt.acks[m.name] {
		w.attempt = nil
	}
}

func (w *World) present() []*member {
	return slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return m.isGone })
}

// mayLose reports whether the member's disk may be lost besides those that are.
func (w *World) mayLose(m *member) bool {
	views := []ledger.View{w.latest()}
	if w.late != nil {
		views = append(views, *w.late)
	}
	lost := append(slices.Clone(w.lost), m.seat(false).Disk())
	return !slices.ContainsFunc(views, func(view ledger.View) bool { return w.lostSeats(view, lost) > w.disksLost })
}

// lostSeats returns the number of seats of a view whose disks are lost. A seat counts until its
// member is ready again. A disk counts twice while another seat relies on it, too: what was
// acknowledged under both is on this disk only. While there are fewer seats than the loss of
// disksLost disks requires, those count that others have lost with their disks.
func (w *World) lostSeats(view ledger.View, lost []ledger.Disk) int {
	seats := view.Counting()
	if view.NeedsRemoved() {
		seats = append(seats, *view.Removed)
	}
	unseated := 0
	for _, m := range w.members {
		if m.hasLostDisk && !view.Counts(m.name) {
			unseated++
		}
	}
	n := min(unseated, max(0, 2*w.disksLost+1-len(view.Counting())))
	for _, s := range seats {
		holder := w.find(s.Name)
		for _, d := range lost {
			hasRecovered := holder.ready && (holder.incarnation != d.Incarnation || holder.name != d.Name)
			if !hasRecovered && (s.Name == d.Name || s.Former != nil && *s.Former == d) {
				n++
				break
			}
		}
	}
	return n
}

// write starts the writer's attempt, gives it up, or delivers its record to a member.
func (w *World) write() {
	if w.attempt == nil {
		if w.written < maxRecords {
			view := w.views[max(0, len(w.views)-1-w.rand.IntN(3))]
			w.attempt = &attempt{record: 1 << w.written, view: view, acks: map[string]bool{}}
			w.written++
		}
		return
	}
	a := w.attempt
	if w.chance(30) {
		w.attempt = nil
		return
	}
	m := w.members[w.rand.IntN(len(w.members))]
	if _, seated := a.view.Seat(m.name); !m.isUp || !seated {
		return
	}
	if a.view.Version < m.view.Version {
		a.view, a.acks = m.view, map[string]bool{}
		return
	}
	m.stored |= a.record
	if m.ready && a.view.Counts(m.name) {
		a.acks[m.name] = true
	}
	if len(a.acks) >= a.view.Quorum(w.disksLost) {
		w.log("record %d is acknowledged by %v under view %d", bits.TrailingZeros64(uint64(a.record)), a.acks, a.view.Version)
		w.acked |= a.record
		w.attempt = nil
	}
}

// check returns an error if a quorum under any view may report that an acknowledged record does
// not exist.
func (w *World) check() error {
	for _, view := range w.views {
		lacking := make(map[int]int)
		for _, s := range view.Counting() {
			m := w.find(s.Name)
			if !m.isUp || !m.ready || m.view.Version > view.Version {
				continue
			}
			for missing := w.acked &^ m.stored; missing != 0; missing &= missing - 1 {
				r := bits.TrailingZeros64(uint64(missing))
				if lacking[r]++; lacking[r] >= view.Quorum(w.disksLost) {
					return fmt.Errorf("a quorum under view %d lacks record %d", view.Version, r)
				}
			}
		}
	}
	return nil
}

// calm ends all faults: the store and all VMs that are left run.
func (w *World) calm() {
	w.log("calm")
	w.executeLate()
	w.isCalm, w.storeUp, w.attempt = true, true, nil
	for _, m := range w.members {
		m.isLeaving = false
		w.start(m)
	}
}

// isComplete reports whether all members that are left are ready, and no others have seats unless
// too few are left.
func (w *World) isComplete() bool {
	view := w.latest()
	gone := slices.DeleteFunc(slices.Clone(view.Seats), func(s ledger.Seat) bool { return !w.find(s.Name).isGone })
	isShort := len(gone) > 1 || len(gone) == 1 && !view.CanRemoveSeat(gone[0].Name, w.disksLost)
	for _, s := range view.Seats {
		m := w.find(s.Name)
		if m.isGone && isShort {
			continue
		}
		if !m.ready || !s.Equal(m.seat(true)) || view.Version != m.view.Version {
			return false
		}
	}
	for _, m := range w.present() {
		if _, seated := view.Seat(m.name); !seated && !m.isRetiring && !view.IsFull(w.disksLost) {
			return false
		}
	}
	return isShort || !view.NeedsSettling(w.disksLost)
}
