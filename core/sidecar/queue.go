package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/admit"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/order"
)

const (
	// newProgramQueueFactor limits the queue for first calls of programs. They are
	// refused while at least this many attempts wait per unit of the concurrency
	// limit.
	newProgramQueueFactor = 4
	// inProgressQueueFactor is the corresponding limit for calls of programs in
	// progress. It is higher because refusing such a call wastes the work done for
	// earlier calls.
	inProgressQueueFactor = 16
	// minRetryAfter and maxRetryAfter bound the retry hint of calls refused for
	// overload.
	minRetryAfter = 100 * core.Millisecond
	maxRetryAfter = core.Minute
)

// queue holds the waiting and the running attempts.
type queue struct {
	waiting []*attempt
	running []*attempt
	// uncached is the sum of attempt.uncached over the waiting attempts. demand
	// is the sum of attempt.demand over the running attempts. Both are in
	// tokens.
	uncached uint64
	demand   uint64
}

// addAttempt adds a dispatched attempt to the call table.
func (s *Sidecar) addAttempt(owner core.Node, d core.Dispatch) *attempt {
	s.table.lastQueueSeq++
	a := &attempt{
		id: d.Attempt, slot: d.Slot, fence: d.Epoch, call: d.Call, owner: owner,
		arrived: s.now, queueSeq: s.table.lastQueueSeq,
		programTurns: d.Turns, age: d.Age, attained: d.Attained,
	}
	s.table.attempts[a.id] = a
	return a
}

// rejectionReason returns why a new attempt cannot be accepted, with a retry hint for
// overload. An empty reason means that it can be accepted.
func (s *Sidecar) rejectionReason(a *attempt) (core.Reason, core.Duration) {
	if s.drain.refusesNewWork() {
		return core.ReasonDraining, 0
	}
	if s.cache.hasEnded(a.call.Program) {
		return core.ReasonProgramEnded, 0
	}
	if len(s.queue.waiting) >= s.queueLimit(a) {
		return core.ReasonOverload, s.retryAfter()
	}
	return "", 0
}

// queueLimit returns the queue length at which the attempt is refused.
func (s *Sidecar) queueLimit(a *attempt) int {
	if continuesProgram(a) {
		return inProgressQueueFactor * int(s.settings.limit.Limit())
	}
	return newProgramQueueFactor * int(s.settings.limit.Limit())
}

// continuesProgram reports whether the call belongs to a program tree that has made
// calls before.
func continuesProgram(a *attempt) bool {
	return a.programTurns > 0 || a.call.Seq > 1 || a.call.Program.Depth() > 0
}

// retryAfter estimates the time until all waiting calls have started.
func (s *Sidecar) retryAfter() core.Duration {
	wait := core.Duration(len(s.queue.waiting)) * s.rate.interval
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// enqueue adds an accepted attempt to the queue and starts the waiting attempts that the
// concurrency limit allows.
func (s *Sidecar) enqueue(a *attempt) {
	s.cache.observeIdleTime(s.settings.retain, &a.call, s.now)
	a.state = core.AttemptWaiting
	a.uncached = s.cache.uncached(a.call.Blocks)
	a.demand = uint64(a.call.PromptTokens()) + uint64(a.call.MaxTokens)
	a.rank = s.settings.order.Rank(order.Call{
		Arrived:  s.now,
		Attained: a.attained,
		Uncached: a.uncached,
		Age:      a.age,
		Deadline: s.settings.kinds[a.call.ProgramKind].Deadline.Nanos(),
	})
	s.queue.waiting = append(s.queue.waiting, a)
	s.queue.uncached += a.uncached
	s.startWaiting()
	if a.state == core.AttemptWaiting {
		s.sendResult(a.owner, a)
	}
}

// startWaiting starts waiting attempts while the concurrency limit allows.
func (s *Sidecar) startWaiting() {
	for len(s.queue.running) < int(s.settings.limit.Limit()) {
		a := s.nextAdmitted()
		if a == nil {
			return
		}
		s.removeWaiting(a)
		s.start(a)
	}
}

// nextAdmitted returns the first attempt in queue order that the admission policy
// admits, or nil.
func (s *Sidecar) nextAdmitted() *attempt {
	var best *attempt
	for _, a := range s.queue.waiting {
		if best != nil && !startsBefore(a, best) {
			continue
		}
		if s.admits(a) {
			best = a
		}
	}
	return best
}

// startsBefore reports whether a precedes b in the queue: by rank, then by arrival.
func startsBefore(a, b *attempt) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.queueSeq < b.queueSeq
}

func (s *Sidecar) admits(a *attempt) bool {
	if a.call.Kind != core.CallModel {
		return true
	}
	call := admit.Call{
		Cached: s.cache.hasPinnedBlocks(a.call.Program),
		New:    !continuesProgram(a),
		Tokens: a.demand,
		Waited: s.now.Sub(a.arrived),
	}
	memory := admit.CacheState{
		Tokens:  s.cacheTokens(),
		Pinned:  s.cache.pinnedTokens,
		Running: uint32(len(s.queue.running)),
	}
	return s.settings.admit.Admit(call, memory)
}

func (s *Sidecar) removeWaiting(a *attempt) {
	s.queue.waiting = remove(s.queue.waiting, a)
	s.queue.uncached -= a.uncached
}

// start sends an attempt to the target.
func (s *Sidecar) start(a *attempt) {
	s.check(invariant.LeavingTarget, !s.drain.refusesNewWork(), "attempt %s started while draining", a.id)
	s.check(invariant.AtMostOnce, a.state == core.AttemptWaiting && !a.sent, "attempt %s started twice", a.id)
	a.state = core.AttemptRunning
	a.sent = true
	a.startedAt = s.now
	s.queue.running = append(s.queue.running, a)
	s.queue.demand += a.demand
	s.cache.beginAttempt(s, a)
	s.emit(core.Decision{
		Step: "queue", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
		Target: s.opts.Self, Slot: a.slot, Wait: s.now.Sub(a.arrived),
	})
	s.emit(core.StartTarget{Attempt: a.id, Call: a.call, Fence: a.fence, Owner: a.owner})
	s.sendResult(a.owner, a)
}

// refuseWaiting refuses an attempt that is in the queue.
func (s *Sidecar) refuseWaiting(a *attempt, reason core.Reason) {
	s.removeWaiting(a)
	s.refuse(a, reason, 0)
}

// refuseAllWaiting refuses all attempts in the queue that match.
func (s *Sidecar) refuseAllWaiting(reason core.Reason, match func(*attempt) bool) {
	for _, a := range append([]*attempt(nil), s.queue.waiting...) {
		if match(a) {
			s.refuseWaiting(a, reason)
		}
	}
}

// expireWaiting refuses the attempts that timed out in the queue.
func (s *Sidecar) expireWaiting() {
	s.refuseAllWaiting(core.ReasonTimeout, s.isOverdue)
}

// isOverdue reports whether the time limit of a call has passed.
func (s *Sidecar) isOverdue(a *attempt) bool {
	return a.call.Timeout > 0 && s.now.Sub(a.arrived) > a.call.Timeout
}
