package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// budgetOf returns the token budget of a new program, or zero if neither the
// caller nor the program's kind sets one. If both do, the smaller one applies.
func (e *Entry) budgetOf(call *core.Call) uint64 {
	kind := e.set.ProgramKind(call.ProgramKind)
	if kind == nil || kind.BudgetTokens == 0 {
		return call.Budget
	}
	if call.Budget == 0 {
		return kind.BudgetTokens
	}
	return min(call.Budget, kind.BudgetTokens)
}

// isAffordable reports whether the root's budget covers a call in addition to
// what is spent and reserved.
func (e *Entry) isAffordable(s *slot, call *core.Call) bool {
	root := s.snapshot.programs[call.Program.Root()]
	if root == nil {
		budget := e.budgetOf(call)
		return budget == 0 || call.Cost() <= budget
	}
	return root.Budget == 0 || root.Spent+root.Reserved+call.Cost() <= root.Budget
}

// reserve reserves the most tokens that a call can spend. They count against
// the root program's budget and the account's escrow.
func (e *Entry) reserve(s *slot, r *core.CallRecord, call *core.Call) {
	cost := call.Cost()
	root := s.editProgram(call.Program.Root())
	root.Reserved += cost
	r.Reserved = cost
	e.chargeEscrow(s, call.Account, cost)
	e.checkBudget(root)
}

// settle replaces a call's reservation with the tokens spent. If the outcome is
// unknown, the entire reservation is passed as spent.
func (e *Entry) settle(s *slot, id core.ProgramID, r *core.CallRecord, spent uint64) {
	root := s.editProgram(id.Root())
	root.Reserved -= min(root.Reserved, r.Reserved)
	root.Spent += spent
	e.refundEscrow(s, root.Account, r.Reserved, spent)
	e.invariants.Check(invariant.Budget, spent <= r.Reserved,
		"%s: call %d of %s spent %d tokens of %d reserved", e.self, r.Seq, id, spent, r.Reserved)
	r.Reserved = 0
	e.checkBudget(root)
}

func (e *Entry) checkBudget(root *core.Program) {
	e.invariants.Check(invariant.Budget, root.Budget == 0 || root.Spent+root.Reserved <= root.Budget,
		"%s: program %s has spent %d and reserved %d tokens of a budget of %d",
		e.self, root.ID, root.Spent, root.Reserved, root.Budget)
}
