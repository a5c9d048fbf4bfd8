package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// reservation is the recorded start of an attempt that is yet to be sent. The start of the next
// attempt of a stalled request is recorded, and its target connected to, before the current one
// is given up: other requests can't take the target's last room in between, and a target that
// can't be reached is no reason to give another up.
type reservation struct {
	relay  *Relay
	choice fleet.Choice
	// conn is the connection for the attempt; nil if it has none yet.
	conn *conn
}

// reserve chooses a target without a rate limit for a request that has stalled, records
// the start of an attempt at it and connects to it. It returns nil if there is none that can be
// connected to, or if the request's failover counts and the limit of failovers is reached.
func (r *Relay) reserve(ctx context.Context, q fleet.Query, isUncounted bool) *reservation {
	// A target that may have no permit is no reason to give another up.
	q.Unlimited = true
	for ctx.Err() == nil {
		choice, ok := r.reserveTarget(q, isUncounted)
		if !ok {
			return nil
		}
		next, startedAt := &reservation{relay: r, choice: choice}, time.Now()
		err := next.connect(ctx)
		if err == nil {
			return next
		}
		r.recordEnd(choice, connectOutcome(ctx, err), time.Since(startedAt))
		r.log.Info().Str("event", "reservation_failed").Str("target", choice.Target.ID).Str("peer", choice.Target.Addr).AnErr("cause", err).Msg("")
		// The query may share its list with the request.
		q.Exclude = append(slices.Clip(q.Exclude), choice.Target.TargetKey)
		isUncounted = true
	}
	return nil
}

// reserveTarget chooses a target and records the start of an attempt at it.
func (r *Relay) reserveTarget(q fleet.Query, isUncounted bool) (fleet.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	choice, ok := r.fleet.Pick(q, now)
	if !ok || !isUncounted && !r.failovers.Allow() {
		return fleet.Choice{}, false
	}
	r.start(&choice, q, now)
	return choice, true
}

func (s *reservation) key() poolKey { return poolKey{s.choice.Target.TargetKey, s.choice.Target.Addr} }

// connect takes an idle connection to the target or opens one, unless there is one already.
func (s *reservation) connect(ctx context.Context) (err error) {
	if s.conn == nil {
		s.conn, err = s.relay.pool.get(ctx, s.key())
	}
	return err
}

// connectOutcome returns the outcome of an attempt whose target could not be connected to.
func connectOutcome(ctx context.Context, err error) fleet.Outcome {
	switch {
	case ctx.Err() != nil:
		return fleet.Canceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return fleet.Ended
	}
	return fleet.Unreachable
}

// release takes back a reservation that is not used.
func (s *reservation) release() {
	if s.conn != nil {
		s.relay.pool.putUnused(s.key(), s.conn)
	}
	s.relay.recordEnd(s.choice, fleet.Canceled, 0)
}

// takeReserved returns the target reserved for the next attempt, unless it can't serve the
// request any more. Then it returns nil.
func (e *exchange) takeReserved() *reservation {
	if e.reserved == nil {
		return nil
	}
	next := e.reserved
	// A stream is pinned with its first event, which may be after its timer was started.
	if e.isPinned && next.choice.Target.Software() != e.software || !e.relay.isServing(next.choice.Target.TargetKey) {
		e.releaseReserved()
		return nil
	}
	e.reserved = nil
	return next
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
