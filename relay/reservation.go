package relay

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// reservation is the start of an attempt that is recorded before the request's current attempt
// is given up, so that other requests can't take the target's last room in between.
type reservation struct {
	relay  *Relay
	choice fleet.Choice
}

// reserve chooses a target without a rate limit for a request that has stalled, and records
// the start of an attempt at it. It returns nil if there is none, or if the request's failover
// counts and the limit of failovers is reached.
func (r *Relay) reserve(q fleet.Query, isUncounted bool) *reservation {
	// A target that may have no permit is no reason to give another up.
	q.Unlimited = true
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	choice, ok := r.fleet.Pick(q, now)
	if !ok || !isUncounted && !r.failovers.Allow() {
		return nil
	}
	r.start(&choice, q, now)
	return &reservation{relay: r, choice: choice}
}

// release takes back a reservation that is not used.
func (s *reservation) release() {
	s.relay.recordEnd(s.choice, fleet.Canceled, 0)
}

// takeReserved returns the target reserved for the next attempt, unless it can't serve the
// request any more.
func (e *exchange) takeReserved() (fleet.Choice, bool) {
	if e.reserved == nil {
		return fleet.Choice{}, false
	}
	choice := e.reserved.choice
	// A stream is pinned with its first event, which may be after its timer was started.
	if e.isPinned && choice.Target.Software() != e.software || !e.relay.isServing(choice.Target.TargetKey) {
		e.releaseReserved()
		return fleet.Choice{}, false
	}
	e.reserved = nil
	return choice, true
}

// releaseReserved takes back the reservation of an exchange that sends no further attempt.
func (e *exchange) releaseReserved() {
	if e.reserved != nil {
		e.reserved.release()
		e.reserved = nil
	}
}

func (r *Relay) isServing(key catalog.TargetKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.IsServing(key)
}
