package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Seat is the entry of one member in a View.
type Seat struct {
	// Name is the name of the VM.
	Name string `json:"name"`
	// Addr is the address at which the member serves.
	Addr string `json:"addr"`
	// Domain is the VM's failure domain.
	Domain string `json:"domain"`
	// Incarnation identifies the member's disk: each new disk gets a new
	// incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Ready means that the member has every record that a quorum had stored when the
	// member's disk was new. Members that are not ready have a seat, but do not count
	// towards a quorum.
	Ready bool `json:"ready"`
	// Joining means that the seat was added and its member has not copied yet: it stores what
	// is written, but does not count in the size of a quorum or of the sources of a copy. A
	// member that has lost its disk is not joining, since quorums have included it.
	Joining bool `json:"joining,omitempty"`
}

// View is one version of the membership. The seats that count differ in one at most between
// consecutive views, so every majority of one intersects every majority of the other.
type View struct {
	Version uint64 `json:"version"`
	Seats   []Seat `json:"seats"`
	// Settled means that the members whose seats count have exchanged all records under this
	// view: each of them had what quorums of earlier views have stored. Views of older processes
	// are not settled.
	Settled bool `json:"settled,omitempty"`
}

// DecodeView decodes a view as written by Encode.
func DecodeView(value []byte) (View, error) {
	var v View
	if err := json.Unmarshal(value, &v); err != nil {
		return View{}, fmt.Errorf("ledger view: %w", err)
	}
	return v, nil
}

// Encode returns the view as JSON, the form in which it is stored and sent.
func (v View) Encode() []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger view: encode: %v", err))
	}
	return value
}

// Counting returns the seats that count in the size of a quorum: all that are not joining.
func (v View) Counting() []Seat {
	return slices.DeleteFunc(slices.Clone(v.Seats), func(s Seat) bool { return s.Joining })
}

// size returns the number of seats that count.
func (v View) size() int {
	n := 0
	for _, s := range v.Seats {
		if !s.Joining {
			n++
		}
	}
	return n
}

// Counts reports whether the named member has a seat that counts.
func (v View) Counts(name string) bool {
	seat, seated := v.Seat(name)
	return seated && !seat.Joining
}

// Quorum returns how many members have to store a record or respond to a read. It is
// at least a majority of the seats that count, and more than disksLost, the number of disks
// that may be lost at the same time.
func (v View) Quorum(disksLost int) int {
	return max(disksLost+1, v.size()/2+1)
}

// CopySources returns the number of other members from which the named member has to copy
// while its disk is empty or its seat is joining. Every quorum that it may have been part of
// must include at least one of these sources. With an even number of seats, a quorum may
// date from an earlier view with one more seat, whose quorums have the same size.
// Such a quorum may include the member that has been removed since.
func (v View) CopySources(name string, disksLost int) int {
	n := v.intersecting(disksLost)
	if v.size()%2 == 0 {
		n++
	}
	return v.atMostOthers(n, name)
}

// LatestCopySources is CopySources for a view that was the latest one after the member had copied.
// If it is settled, no quorum of an earlier view matters.
func (v View) LatestCopySources(name string, disksLost int) int {
	isChanging := slices.ContainsFunc(v.Seats, func(s Seat) bool { return s.Joining })
	if !v.Settled || isChanging {
		return v.CopySources(name, disksLost)
	}
	return v.atMostOthers(v.intersecting(disksLost), name)
}

// intersecting returns how many members have one in common with every quorum.
func (v View) intersecting(disksLost int) int { return v.size() - v.Quorum(disksLost) + 1 }

// atMostOthers bounds n by the number of other members whose seats count. It is at least 1.
func (v View) atMostOthers(n int, name string) int {
	others := v.size()
	if v.Counts(name) {
		others--
	}
	return min(max(1, n), max(1, others))
}

// Seat returns the seat of the member with that name.
func (v View) Seat(name string) (Seat, bool) {
	i := v.index(name)
	if i < 0 {
		return Seat{}, false
	}
	return v.Seats[i], true
}

// Rank returns the number of seats before that of the named member, or of all seats if it has
// none.
func (v View) Rank(name string) int {
	if i := v.index(name); i >= 0 {
		return i
	}
	return len(v.Seats)
}

func (v View) index(name string) int {
	return slices.IndexFunc(v.Seats, func(s Seat) bool { return s.Name == name })
}

// With returns the next view, in which seat is added or replaces the seat with the same
// name. The view determines whether it is joining: a seat that is added joins unless its
// member is ready, and counts once its member is.
func (v View) With(seat Seat) View {
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats)}
	i := v.index(seat.Name)
	seat.Joining = !seat.Ready && !v.Counts(seat.Name)
	if i >= 0 {
		next.Settled = v.Settled && seat.Joining == v.Seats[i].Joining
		next.Seats[i] = seat
		return next
	}
	next.Seats = append(next.Seats, seat)
	slices.SortFunc(next.Seats, func(a, b Seat) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// Adding is With for a new member. Its seat counts at once while fewer seats count than the
// loss of disksLost disks requires. Quorums are so small then that a member with an empty
// disk, which has not read the view in which the seat counts, could otherwise recover from
// members that all lack a record of the new quorum.
func (v View) Adding(seat Seat, disksLost int) View {
	next := v.With(seat)
	if v.size() < minSeats(disksLost) {
		next.Seats[next.index(seat.Name)].Joining = false
	}
	return next
}

// Replacing returns the next view, in which seat replaces the seat of the named member. It
// counts if the replaced one did. This is as safe as the loss of one disk: the number of
// seats that count does not change, and the new member counts towards a quorum only after it
// has copied from enough others.
func (v View) Replacing(name string, seat Seat) View {
	next := v.Without(name).With(seat)
	next.Version = v.Version + 1
	if v.Counts(name) {
		next.Seats[next.index(seat.Name)].Joining = false
	}
	return next
}

// Without returns the next view, which lacks the seat of the named member.
func (v View) Without(name string) View {
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats)}
	next.Seats = slices.DeleteFunc(next.Seats, func(s Seat) bool { return s.Name == name })
	return next
}

// Leaving returns the next view, in which the seat of a member that stops does not count. The
// member keeps the seat, and joins when it is back, unless its seat has to count at once then
// (see Adding).
func (v View) Leaving(name string, disksLost int) View {
	next := v.Without(name)
	if seat, seated := v.Seat(name); seated && next.size() >= minSeats(disksLost) {
		seat.Ready = false
		next = next.With(seat)
		next.Version = v.Version + 1
	}
	return next
}

// AsSettled returns the next view, which is settled.
func (v View) AsSettled() View {
	return View{Version: v.Version + 1, Seats: slices.Clone(v.Seats), Settled: true}
}

// NeedsSettling reports whether a member that loses its disk needs fewer sources, or whether the
// seats that count may change again, once the view is settled.
func (v View) NeedsSettling(disksLost int) bool {
	return !v.Settled && (v.size()%2 == 0 || v.size() < minSeats(disksLost))
}

// MayChange reports whether the seats that count may change. While fewer count than the loss of
// disksLost disks requires, a record of an earlier quorum may be at one member only until the
// view is settled.
func (v View) MayChange(disksLost int) bool { return v.Settled || v.size() >= minSeats(disksLost) }

// AllReadyExcept reports whether all seats except that of the named member are ready, and so
// none is joining. Only then may the number of seats that count change again: after each
// change, records written to a quorum of the previous view have one copy too few until the
// members have caught up.
func (v View) AllReadyExcept(name string) bool {
	return !slices.ContainsFunc(v.Seats, func(s Seat) bool { return s.Name != name && !s.Ready })
}

// minSeats is the number of seats that the loss of disksLost disks requires.
func minSeats(disksLost int) int { return 2*disksLost + 1 }

// spareSeats is the number of seats beyond minSeats.
// Planned stops and restarts of single members then leave that tolerance intact.
const spareSeats = 2

// MaxSeats returns the number of seats up to which members join. The cost of an append
// grows with the seats, so further VMs stand by until a seat becomes free.
func MaxSeats(disksLost int) int { return minSeats(disksLost) + spareSeats }

// IsFull reports whether no further member may take a seat.
func (v View) IsFull(disksLost int) bool { return len(v.Seats) >= MaxSeats(disksLost) }

// SeatsIn returns the number of seats in a failure domain.
func (v View) SeatsIn(domain string) int {
	n := 0
	for _, s := range v.Seats {
		if s.Domain == domain {
			n++
		}
	}
	return n
}

// CanRemoveSeat reports whether the named member's seat can be removed such that each record
// still survives the loss of disksLost disks. With fewer than minSeats, quorums include all
// members, so an unresponsive one that kept its seat would keep one with an empty disk from
// recovering. A joining seat can always be removed.
func (v View) CanRemoveSeat(name string, disksLost int) bool {
	return !v.Counts(name) || v.size()-1 > disksLost && v.MayChange(disksLost)
}
