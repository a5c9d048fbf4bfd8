package ledger

import "fmt"

// isSettled reports whether a view is settled, and no seat may begin to count in the next one.
func (s *state) isSettled(view uint8) bool { return s.settled.has(int(view)) && s.joining[view] == 0 }

// isConfirmed reports whether member i may rely on its view being settled.
func (m *Model) isConfirmed(s state, i int) bool {
	view := s.memberView[i]
	return (view == s.latest || !m.rules.ConfirmView) && s.isSettled(view)
}

// isUnsettledAndFew reports whether fewer seats count than the loss of DisksLost disks requires
// and the view is not settled.
func (m *Model) isUnsettledAndFew(s state) bool {
	return s.latest > 0 && s.views[s.latest].count() < m.minSeats() && !s.settled.has(int(s.latest))
}

// settle lets the members whose seats count exchange all records, all under the latest view.
func (m *Model) settle(s state, emit func(string, state)) {
	seats := s.views[s.latest]
	isOdd := seats.count()%2 == 1
	if isOdd && seats.count() >= m.minSeats() || s.settled.has(int(s.latest)) || !s.ready.contains(seats) || !s.allHaveLatestView(seats) {
		return
	}
	next := s
	if s.hasRecord&seats != 0 {
		next.hasRecord |= seats
	}
	next.settled = s.settled.with(int(s.latest))
	emit(fmt.Sprintf("view %d is settled", s.latest), next)
}
