package entry

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/shed"
)

// freshBlocks is the most blocks of a conversation that has no answer yet: the
// system's and the user's first message.
const freshBlocks = 2

// hint returns when a refused caller should try again; zero where trying again
// cannot help.
func (e *Entry) hint(reason core.Reason) core.Duration {
	switch reason {
	case core.ReasonOverload, core.ReasonNoTarget, core.ReasonNoOwner, core.ReasonDraining:
		return retryHint
	}
	return 0
}

// admissible returns why a call is refused on arrival, or "".
func (e *Entry) admissible(s *slot, call *core.Call) core.Reason {
	p := s.image.programs[call.Program]
	root := s.image.programs[call.Program.Root()]
	switch {
	case p != nil && p.Ended, root != nil && root.Ended:
		return core.ReasonProgramEnded
	case e.set.Pool(string(call.Pool)) == nil:
		return core.ReasonNoTarget
	}
	if root != nil || s.home.lanes[call.Program] != nil {
		return ""
	}
	return e.admitProgram(s, call)
}

// admitProgram returns why a new program is refused, or "".
func (e *Entry) admitProgram(s *slot, call *core.Call) core.Reason {
	if e.unremembered(s, call) && !freshProgram(call) {
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
	if !shed.Admit(e.poolLoad(call.Pool), call.Account, e.shares(counts)) {
		return core.ReasonOverload
	}
	counts[call.Account]++
	return ""
}

// programCounts returns the programs under way at this home, by account. They
// are counted anew every period; admissions and ends between are added.
func (e *Entry) programCounts() map[core.Account]int {
	if e.counts != nil && e.now.Sub(e.countedAt) < expirePeriod {
		return e.counts
	}
	e.counts = map[core.Account]int{}
	e.countedAt = e.now
	for _, s := range e.slots {
		if s.home == nil {
			continue
		}
		for id, p := range s.image.programs {
			if id.Root() == id && !p.Ended && p.Kind != "" {
				e.counts[p.Account]++
			}
		}
	}
	return e.counts
}

func (e *Entry) shares(counts map[core.Account]int) []shed.AccountShare {
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
	for _, t := range e.pool(pool) {
		sum.Waiting += uint64(t.load.Waiting)
		sum.Limit += uint64(t.load.Limit)
	}
	return sum
}

// allowed returns why a call whose turn it is must not run, or "".
func (e *Entry) allowed(s *slot, c *openCall) core.Reason {
	call := c.body
	p := s.image.programs[c.program]
	root := s.image.programs[c.program.Root()]
	if p != nil && p.Ended || root != nil && root.Ended {
		return core.ReasonProgramEnded
	}
	if p != nil && !extends(p, call) {
		return core.ReasonHistoryMismatch
	}
	if kind := e.set.ProgramKind(call.ProgramKind); kind != nil && e.beyond(kind, p, root, call) {
		return core.ReasonLimitExceeded
	}
	if !e.affordable(s, call) {
		return core.ReasonBudgetExhausted
	}
	return ""
}

// beyond reports whether a call exceeds the limits of its program's kind.
func (e *Entry) beyond(kind *config.ProgramKind, p, root *core.Program, call *core.Call) bool {
	if kind.MaxDepth > 0 && call.Program.Depth() > kind.MaxDepth {
		return true
	}
	if p != nil && call.Kind == core.CallModel && kind.MaxTurns > 0 && p.Turns >= kind.MaxTurns {
		return true
	}
	age := kind.MaxAge.Nanos()
	return root != nil && age > 0 && e.now.Sub(root.Started) > age
}
