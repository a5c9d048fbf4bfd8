package entry

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

const (
	// grantCalls is the size of a grant in calls of the size that asked for it.
	grantCalls = 8
	// maxRecentGrants bounds the proposals that the stored count remembers.
	maxRecentGrants = 16
	// grantWait bounds the wait of a call for a grant while the key-value
	// service does not answer.
	grantWait = 2 * core.Second
)

// grant is a request for more of an account's budget.
type grant struct {
	amount   uint64
	proposal string
	busy     bool
	// readBack says that a swap was sent and its effect is not known.
	readBack bool
	triedAt  core.Instant
	// exhausted says that the account's budget had not enough left.
	exhausted   bool
	exhaustedAt core.Instant
}

// grantRecord is the stored count of an account's granted tokens.
type grantRecord struct {
	Granted uint64
	// Recent names the last grants; a writer whose answer was lost finds out by
	// it whether its grant counts.
	Recent []string
}

// accountBudget returns an account's whole budget; zero means none is set.
func (e *Entry) accountBudget(a core.Account) uint64 {
	if cfg := e.set.Account(string(a)); cfg != nil {
		return cfg.BudgetTokens
	}
	return 0
}

// escrowed reports whether the slot's part of the account's budget covers a
// call. It asks for more ahead of need, so that calls seldom wait.
func (e *Entry) escrowed(s *slot, c *openCall) bool {
	budget := e.accountBudget(c.body.Account)
	cost := c.body.Cost()
	if budget == 0 || cost == 0 || e.holdsReservation(s, c) {
		return true
	}
	x := s.image.escrows[c.body.Account]
	free := x.Granted - min(x.Used, x.Granted)
	if free < grantCalls/2*cost {
		e.askGrant(s, c.body.Account, grantCalls*cost)
	}
	if free >= cost {
		return true
	}
	e.awaitGrant(s, c)
	return false
}

// holdsReservation reports whether a call already has its part reserved.
func (e *Entry) holdsReservation(s *slot, c *openCall) bool {
	p := s.image.programs[c.program]
	if p == nil {
		return false
	}
	r := findRecord(p, c.seq)
	return r != nil && r.Reserved > 0
}

// awaitGrant refuses a call that no grant will come for.
func (e *Entry) awaitGrant(s *slot, c *openCall) {
	g := s.home.grants[c.body.Account]
	switch {
	case g != nil && g.exhausted:
		e.giveUp(s, c, core.ReasonBudgetExhausted, 0)
	case e.now.Sub(c.readyAt) >= grantWait:
		e.giveUp(s, c, core.ReasonBudgetUnavailable, retryHint)
	}
}

// chargeEscrow takes a reservation from the slot's part.
func (e *Entry) chargeEscrow(s *slot, a core.Account, cost uint64) {
	if e.accountBudget(a) == 0 || cost == 0 {
		return
	}
	x := s.image.escrows[a]
	x.Account = a
	x.Used += cost
	e.check.Check(invariant.Budget, x.Used <= x.Granted,
		"%s: account %s used %d of %d granted in slot %d", e.self, a, x.Used, x.Granted, s.id)
	s.setEscrow(x)
	e.mark(s)
}

// refundEscrow gives back what a reservation did not spend.
func (e *Entry) refundEscrow(s *slot, a core.Account, reserved, spent uint64) {
	x, ok := s.image.escrows[a]
	if !ok || reserved == spent {
		return
	}
	x.Used = x.Used + spent - min(reserved, x.Used+spent)
	s.setEscrow(x)
	e.mark(s)
}

// askGrant starts a grant unless one is under way or the budget is exhausted.
func (e *Entry) askGrant(s *slot, a core.Account, amount uint64) {
	g := s.home.grants[a]
	if g != nil && !e.grantIdle(g) {
		return
	}
	if g == nil || !g.readBack {
		e.store.next++
		g = &grant{proposal: fmt.Sprintf("%s/%d", e.self, e.store.next), amount: amount}
		s.home.grants[a] = g
	}
	kind := opEscrowGet
	if g.readBack {
		kind = opEscrowReadBack
	}
	e.readEscrow(s, a, g, kind)
}

// grantIdle reports whether a grant may be asked for again.
func (e *Entry) grantIdle(g *grant) bool {
	if g.busy {
		return false
	}
	if g.exhausted {
		return e.now.Sub(g.exhaustedAt) >= e.times.suspect
	}
	return e.now.Sub(g.triedAt) >= e.times.heartbeat
}

func (e *Entry) readEscrow(s *slot, a core.Account, g *grant, kind opKind) {
	g.busy = true
	g.triedAt = e.now
	op := storeOp{kind: kind, slot: s.id, account: a, proposal: g.proposal}
	e.emit(core.StoreGet{Op: e.newOp(op), Key: core.EscrowKey(a)})
}

// grantOf returns the grant that an operation belongs to, or nil if this entry
// is not the slot's home any more. A grant lost in this way only makes the
// account's budget smaller.
func (e *Entry) grantOf(op storeOp) (*slot, *grant) {
	s := e.slots[op.slot]
	if s.home == nil {
		return s, nil
	}
	g := s.home.grants[op.account]
	if g == nil || g.proposal != op.proposal {
		return s, nil
	}
	g.busy = false
	return s, g
}

// parseGrants reads the stored count; an absent key counts nothing.
func parseGrants(r core.StoreResult) (grantRecord, int64) {
	var rec grantRecord
	if len(r.Entries) == 0 || json.Unmarshal(r.Entries[0].Value, &rec) != nil {
		return grantRecord{}, 0
	}
	return rec, r.Entries[0].Revision
}

// escrowRead adds the grant to the stored count if the account's budget covers
// it, or what is left of the budget.
func (e *Entry) escrowRead(op storeOp, r core.StoreResult) {
	s, g := e.grantOf(op)
	if g == nil || r.Err {
		return
	}
	rec, revision := parseGrants(r)
	left := e.accountBudget(op.account)
	left -= min(left, rec.Granted)
	g.amount = min(g.amount, left)
	if g.amount == 0 {
		e.grantExhausted(s, g)
		return
	}
	rec.Granted += g.amount
	rec.Recent = append(rec.Recent, g.proposal)
	rec.Recent = rec.Recent[max(0, len(rec.Recent)-maxRecentGrants):]
	value, err := json.Marshal(rec)
	if err != nil {
		return
	}
	g.busy = true
	g.readBack = true
	op.kind = opEscrowSwap
	e.emit(core.StoreCompareAndSwap{
		Op: e.newOp(op), Key: core.EscrowKey(op.account), Revision: revision, Value: value,
	})
}

func (e *Entry) grantExhausted(s *slot, g *grant) {
	g.exhausted = true
	g.exhaustedAt = e.now
	e.retryReady(s)
}

// escrowSwapped takes a grant in. A lost answer is settled by reading back.
func (e *Entry) escrowSwapped(op storeOp, r core.StoreResult) {
	s, g := e.grantOf(op)
	if g == nil {
		return
	}
	if r.Err || !r.Swapped {
		e.readEscrow(s, op.account, g, opEscrowReadBack)
		return
	}
	e.granted(s, op.account, g)
}

// escrowReadBack takes a grant in if the stored count contains it.
func (e *Entry) escrowReadBack(op storeOp, r core.StoreResult) {
	s, g := e.grantOf(op)
	if g == nil || r.Err {
		return
	}
	rec, _ := parseGrants(r)
	if slices.Contains(rec.Recent, g.proposal) {
		e.granted(s, op.account, g)
		return
	}
	delete(s.home.grants, op.account)
	e.retryReady(s)
}

func (e *Entry) granted(s *slot, a core.Account, g *grant) {
	x := s.image.escrows[a]
	x.Account = a
	x.Granted += g.amount
	s.setEscrow(x)
	delete(s.home.grants, a)
	e.mark(s)
	e.retryReady(s)
}

// retryReady places the calls that waited for a grant.
func (e *Entry) retryReady(s *slot) {
	for _, c := range s.openCalls() {
		if c.state == stateReady && e.now >= c.retryAt {
			e.place(s, c)
		}
	}
}
