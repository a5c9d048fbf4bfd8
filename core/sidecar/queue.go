package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/admit"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/order"
)

const (
	// newPerPlace bounds the calls that wait, as a multiple of the limit, for
	// the first call of a program to be accepted.
	newPerPlace = 4
	// turnsPerPlace is the same bound for calls of programs in progress, which
	// are worth more: refusing one throws away what was done before.
	turnsPerPlace = 16
	// minRetryAfter and maxRetryAfter bound the hint to callers refused under
	// overload.
	minRetryAfter = 100 * core.Millisecond
	maxRetryAfter = core.Minute
)

// queue holds the waiting and the running attempts.
type queue struct {
	waiting []*attempt
	running []*attempt
	// uncached and demand are sums over the waiting and the running attempts.
	uncached uint64
	demand   uint64
}

// newAttempt enters a dispatch into the call table.
func (s *Sidecar) newAttempt(home core.Node, d core.Dispatch) *attempt {
	s.table.turns++
	a := &attempt{
		id: d.Attempt, slot: d.Slot, fence: d.Epoch, call: d.Call, home: home,
		arrived: s.now, turn: s.table.turns,
		turns: d.Turns, age: d.Age, attained: d.Attained,
	}
	s.table.attempts[a.id] = a
	return a
}

// objection returns the reason for which a new attempt cannot be accepted.
func (s *Sidecar) objection(a *attempt) (core.Reason, core.Duration) {
	if s.drain.refusing() {
		return core.ReasonDraining, 0
	}
	if s.cache.ended(a.call.Program) {
		return core.ReasonProgramEnded, 0
	}
	if len(s.queue.waiting) >= s.bound(a) {
		return core.ReasonOverload, s.retryAfter()
	}
	return "", 0
}

// bound returns the number of waiting calls at which a call is refused.
func (s *Sidecar) bound(a *attempt) int {
	if inProgress(a) {
		return turnsPerPlace * int(s.settings.limit.Limit())
	}
	return newPerPlace * int(s.settings.limit.Limit())
}

// inProgress reports that the call continues a program tree.
func inProgress(a *attempt) bool {
	return a.turns > 0 || a.call.Seq > 1 || a.call.Program.Depth() > 0
}

// retryAfter returns the time in which the calls that wait will have started.
func (s *Sidecar) retryAfter() core.Duration {
	wait := core.Duration(len(s.queue.waiting)) * s.rate.interval
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// enqueue lets an accepted attempt wait for its turn.
func (s *Sidecar) enqueue(a *attempt) {
	s.cache.returned(s.settings.retain, &a.call, s.now)
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
	s.pump()
	if a.state == core.AttemptWaiting {
		s.sendResult(a.home, a)
	}
}

// pump starts waiting attempts while the limit allows.
func (s *Sidecar) pump() {
	for len(s.queue.running) < int(s.settings.limit.Limit()) {
		a := s.next()
		if a == nil {
			return
		}
		s.leaveQueue(a)
		s.start(a)
	}
}

// next returns the attempt that goes first of those admitted, or nil.
func (s *Sidecar) next() *attempt {
	var best *attempt
	for _, a := range s.queue.waiting {
		if best != nil && !before(a, best) {
			continue
		}
		if s.admits(a) {
			best = a
		}
	}
	return best
}

// before orders attempts by rank, then by arrival.
func before(a, b *attempt) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.turn < b.turn
}

func (s *Sidecar) admits(a *attempt) bool {
	if a.call.Kind != core.CallModel {
		return true
	}
	call := admit.Call{
		Resident: s.cache.resident(a.call.Program),
		New:      !inProgress(a),
		Tokens:   a.demand,
		Waited:   s.now.Sub(a.arrived),
	}
	memory := admit.Memory{
		Tokens:  s.cacheTokens(),
		Pinned:  s.cache.pinned,
		Running: uint32(len(s.queue.running)),
	}
	return s.settings.admit.Admit(call, memory)
}

func (s *Sidecar) leaveQueue(a *attempt) {
	s.queue.waiting = remove(s.queue.waiting, a)
	s.queue.uncached -= a.uncached
}

// start hands an attempt to the target.
func (s *Sidecar) start(a *attempt) {
	s.check(invariant.LeavingTarget, !s.drain.refusing(), "attempt %s started while draining", a.id)
	s.check(invariant.AtMostOnce, a.state == core.AttemptWaiting && !a.sent, "attempt %s started twice", a.id)
	a.state = core.AttemptRunning
	a.sent = true
	a.startedAt = s.now
	s.queue.running = append(s.queue.running, a)
	s.queue.demand += a.demand
	s.cache.begin(s, a)
	s.emit(core.Decision{
		Step: "queue", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
		Target: s.opts.Self, Slot: a.slot, Wait: s.now.Sub(a.arrived),
	})
	s.emit(core.StartTarget{Attempt: a.id, Call: a.call, Fence: a.fence, Owner: a.home})
	s.sendResult(a.home, a)
}

// withdraw refuses an attempt that waits.
func (s *Sidecar) withdraw(a *attempt, reason core.Reason) {
	s.leaveQueue(a)
	s.refuse(a, reason, 0)
}

// withdrawAll refuses the waiting attempts that match.
func (s *Sidecar) withdrawAll(reason core.Reason, match func(*attempt) bool) {
	for _, a := range append([]*attempt(nil), s.queue.waiting...) {
		if match(a) {
			s.withdraw(a, reason)
		}
	}
}

// expireWaiting refuses the attempts whose time is over before they started.
func (s *Sidecar) expireWaiting() {
	s.withdrawAll(core.ReasonTimeout, s.overdue)
}

// overdue reports that the time limit of a call has passed.
func (s *Sidecar) overdue(a *attempt) bool {
	return a.call.Timeout > 0 && s.now.Sub(a.arrived) > a.call.Timeout
}
