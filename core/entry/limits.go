package entry

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/shed"
)

// maxNewProgramBlocks is the greatest number of blocks of a conversation that
// has no answer yet: the system message and the first user message.
const maxNewProgramBlocks = 2

// retryAfterFor returns how long a refused caller should wait before a retry;
// zero if a retry cannot help.
func (e *Entry) retryAfterFor(reason core.Reason) core.Duration {
	switch reason {
	case core.ReasonOverload, core.ReasonNoTarget, core.ReasonNoOwner, core.ReasonDraining:
		return defaultRetryAfter
	}
	return 0
}

// admissionRefusal returns why a call is refused on arrival, or "".
func (e *Entry) admissionRefusal(s *slot, call *core.Call) core.Reason {
	p := s.snapshot.programs[call.Program]
	root := s.snapshot.programs[call.Program.Root()]
	switch {
	case p != nil && p.Ended, root != nil && root.Ended:
		return core.ReasonProgramEnded
	case e.set.Pool(string(call.Pool)) == nil:
		return core.ReasonNoTarget
	}
	if root != nil || s.ownerState.queues[call.Program] != nil {
		return ""
	}
	return e.newProgramRefusal(s, call)
}

// newProgramRefusal returns why a new program is refused, or "". An admitted
// program is added to its account's count.
func (e *Entry) newProgramRefusal(s *slot, call *core.Call) core.Reason {
	if e.programMayBeLost(s, call) && !isNewProgram(call) {
		return core.ReasonMemoryLost
	}
	if call.Kind == core.CallService && call.ProgramKind == "" {
		return ""
	}
	account := e.set.Account(string(call.Account))
	counts := e.programCounts()
	if account != nil && account.MaxPrograms > 0 && counts[call.Account] >= account.MaxPrograms {
		return core.ReasonLimitExceeded
	}
	if !shed.Admit(e.poolLoad(call.Pool), call.Account, e.accountShares(counts)) {
		return core.ReasonOverload
	}
	counts[call.Account]++
	return ""
}

// programCounts returns the number of active programs that this entry owns, by
// account. They are recounted every expireInterval; admissions and ends in
// between update the counts.
func (e *Entry) programCounts() map[core.Account]int {
	if e.accountPrograms != nil && e.now.Sub(e.accountProgramsAt) < expireInterval {
		return e.accountPrograms
	}
	e.accountPrograms = map[core.Account]int{}
	e.accountProgramsAt = e.now
	for _, s := range e.slots {
		if s.ownerState == nil {
			continue
		}
		for id, p := range s.snapshot.programs {
			if id.Root() == id && !p.Ended && p.Kind != "" {
				e.accountPrograms[p.Account]++
			}
		}
	}
	return e.accountPrograms
}

func (e *Entry) accountShares(counts map[core.Account]int) []shed.AccountShare {
	var shares []shed.AccountShare
	for _, a := range slices.Sorted(maps.Keys(counts)) {
		s := shed.AccountShare{Account: a, Programs: counts[a]}
		if cfg := e.set.Account(string(a)); cfg != nil {
			s.Weight = cfg.Weight
		}
		shares = append(shares, s)
	}
	return shares
}

// poolLoad sums the load of a pool's usable targets.
func (e *Entry) poolLoad(pool core.Pool) shed.Pool {
	var sum shed.Pool
	for _, t := range e.usableTargets(pool) {
		sum.Waiting += uint64(t.load.Waiting)
		sum.Limit += uint64(t.load.Limit)
	}
	return sum
}

// startRefusal returns why the next call of a program must not be started, or
// "".
func (e *Entry) startRefusal(s *slot, c *openCall) core.Reason {
	call := c.call
	p := s.snapshot.programs[c.program]
	root := s.snapshot.programs[c.program.Root()]
	if p != nil && p.Ended || root != nil && root.Ended {
		return core.ReasonProgramEnded
	}
	if p != nil && !extendsHistory(p, call) {
		return core.ReasonHistoryMismatch
	}
	if kind := e.set.ProgramKind(call.ProgramKind); kind != nil && e.exceedsLimits(kind, p, root, call) {
		return core.ReasonLimitExceeded
	}
	if !e.isAffordable(s, call) {
		return core.ReasonBudgetExhausted
	}
	return ""
}

// exceedsLimits reports whether a call exceeds the limits of its program's kind.
func (e *Entry) exceedsLimits(kind *config.ProgramKind, p, root *core.Program, call *core.Call) bool {
	if kind.MaxDepth > 0 && call.Program.Depth() > kind.MaxDepth {
		return true
	}
	if p != nil && call.Kind == core.CallModel && kind.MaxTurns > 0 && p.Turns >= kind.MaxTurns {
		return true
	}
	age := kind.MaxAge.Nanos()
	return root != nil && age > 0 && e.now.Sub(root.Started) > age
}
