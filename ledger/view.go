package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Seat is one member's place in the membership.
type Seat struct {
	// Name is the VM's name.
	Name string `json:"name"`
	// Addr is the address that the member serves at.
	Addr string `json:"addr"`
	// Domain is the VM's failure domain.
	Domain string `json:"domain"`
	// Incarnation differs for each disk that the member has had.
	Incarnation uint64 `json:"incarnation"`
	// Ready members have all that a quorum knew when their disk was new. Others
	// take a seat, but their answers do not count.
	Ready bool `json:"ready"`
}

// View is one version of the membership. Consecutive views differ in one seat, so
// a majority of one meets every majority of the other.
type View struct {
	Version uint64 `json:"version"`
	Seats   []Seat `json:"seats"`
}

// DecodeView reads a view from its stored form.
func DecodeView(value []byte) (View, error) {
	var v View
	if err := json.Unmarshal(value, &v); err != nil {
		return View{}, fmt.Errorf("ledger view: %w", err)
	}
	return v, nil
}

// Encode returns the stored form.
func (v View) Encode() []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger view: encode: %v", err))
	}
	return value
}

// Quorum returns how many members have to store a record or to answer a
// question. It is a majority, and more members than may lose their disks at once.
func (v View) Quorum(disksLost int) int {
	return max(disksLost+1, len(v.Seats)/2+1)
}

// CopySources returns how many other members a member with an empty disk has to copy
// from: every quorum of which it may have been part has a member among them. With
// an even number of seats the membership may have been one larger, with a quorum
// of the same size, when a member that took part in it was given up.
func (v View) CopySources(disksLost int) int {
	n := len(v.Seats) - v.Quorum(disksLost) + 1
	if len(v.Seats)%2 == 0 {
		n++
	}
	return min(max(1, n), max(1, len(v.Seats)-1))
}

// Seat returns the seat of a name.
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

// With returns the next view, in which the seat of that name is as given.
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

// Replacing returns the next view, in which seat stands in place of that of name.
// It is as safe as a lost disk: the number of seats stays, and the new member
// counts once it has copied from a quorum.
func (v View) Replacing(name string, seat Seat) View {
	next := v.Without(name).With(seat)
	next.Version = v.Version + 1
	return next
}

// Without returns the next view, in which that name has no seat.
func (v View) Without(name string) View {
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats)}
	next.Seats = slices.DeleteFunc(next.Seats, func(s Seat) bool { return s.Name == name })
	return next
}

// OthersReady says whether every seat but that of name is ready. Only then may the
// number of seats change again: each change costs the quorums of the one before
// a copy until the members have caught up.
func (v View) OthersReady(name string) bool {
	return !slices.ContainsFunc(v.Seats, func(s Seat) bool { return s.Name != name && !s.Ready })
}

// CanRemoveSeat says whether a seat may be given up while as many disks as promised
// may still be lost.
func (v View) CanRemoveSeat(disksLost int) bool { return len(v.Seats)-1 >= 2*disksLost+1 }
