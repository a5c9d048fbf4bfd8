package membership

import (
	"errors"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

var errStore = errors.New("the store has not answered")

// run makes one step of a member, in the order of reconcileSeat in ledger/member. What a member
// does in several steps there may end after each one here.
func (w *World) run(m *member) {
	if !m.isUp {
		return
	}
	if !m.isLeaving || w.chance(2) {
		w.readView(m)
	}
	switch {
	case m.isLeaving:
		w.leave(m)
	case w.chance(6):
		w.removeUnresponsive(m)
	default:
		w.reconcile(m)
		if w.isCalm {
			w.removeUnresponsive(m)
		}
	}
}

// readView reads the view from the store, or from another member.
func (w *World) readView(m *member) {
	if w.storeUp && !w.chance(3) {
		m.adopt(w.latest())
		return
	}
	if other := w.members[w.rand.IntN(len(w.members))]; other.isUp {
		m.adopt(other.view)
	}
}

// swap replaces the member's view with next in the store. With an error, it may have done so, or
// may do so later.
func (w *World) swap(m *member, next ledger.View) error {
	switch {
	case !w.storeUp || w.chance(12):
		return errStore
	case w.latest().Version != m.view.Version:
		m.adopt(w.latest())
		return nil
	case w.chance(12):
		w.late = &next
		return errStore
	}
	w.setView(next)
	if w.chance(12) {
		return errStore
	}
	m.adopt(next)
	return nil
}

func (w *World) setView(view ledger.View) {
	w.views = append(w.views, view)
	if len(view.Counting()) > 2*w.disksLost && view.AllReadyExcept("") {
		for _, m := range w.members {
			m.hasLostDisk = m.hasLostDisk && !m.isGone
		}
	}
	w.log("view %d: %+v, settled %t, removed %+v", view.Version, view.Seats, view.Settled, view.Removed)
}

func (w *World) executeLate() {
	if w.late != nil && w.late.Version == w.latest().Version+1 {
		w.setView(*w.late)
	}
	w.late = nil
}

func (w *World) reconcile(m *member) {
	view := m.view
	seat, seated := view.Seat(m.name)
	counts := view.Counts(m.name)
	if m.ready && counts && view.NeedsSettling(w.disksLost) && w.rand.IntN(3) > 0 {
		w.settle(m)
		return
	}
	switch {
	case m.isRetiring && (!counts || m.ready && seat.Equal(m.seat(true))):
		w.retire(m)
	case !seated && view.IsFull(w.disksLost):
		m.markIncomplete()
	case !seated:
		w.takeSeat(m)
	case !m.ready && m.completeFrom != 0 && view.Version >= m.completeFrom && seat.Equal(m.seat(true)):
		m.becomeReady()
	case !m.ready:
		w.recover(m)
	case !seat.Equal(m.seat(true)):
		_ = w.swap(m, view.With(m.seat(true)))
	}
}

// recover copies from one source, and makes the member ready once it has copied from enough.
func (w *World) recover(m *member) {
	if m.copies == nil {
		m.copies = map[string]ledger.Copy{m.name: {Incarnation: m.incarnation}}
	}
	if sources := m.view.SourceDisks(m.name); len(sources) > 0 {
		w.copyFrom(m, sources[w.rand.IntN(len(sources))], m.copies)
	}
	if !m.view.IsComplete(m.name, w.disksLost, m.copies) || !w.confirmSeat(m) {
		return
	}
	w.log("%s is ready with copies %v under view %d", m.name, m.copies, m.view.Version)
	m.becomeReady()
}

func (w *World) confirmSeat(m *member) bool {
	next := m.view
	if seat, _ := m.view.Seat(m.name); seat.Equal(m.seat(true)) {
		if !w.storeUp {
			return false
		}
		m.adopt(w.latest())
	} else {
		next = m.view.With(m.seat(true))
		m.complete, m.completeFrom = false, next.Version
		if err := w.swap(m, next); err != nil {
			return false
		}
	}
	seat, _ := m.view.Seat(m.name)
	return m.view.Version == next.Version && seat.Equal(m.seat(true))
}

func (w *World) takeSeat(m *member) {
	view := m.view
	if view.Version == 0 {
		return
	}
	m.markIncomplete()
	if unresponsive := slices.IndexFunc(view.Seats, func(s ledger.Seat) bool { return !w.find(s.Name).isUp }); unresponsive >= 0 {
		name := view.Seats[unresponsive].Name
		if w.mayReplace(m, name) {
			w.log("%s replaces %s", m.name, name)
			_ = w.swap(m, view.Replacing(name, m.seat(false)))
		}
		return
	}
	if view.MayChange(w.disksLost) && view.AllReadyExcept(m.name) && w.areReady(m, view.Seats) {
		_ = w.swap(m, view.Adding(m.seat(false), w.disksLost))
	}
}

func (w *World) mayReplace(m *member, name string) bool {
	if !m.view.Counts(name) {
		return true
	}
	copies := map[string]ledger.Copy{m.name: {Incarnation: m.incarnation}}
	for _, d := range m.view.SourceDisks(m.name) {
		w.copyFrom(m, d, copies)
	}
	next := m.view.Replacing(name, m.seat(false))
	return m.view.MayReplace(name, w.disksLost) && next.IsComplete(m.name, w.disksLost, copies)
}

// copyFrom copies the records of a member that uses the same view.
func (w *World) copyFrom(m *member, source ledger.Disk, copies map[string]ledger.Copy) {
	from := w.find(source.Name)
	if from.isUp && from.view.Version == m.view.Version {
		m.stored |= from.stored
		copies[from.name] = ledger.Copy{Incarnation: from.incarnation, Ready: from.ready}
	}
}

// areReady reports whether the other members of these seats respond as ready.
func (w *World) areReady(m *member, seats []ledger.Seat) bool {
	return !slices.ContainsFunc(seats, func(s ledger.Seat) bool {
		other := w.find(s.Name)
		return other != m && (!other.isUp || !other.ready || other.view.Version > m.view.Version)
	})
}

// useView reports whether the members of these seats respond under the member's view.
func (w *World) useView(m *member, seats []ledger.Seat) bool {
	return !slices.ContainsFunc(seats, func(s ledger.Seat) bool {
		other := w.find(s.Name)
		return !other.isUp || other.view.Version != m.view.Version
	})
}

func (w *World) handOver(m *member, seats []ledger.Seat) bool {
	seats = slices.DeleteFunc(slices.Clone(seats), func(s ledger.Seat) bool { return s.Name == m.name })
	if !w.useView(m, seats) {
		return false
	}
	for _, s := range seats {
		w.find(s.Name).stored |= m.stored
	}
	return true
}

// exchange lets the members of these seats exchange their records through this one.
func (w *World) exchange(m *member, seats []ledger.Seat) bool {
	if !w.areReady(m, seats) || !w.useView(m, seats) {
		return false
	}
	for _, s := range seats {
		m.stored |= w.find(s.Name).stored
	}
	m.exchanged = m.view.Version
	return w.handOver(m, seats)
}

func (w *World) settle(m *member) {
	seats := m.view.Counting()
	isEachReady := !slices.ContainsFunc(seats, func(s ledger.Seat) bool { return s.Name != m.name && !s.Ready })
	if m.exchanged != m.view.Version {
		if !isEachReady || !w.exchange(m, seats) {
			return
		}
		if w.chance(2) {
			return
		}
	}
	_ = w.swap(m, m.view.AsSettled())
}

func (w *World) removeUnresponsive(m *member) {
	if !m.ready {
		return
	}
	view := m.view
	for _, s := range view.Seats {
		if w.find(s.Name).isUp || w.isCalm && !w.find(s.Name).isGone {
			continue
		}
		next := view.Without(s.Name)
		if view.Counts(s.Name) {
			if !view.CanRemoveSeat(s.Name, w.disksLost) || !view.AllReadyExcept(s.Name) {
				continue
			}
			if !w.exchange(m, next.Counting()) || w.chance(4) {
				return
			}
			// What is exchanged under a view does not settle the next one.
			m.exchanged = 0
		}
		w.log("%s removes %s", m.name, s.Name)
		_ = w.swap(m, next)
		return
	}
}

// retire makes one step of the retirement, at whose end the VM is removed.
func (w *World) retire(m *member) {
	if _, seated := m.view.Seat(m.name); seated {
		mayLeave := m.view.CanRemoveSeat(m.name, w.disksLost) && m.view.AllReadyExcept(m.name)
		if m.view.Counts(m.name) && !(mayLeave && w.handOver(m, m.view.Counting())) {
			return
		}
		_ = w.swap(m, m.view.Without(m.name))
		return
	}
	if m.view.Version == 0 || !w.handOver(m, m.view.Counting()) {
		return
	}
	if m.view.NeedsSettling(w.disksLost) {
		w.settle(m)
		return
	}
	if m.view.ReliesOn(m.name) {
		return
	}
	w.log("%s has retired", m.name)
	w.remove(m)
}

// leave makes one step of a planned stop.
func (w *World) leave(m *member) {
	view := m.view
	seat, _ := view.Seat(m.name)
	canLeave := m.ready && view.Counts(m.name) && view.CanRemoveSeat(m.name, w.disksLost)
	switch {
	case !view.Counts(m.name) && view.Version != 0:
		// The view has been left.
		if w.handOver(m, view.Counting()) && view.NeedsSettling(w.disksLost) {
			w.settle(m)
		}
		if w.chance(2) {
			w.kill(m)
		}
	case !canLeave || w.chance(10):
		w.kill(m)
	case !seat.Equal(m.seat(true)):
		_ = w.swap(m, view.With(m.seat(true)))
	case view.AllReadyExcept(m.name) && w.areReady(m, view.Seats) && w.handOver(m, view.Counting()) && w.storeUp:
		m.markIncomplete()
		if w.chance(8) {
			w.kill(m)
			return
		}
		if err := w.swap(m, view.Leaving(m.name, w.disksLost)); err == nil && m.view.Counts(m.name) {
			m.becomeReady()
		}
	}
}
