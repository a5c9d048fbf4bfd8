package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Disk identifies one disk of a member.
type Disk struct {
	// Name is the name of the VM, Addr the address at which the member serves.
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Incarnation identifies the disk among those of the member.
	Incarnation uint64 `json:"incarnation"`
}

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
	// member's disk was new. A member acknowledges records only after a view in which its disk
	// has a ready seat. Members that are not ready have a seat, but do not count towards a quorum.
	Ready bool `json:"ready"`
	// Joining means that the seat was added and its member has not copied yet: it stores what
	// is written, but does not count in the size of a quorum or of the sources of a copy. A
	// member that has lost its disk is not joining, since quorums have included it.
	Joining bool `json:"joining,omitempty"`
	// Former is the disk that had this seat when its member was last ready, if the member of the
	// seat is not ready now and may lack what was acknowledged.
	Former *Disk `json:"former,omitempty"`
}

// Disk returns the disk that has the seat.
func (s Seat) Disk() Disk { return Disk{Name: s.Name, Addr: s.Addr, Incarnation: s.Incarnation} }

// Equal reports whether both seats are the same.
func (s Seat) Equal(other Seat) bool {
	return s.Name == other.Name && s.Addr == other.Addr && s.Domain == other.Domain && s.Incarnation == other.Incarnation &&
		s.Ready == other.Ready && s.Joining == other.Joining && (s.Former == other.Former || s.Former != nil && other.Former != nil && *s.Former == *other.Former)
}

// passTo returns the seat that takes the place of s, which counts. While its member is not ready,
// the disk that had s when its member was last ready has what was acknowledged.
func (s Seat) passTo(next Seat) Seat {
	next.Joining, next.Former = false, nil
	if next.Ready {
		return next
	}
	former := s.Former
	if s.Ready {
		disk := s.Disk()
		former = &disk
	}
	if former != nil && former.Name == next.Name {
		former = &Disk{Name: next.Name, Addr: next.Addr, Incarnation: former.Incarnation}
	}
	next.Former = former
	return next
}

// hasAcknowledged reports whether a member may have acknowledged records under the seat. One that
// has not been ready since its seat was added has not.
func (s Seat) hasAcknowledged() bool { return s.Ready || s.Former != nil }

// View is one version of the membership. The seats that count differ in one at most between
// consecutive views, so every majority of one intersects every majority of the other.
type View struct {
	Version uint64 `json:"version"`
	Seats   []Seat `json:"seats"`
	// Settled means that the members whose seats count have exchanged all records under this
	// view: each of them had what quorums of earlier views have stored. Views of older processes
	// are not settled.
	Settled bool `json:"settled,omitempty"`
	// Removed is the seat that was removed by the last change in the number of seats that count.
	// Until the view is settled, a record that it acknowledged may be at one other member only.
	Removed *Seat `json:"removed,omitempty"`
	// Grown means that the last change in the number of seats that count has added one to a settled
	// view at once (see Adding), so quorums have the same size in both.
	Grown bool `json:"grown,omitempty"`
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

// CopySources returns the number of other seats from which the named member has to copy while its
// disk is empty or its seat is joining, if the store has no later view once it has. Every quorum
// that it may have been part of must include at least one of these sources. With an even number of
// seats, a quorum may date from an earlier view with one more seat, whose quorums have the same
// size. Such a quorum may include the seat that has been removed since, which is a source, too. If
// the view is settled, no quorum of an earlier view matters.
func (v View) CopySources(name string, disksLost int) int {
	return min(v.intersectingAll(disksLost), max(1, len(v.sources(name))))
}

// intersectingAll returns how many seats have one in common with every quorum, also with those of
// an earlier view that is not settled. A seat that is joining may count in a later view.
func (v View) intersectingAll(disksLost int) int {
	n := v.intersecting(disksLost)
	isChanging := slices.ContainsFunc(v.Seats, func(s Seat) bool { return s.Joining })
	isUnaffected := v.Settled && !isChanging || v.Grown || v.Removed != nil && !v.NeedsRemoved()
	if v.size()%2 == 0 && !isUnaffected {
		n++
	}
	return n
}

// intersecting returns how many members have one in common with every quorum. It is at least 1.
func (v View) intersecting(disksLost int) int { return max(1, v.size()-v.Quorum(disksLost)+1) }

// tenures returns the seats whose acknowledgements matter to a member that copies: those that
// count, and the removed one if its quorums matter (see CopySources). Only one of the sources that
// are needed then is for these.
func (v View) tenures() []Seat {
	seats := v.Counting()
	if v.NeedsRemoved() {
		seats = append(seats, *v.Removed)
	}
	return seats
}

// NeedsRemoved reports whether the seat that was removed last matters to a member that copies.
func (v View) NeedsRemoved() bool {
	return v.size()%2 == 0 && v.Removed != nil && v.Removed.hasAcknowledged()
}

// sources returns the seats from which the named member may copy.
func (v View) sources(name string) []Seat {
	return slices.DeleteFunc(v.tenures(), func(s Seat) bool { return s.Name == name })
}

// SourceDisks returns the disks from which the named member may copy, those that have a seat
// first.
func (v View) SourceDisks(name string) []Disk {
	var seated, former []Disk
	for _, s := range v.tenures() {
		seated = append(seated, s.Disk())
		if s.Former != nil {
			former = append(former, *s.Former)
		}
	}
	var disks []Disk
	for _, d := range append(seated, former...) {
		if d.Name != name && !slices.Contains(disks, d) {
			disks = append(disks, d)
		}
	}
	return disks
}

// ReliesOn reports whether a member may need the disk of the named one, which has no seat, to copy
// from.
func (v View) ReliesOn(name string) bool {
	return slices.ContainsFunc(v.Seats, func(s Seat) bool { return s.Former != nil && s.Former.Name == name })
}

// Copy describes the disk of a member from which all records were copied.
type Copy struct {
	// Incarnation identifies the disk; 0 if it may lack records that it has acknowledged.
	Incarnation uint64
	// Ready means that the member has every record that a quorum has stored.
	Ready bool
}

// Copied returns the number of seats of which a member has everything that they have acknowledged.
// Copies are those that it has made under this view, by the name of the source, and its own disk.
// The sources need not be ready: what a quorum has acknowledged is on the disks of its members,
// also if one of them lacks records of other quorums. So members that are not ready do not wait
// for each other, as long as no more disks are lost than a quorum tolerates.
func (v View) Copied(copies map[string]Copy) int {
	n := 0
	for _, s := range v.tenures() {
		if s.isCopied(copies) {
			n++
		}
	}
	return n
}

// IsComplete reports whether the named member has every record that a quorum has stored, given the
// copies as for Copied. The store must have had no later view once they were made: in that view, a
// disk that was lost since may have been in a quorum with a seat that this view does not have.
func (v View) IsComplete(name string, disksLost int, copies map[string]Copy) bool {
	attainable := slices.DeleteFunc(v.tenures(), func(s Seat) bool { return s.Name == name && !s.isCopied(copies) })
	return v.Copied(copies) >= min(v.intersectingAll(disksLost), max(1, len(attainable)))
}

// isCopied reports whether copies have every record that was acknowledged under the seat.
func (s Seat) isCopied(copies map[string]Copy) bool {
	holds := func(d Disk) bool {
		c, copied := copies[d.Name]
		return copied && (c.Ready || c.Incarnation != 0 && c.Incarnation == d.Incarnation)
	}
	if s.Former == nil || copies[s.Name].Ready {
		return holds(s.Disk())
	}
	return holds(*s.Former)
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
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats), Removed: v.Removed, Grown: v.Grown}
	i := v.index(seat.Name)
	seat.Joining = !seat.Ready && !v.Counts(seat.Name)
	if i >= 0 {
		if !v.Seats[i].Joining {
			seat = v.Seats[i].passTo(seat)
		}
		next.Seats[i] = seat
		if seat.Joining != v.Seats[i].Joining {
			next.Removed, next.Grown = nil, false
			return next
		}
		next.Settled = v.Settled
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
	if !v.Counts(seat.Name) && v.size() < minSeats(disksLost) {
		next.Seats[next.index(seat.Name)].Joining = false
		next.Removed, next.Grown = nil, v.Settled
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
	next.Removed, next.Grown = v.Removed, v.Grown
	if !v.Counts(name) {
		return next
	}
	// The others still have what earlier quorums have stored, and the new member copies it.
	next.Settled = v.Settled
	replaced, _ := v.Seat(name)
	i := next.index(seat.Name)
	if v.Removed != nil && v.Removed.Name == seat.Name && v.size()%2 == 0 {
		// The removed member returns, as if the replaced one had been removed in its place.
		next.Seats[i] = v.Removed.passTo(next.Seats[i])
		next.Removed = &replaced
		return next
	}
	next.Seats[i] = replaced.passTo(next.Seats[i])
	return next
}

// Without returns the next view, which lacks the seat of the named member.
func (v View) Without(name string) View {
	next := View{Version: v.Version + 1, Seats: slices.Clone(v.Seats), Removed: v.Removed, Grown: v.Grown}
	if seat, _ := v.Seat(name); v.Counts(name) {
		next.Removed, next.Grown = &seat, false
	}
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

// MayReplace reports whether the seat of the named member may pass to another one. That one copies
// from the seat that was removed before, too, so the view need not be settled if it is known
// whether there is one.
func (v View) MayReplace(name string, disksLost int) bool {
	seat, _ := v.Seat(name)
	return v.MayChange(disksLost) || v.Removed != nil || v.Grown || !seat.hasAcknowledged()
}

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
