package relay

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

const (
	// permitTimeout bounds how long an attempt asks for one permit.
	permitTimeout = 150 * time.Millisecond
	// permitRetryDelay is how long a target with a rate limit is avoided after no permit
	// could be asked for.
	permitRetryDelay = 100 * time.Millisecond
	// maxPermitAsks bounds the permits that one attempt asks for.
	maxPermitAsks = 8
	// permitSlack is how much longer than expected a call waits for a permit before it chooses
	// its target anew. Moving to another target costs about as much.
	permitSlack = 30 * time.Millisecond
	// permitWaitShare is the share of the time left that a call may wait for a permit. Beyond
	// it, the caller is better served by an answer now.
	permitWaitShare = 0.3
)

// maxPermitWait returns the longest time that the call can wait for a permit.
func (e *exchange) maxPermitWait() time.Duration {
	return max(0, time.Duration(permitWaitShare*float64(time.Until(e.deadline))))
}

// chooseTarget chooses a target and records the start of an attempt at it. A target that was
// reserved for the attempt is taken without another choice. If the target has
// a rate limit, it waits until the permit may be used, or chooses another target if the wait
// is longer than expected. It returns nil if there is no target.
func (e *exchange) chooseTarget(ctx context.Context, allowFull bool) *reservation {
	if reserved := e.takeReserved(); reserved != nil {
		return reserved
	}
	query := e.targetQuery(allowFull)
	left := query.MaxWait
	for range maxPermitAsks {
		// Calls that wait for longer have no permit yet, so nothing shows how many they are.
		query.MaxWait = min(left, loadboard.MaxPermitWait)
		choice, ok := e.relay.pickTarget(query)
		if !ok && e.relay.mayWaitLonger(ctx, query, left) {
			ctxwait.Sleep(ctx, loadboard.MaxPermitWait)
			left -= loadboard.MaxPermitWait
			continue
		}
		if !ok {
			return nil
		}
		next := &reservation{relay: e.relay, choice: choice}
		if !choice.Limit.IsLimited {
			return next
		}
		permit, err := e.relay.acquirePermit(ctx, choice, min(choice.PermitWait+permitSlack, query.MaxWait))
		if err != nil {
			// The same member grants the permits for all targets.
			query.Unlimited = true
		}
		if !permit.Granted {
			continue
		}
		ctxwait.Sleep(ctx, permit.Wait)
		if ctx.Err() != nil {
			return nil
		}
		if e.relay.recordStart(&next.choice, query) {
			return next
		}
	}
	return nil
}

// mayWaitLonger reports whether a target may have a permit within left, which is more than
// MaxPermitWait.
func (r *Relay) mayWaitLonger(ctx context.Context, q fleet.Query, left time.Duration) bool {
	q.MaxWait = left
	return left > loadboard.MaxPermitWait && ctx.Err() == nil && r.hasTarget(q)
}

// acquirePermit asks for a permit for one request to the chosen target. Without an answer
// there is none: other processes may be using the whole limit.
func (r *Relay) acquirePermit(ctx context.Context, choice fleet.Choice, maxWait time.Duration) (loadboard.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	permit, err := r.permits.AcquirePermit(ctx, choice.Target.Hash(), choice.Limit.PerSecond, maxWait)
	if err != nil {
		r.log.Debug().Str("event", "permit_failed").Str("target", choice.Target.ID).Err(err).Msg("")
		permit = loadboard.Permit{Next: permitRetryDelay}
	}
	r.metrics.countPermit(permit.Granted)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordPermitWait(choice.Target.TargetKey, permit.Next, time.Now())
	return permit, err
}

// recordStart records the start of an attempt at a target that was chosen before a wait. It
// returns false if the target has begun to leave since.
func (r *Relay) recordStart(choice *fleet.Choice, q fleet.Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fleet.IsServing(choice.Target.TargetKey) {
		return false
	}
	r.start(choice, q, time.Now())
	return true
}

// recordLimit records what a target's response says about its rate limit. A refusal without a
// limit says nothing, since the target may not have looked at the request.
func (r *Relay) recordLimit(a *attempt) {
	info := a.responseInfo
	if info.BadLimit {
		r.log.Debug().Str("event", "limit_unreadable").Str("target", a.target.ID).Msg("the limit in force stays")
		return
	}
	if info.NotExecuted && !info.Limit.IsLimited {
		return
	}
	r.mu.Lock()
	changed := r.fleet.RecordLimit(a.target.TargetKey, info.Limit, a.startedAt, time.Now())
	r.mu.Unlock()
	if changed {
		r.log.Info().Str("event", "target_limit").Str("target", a.target.ID).Bool("limited", info.Limit.IsLimited).Float64("per_second", info.Limit.PerSecond).Msg("")
		r.signalLoadChange()
	}
}
