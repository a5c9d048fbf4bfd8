// Package resource accounts for the memory and the connections that callers make a process
// hold, and decides which caller is dropped when they run out. It reads no clock and does no I/O.
package resource

import (
	"math"
	"sync"
	"time"
)

const (
	// smallShare is the share of the memory that only holders of at most smallHolderBytes may
	// use, so that ordinary requests are admitted while large ones fill the rest.
	smallShare       = 0.25
	smallHolderBytes = 256 << 10
	// stallTime is the time without progress after which a holder may be dropped. A caller
	// within the region needs a few milliseconds between two parts of a request.
	stallTime = 250 * time.Millisecond
	// unreadTime is stallTime for callers that do not read their answer, which may have run only
	// once.
	unreadTime = 5 * time.Second
	// progressBytes is how many bytes of a request have to arrive to count as progress. A caller
	// that sends a few bytes at a time is stalled.
	progressBytes = 4 << 10
	// unusedWeight puts connections that never brought a request before all others.
	unusedWeight = 1e9
)

// Phase is what a holder is doing.
type Phase uint8

const (
	// Unused is a connection that has brought no request yet.
	Unused Phase = iota
	// Idle is a connection between two requests.
	Idle
	// Receiving is a request whose body is arriving.
	Receiving
	// Serving is a request that has arrived. Its holder is not dropped: targets work for it.
	Serving
	// Sending is a request whose answer, or a part of it, is being written to the caller.
	Sending
)

// Limits bound what all holders of a budget have together. Zero means no bound.
type Limits struct {
	// Bytes is in bytes of memory.
	Bytes int64
	// Descriptors counts callers' connections and, for each request that is being served, one to
	// its target.
	Descriptors int
}

// Budget is the account of all holders. It is safe for concurrent use.
//
// Invariant: bytes and descriptors are the sums over all holders that were not dropped. Bytes
// exceeds its limit only by what Charge has added.
type Budget struct {
	limits Limits

	mu      sync.Mutex
	holders map[*Holder]struct{}
	stats   Stats
}

// Stats describe a budget at one time.
type Stats struct {
	Connections, Descriptors int
	Bytes                    int64
	// Dropped counts the holders that were dropped, Refused the requests for memory or for a
	// connection that were refused.
	Dropped, Refused int64
}

// NewBudget returns a budget without holders.
func NewBudget(l Limits) *Budget {
	if l.Bytes == 0 {
		l.Bytes = math.MaxInt64
	}
	if l.Descriptors == 0 {
		l.Descriptors = math.MaxInt
	}
	return &Budget{limits: l, holders: make(map[*Holder]struct{})}
}

// Holder is one connection of a caller with what its request makes the process hold. A nil Holder
// is in no budget: it may take all that it asks for.
type Holder struct {
	budget *Budget
	drop   func(Phase)
	phase  Phase
	bytes  int64
	// waitingSince is when the holder last made progress, and arrived what has arrived since.
	waitingSince time.Time
	arrived      int64
	isDropped    bool
	droppedIn    Phase
}

// Open adds a connection that holds a number of bytes. It drops another one if there is no room,
// and returns nil if none may be dropped. Drop is called at most once, with the holder's phase, from
// the goroutine that needs the room; it must end what the holder waits for.
func (b *Budget) Open(bytes int64, now time.Time, drop func(Phase)) *Holder {
	h := &Holder{budget: b, drop: drop, bytes: bytes, waitingSince: now}
	b.mu.Lock()
	victims, ok := b.makeRoom(bytes, b.limits.Bytes, 1, nil, now)
	if ok {
		b.holders[h] = struct{}{}
		b.stats.Bytes += bytes
		b.stats.Descriptors += h.descriptors()
	} else {
		b.stats.Refused++
	}
	b.mu.Unlock()
	dropAll(victims)
	if !ok {
		return nil
	}
	return h
}

// makeRoom drops holders until there is room for a number of bytes, within limit, and of descriptors.
// If dropping all that may be dropped is not enough, it drops none. Mu must be held.
func (b *Budget) makeRoom(bytes, limit int64, descriptors int, except *Holder, now time.Time) (victims []*Holder, ok bool) {
	isShort := func(s Stats) bool {
		return bytes > 0 && s.Bytes > limit-bytes || descriptors > 0 && s.Descriptors > b.limits.Descriptors-descriptors
	}
	if isShort(b.stats) && isShort(b.withoutDroppable(except, descriptors > 0, now)) {
		return nil, false
	}
	for isShort(b.stats) {
		victim := b.worst(except, descriptors > 0, now)
		b.remove(victim)
		victim.isDropped, victim.droppedIn = true, victim.phase
		b.stats.Dropped++
		victims = append(victims, victim)
	}
	return victims, true
}

// withoutDroppable returns the sums over the holders that may not be dropped. Mu must be held.
func (b *Budget) withoutDroppable(except *Holder, unusedFirst bool, now time.Time) Stats {
	rest := b.stats
	for h := range b.holders {
		if h != except && h.mayBeDropped(now.Sub(h.waitingSince), unusedFirst) {
			rest.Bytes -= h.bytes
			rest.Descriptors -= h.descriptors()
		}
	}
	return rest
}

// worst returns the holder that has held most for longest without progress; nil if none may be
// dropped. Connections that never brought a request come first if unusedFirst is set. Mu must be
// held.
func (b *Budget) worst(except *Holder, unusedFirst bool, now time.Time) *Holder {
	var worst *Holder
	highest := 0.0
	for h := range b.holders {
		waiting := now.Sub(h.waitingSince)
		if h == except || !h.mayBeDropped(waiting, unusedFirst) {
			continue
		}
		score := float64(h.bytes) * waiting.Seconds()
		if h.phase == Unused && unusedFirst {
			score *= unusedWeight
		}
		if worst == nil || score > highest {
			worst, highest = h, score
		}
	}
	return worst
}

// mayBeDropped reports whether the holder may be dropped after a time without progress. For
// descriptors, connections without a request always may: refusing the newest instead would refuse
// ordinary callers, whose requests follow within a round trip.
func (h *Holder) mayBeDropped(waiting time.Duration, unusedFirst bool) bool {
	switch {
	case h.phase == Serving:
		return false
	case h.phase == Unused && unusedFirst:
		return true
	case h.phase == Sending:
		return waiting >= unreadTime
	}
	return waiting >= stallTime
}

// descriptors returns how many descriptors the holder counts for.
func (h *Holder) descriptors() int {
	if h.phase == Serving || h.phase == Sending {
		return 2
	}
	return 1
}

// remove ends the holder's part in the budget. Mu must be held.
func (b *Budget) remove(h *Holder) {
	if _, ok := b.holders[h]; ok {
		delete(b.holders, h)
		b.stats.Bytes -= h.bytes
		b.stats.Descriptors -= h.descriptors()
	}
}

func dropAll(victims []*Holder) {
	for _, victim := range victims {
		victim.drop(victim.droppedIn)
	}
}

// Stats returns the present state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Connections = len(b.holders)
	return s
}

// Grow takes a number of bytes for the holder before the process allocates them. It may drop other
// holders, and returns false if there is no room or the holder itself was dropped.
func (h *Holder) Grow(bytes int64, now time.Time) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	var victims []*Holder
	ok := !h.isDropped
	if ok {
		victims, ok = b.makeRoom(bytes, b.limitFor(h.bytes+bytes), 0, h, now)
	}
	if ok {
		h.bytes += bytes
		b.stats.Bytes += bytes
	} else {
		b.stats.Refused++
	}
	b.mu.Unlock()
	dropAll(victims)
	return ok
}

// limitFor returns the bound of what all holders have for one that holds a number of bytes.
func (b *Budget) limitFor(bytes int64) int64 {
	if bytes <= smallHolderBytes {
		return b.limits.Bytes
	}
	return b.limits.Bytes - int64(smallShare*float64(b.limits.Bytes))
}

// Fits reports whether the holder could take a number of bytes if there were no others.
func (h *Holder) Fits(bytes int64) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return bytes <= h.budget.limitFor(h.bytes+bytes)-h.bytes
}

// Charge adds bytes that the process holds already or cannot refuse any more, such as the output
// of a target. While they exceed the limit, others find no room.
func (h *Holder) Charge(bytes int64) { h.add(bytes) }

// Shrink gives back bytes that the process holds no more.
func (h *Holder) Shrink(bytes int64) { h.add(-bytes) }

func (h *Holder) add(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.bytes += bytes
	if !h.isDropped {
		h.budget.stats.Bytes += bytes
	}
}

// Wait records that the holder is waiting for its caller from now on: to send a request (Idle) or
// the body of one (Receiving), or to read an answer (Sending).
func (h *Holder) Wait(p Phase, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setPhase(p, now)
}

// setPhase changes the phase. The budget's mu must be held.
func (h *Holder) setPhase(p Phase, now time.Time) {
	before := h.descriptors()
	h.phase, h.waitingSince, h.arrived = p, now, 0
	if !h.isDropped {
		h.budget.stats.Descriptors += h.descriptors() - before
	}
}

// Serve records that the holder's request has arrived and is going to be sent to a target. It
// returns false if there is no room for that or the holder was dropped; after it has returned true,
// the holder is not dropped before the next call of Wait.
func (h *Holder) Serve(now time.Time) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	var victims []*Holder
	ok := !h.isDropped
	if ok {
		victims, ok = b.makeRoom(0, b.limits.Bytes, 1, h, now)
	}
	if ok {
		h.setPhase(Serving, now)
	} else {
		b.stats.Refused++
	}
	b.mu.Unlock()
	dropAll(victims)
	return ok
}

// Resume records that the caller has read what was sent to it and its request goes on. It returns
// false if the holder was dropped meanwhile.
func (h *Holder) Resume(now time.Time) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setPhase(Serving, now)
	return !h.isDropped
}

// Arrived records that bytes of the holder's request have arrived.
func (h *Holder) Arrived(bytes int64, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.arrived += bytes; h.arrived >= progressBytes {
		h.waitingSince, h.arrived = now, 0
	}
}

// Dropped reports whether the holder was dropped.
func (h *Holder) Dropped() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isDropped
}

// Close ends the holder. What it holds is given back.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}
