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
}

// View is one version of the membership. Consecutive views differ in one seat, so
// every majority of one intersects every majority of the other.
type View struct {
	Version uint64 `json:"version"`
	Seats   []Seat `json:"seats"`
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

// Quorum returns how many members have to store a record or respond to a read. It is
// at least a majority, and more than disksLost, the number of disks that may be lost
// at the same time.
func (v View) Quorum(disksLost int) int {
	return max(disksLost+1, len(v.Seats)/2+1)
}

// CopySources returns the number of other members from which a member with an empty
// disk has to copy. Every quorum that the empty member may have been part of must
// include at least one of these sources. With an even number of seats, a quorum may
// date from an earlier view with one more seat, whose quorums have the same size.
// Such a quorum may include the member that has been removed since.
func (v View) CopySources(disksLost int) int {
	n := len(v.Seats) - v.Quorum(disksLost) + 1
	if len(v.Seats)%2 == 0 {
		n++
	}
	return min(max(1, n), max(1, len(v.Seats)-1))
}

// Seat returns the seat of the member with that name.
func (v View) Seat(name string) (Seat, bool) {
	i := v.index(name)
	if i < 0 {
		return Seat{}, false
	}
	return v.Seats[i], true
}

func (v View) index(name string) int {
	return slices.IndexFunc(v.Seats, func(s Seat) bool { return s.Name == name })
}

// With returns the next view, in which seat is added or replaces the seat with the same
// name.
func (v View) With(seat Seat) View {
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats)}
	if i := v.index(seat.Name); i >= 0 {
		next.Seats[i] = seat
		return next
	}
	next.Seats = append(next.Seats, seat)
	slices.SortFunc(next.Seats, func(a, b Seat) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// Replacing returns the next view, in which seat replaces the seat of the named member.
// This is as safe as the loss of one disk: the number of seats does not change, and the
// new member counts towards a quorum only after it has copied from enough others.
func (v View) Replacing(name string, seat Seat) View {
	next := v.Without(name).With(seat)
	next.Version = v.Version + 1
	return next
}

// Without returns the next view, which lacks the seat of the named member.
func (v View) Without(name string) View {
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats)}
	next.Seats = slices.DeleteFunc(next.Seats, func(s Seat) bool { return s.Name == name })
	return next
}

// AllReadyExcept reports whether all seats except that of the named member are ready. Only
// then may the number of seats change again: after each change, records written to a
// quorum of the previous view have one copy too few until the members have caught up.
func (v View) AllReadyExcept(name string) bool {
	return !slices.ContainsFunc(v.Seats, func(s Seat) bool { return s.Name != name && !s.Ready })
}

// spareSeats is the number of seats beyond those that the loss of disksLost disks requires.
// Planned stops and restarts of single members then leave that tolerance intact.
const spareSeats = 2

// MaxSeats returns the number of seats up to which members join. The cost of an append
// grows with the seats, so further VMs stand by until a seat becomes free.
func MaxSeats(disksLost int) int { return 2*disksLost + 1 + spareSeats }

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

// CanRemoveSeat reports whether one seat can be removed such that the remaining members
// still tolerate the loss of disksLost disks.
func (v View) CanRemoveSeat(disksLost int) bool { return len(v.Seats)-1 >= 2*disksLost+1 }
