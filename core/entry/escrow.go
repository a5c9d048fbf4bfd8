package entry

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

const (
	// callsPerGrant is the size of a grant, as a multiple of the cost of the call
	// that needs it.
	callsPerGrant = 8
	// maxRecentGrants bounds the length of grantRecord.Recent.
	maxRecentGrants = 16
	// grantTimeout bounds the wait of a call for a grant while the key-value
	// service does not respond.
	grantTimeout = 2 * core.Second
)

// grant is a request for more of an account's budget. The part of the budget
// that is granted to a slot in advance is the slot's escrow.
type grant struct {
	amount   uint64
	proposal string
	inFlight bool
	// uncertain is set if a compare-and-swap was sent and it is not known whether
	// it took effect.
	uncertain bool
	triedAt   core.Instant
	// exhausted is set if nothing was left of the account's budget.
	exhausted   bool
	exhaustedAt core.Instant
}

// grantRecord is the stored number of tokens granted from an account's budget.
type grantRecord struct {
	Granted uint64
	// Recent lists the proposal IDs of the last grants. A writer whose response
	// was lost looks for its own ID here to find out whether its grant took
	// effect.
	Recent []string
}

// accountBudget returns an account's total budget in tokens; zero means that
// none is set.
func (e *Entry) accountBudget(a core.Account) uint64 {
	if cfg := e.set.Account(string(a)); cfg != nil {
		return cfg.BudgetTokens
	}
	return 0
}

// ensureEscrow reports whether the slot's escrow covers a call. It requests
// another grant before the escrow is used up, so that calls seldom wait for one.
// A call that cannot get a grant is ended.
func (e *Entry) ensureEscrow(s *slot, c *openCall) bool {
	budget := e.accountBudget(c.call.Account)
	cost := c.call.Cost()
	if budget == 0 || cost == 0 || e.holdsReservation(s, c) {
		return true
	}
	x := s.snapshot.escrows[c.call.Account]
	free := x.Granted - min(x.Used, x.Granted)
	if free < callsPerGrant/2*cost {
		e.requestGrant(s, c.call.Account, callsPerGrant*cost)
	}
	if free >= cost {
		return true
	}
	e.refuseIfNoGrant(s, c)
	return false
}

// holdsReservation reports whether a call already has its budget reserved.
func (e *Entry) holdsReservation(s *slot, c *openCall) bool {
	p := s.snapshot.programs[c.program]
	if p == nil {
		return false
	}
	r := findRecord(p, c.seq)
	return r != nil && r.Reserved > 0
}

// refuseIfNoGrant refuses a call if the budget is exhausted or the grant
// takes too long.
func (e *Entry) refuseIfNoGrant(s *slot, c *openCall) {
	g := s.ownerState.grants[c.call.Account]
	switch {
	case g != nil && g.exhausted:
		e.failCall(s, c, core.ReasonBudgetExhausted, 0)
	case e.now.Sub(c.readyAt) >= grantTimeout:
		e.failCall(s, c, core.ReasonBudgetUnavailable, defaultRetryAfter)
	}
}

// chargeEscrow charges a reservation to the slot's escrow.
func (e *Entry) chargeEscrow(s *slot, a core.Account, cost uint64) {
	if e.accountBudget(a) == 0 || cost == 0 {
		return
	}
	x := s.snapshot.escrows[a]
	x.Account = a
	x.Used += cost
	e.invariants.Check(invariant.Budget, x.Used <= x.Granted,
		"%s: account %s used %d tokens of %d granted in slot %d", e.self, a, x.Used, x.Granted, s.id)
	s.setEscrow(x)
	e.markDirty(s)
}

// refundEscrow returns the unspent part of a reservation to the slot's escrow.
func (e *Entry) refundEscrow(s *slot, a core.Account, reserved, spent uint64) {
	x, ok := s.snapshot.escrows[a]
	if !ok || reserved == spent {
		return
	}
	x.Used = x.Used + spent - min(reserved, x.Used+spent)
	s.setEscrow(x)
	e.markDirty(s)
}

// requestGrant requests a grant unless one is in flight or the budget is
// exhausted.
func (e *Entry) requestGrant(s *slot, a core.Account, amount uint64) {
	g := s.ownerState.grants[a]
	if g != nil && !e.canRequestGrant(g) {
		return
	}
	if g == nil || !g.uncertain {
		e.store.lastOp++
		g = &grant{proposal: fmt.Sprintf("%s/%d", e.self, e.store.lastOp), amount: amount}
		s.ownerState.grants[a] = g
	}
	kind := opEscrowGet
	if g.uncertain {
		kind = opEscrowReadBack
	}
	e.readEscrow(s, a, g, kind)
}

// canRequestGrant reports whether a grant may be requested again.
func (e *Entry) canRequestGrant(g *grant) bool {
	if g.inFlight {
		return false
	}
	if g.exhausted {
		return e.now.Sub(g.exhaustedAt) >= e.times.suspect
	}
	return e.now.Sub(g.triedAt) >= e.times.heartbeat
}

func (e *Entry) readEscrow(s *slot, a core.Account, g *grant, kind opKind) {
	g.inFlight = true
	g.triedAt = e.now
	op := storeOp{kind: kind, slot: s.id, account: a, proposal: g.proposal}
	e.emit(core.StoreGet{Op: e.newOp(op), Key: core.EscrowKey(a)})
}

// grantOf returns the grant that an operation belongs to, or nil if this entry
// is no longer the slot's owner. The grant is then lost, which only reduces
// what the account can spend.
func (e *Entry) grantOf(op storeOp) (*slot, *grant) {
	s := e.slots[op.slot]
	if s.ownerState == nil {
		return s, nil
	}
	g := s.ownerState.grants[op.account]
	if g == nil || g.proposal != op.proposal {
		return s, nil
	}
	g.inFlight = false
	return s, g
}

// parseGrants parses the stored record and returns it with its revision; an
// absent key means that nothing was granted.
func parseGrants(r core.StoreResult) (grantRecord, int64) {
	var rec grantRecord
	if len(r.Records) == 0 || json.Unmarshal(r.Records[0].Value, &rec) != nil {
		return grantRecord{}, 0
	}
	return rec, r.Records[0].Revision
}

// escrowRead adds the grant, or what is left of the account's budget if that is
// less, to the stored record.
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
		e.markExhausted(s, g)
		return
	}
	rec.Granted += g.amount
	rec.Recent = append(rec.Recent, g.proposal)
	rec.Recent = rec.Recent[max(0, len(rec.Recent)-maxRecentGrants):]
	value, err := json.Marshal(rec)
	if err != nil {
		return
	}
	g.inFlight = true
	g.uncertain = true
	op.kind = opEscrowCompareAndSwap
	e.emit(core.StoreCompareAndSwap{
		Op: e.newOp(op), Key: core.EscrowKey(op.account), Revision: revision, Value: value,
	})
}

func (e *Entry) markExhausted(s *slot, g *grant) {
	g.exhausted = true
	g.exhaustedAt = e.now
	e.placeReadyCalls(s)
}

// escrowSwapped applies a grant. If the result of the compare-and-swap is lost,
// the record is read back.
func (e *Entry) escrowSwapped(op storeOp, r core.StoreResult) {
	s, g := e.grantOf(op)
	if g == nil {
		return
	}
	if r.Err || !r.Swapped {
		e.readEscrow(s, op.account, g, opEscrowReadBack)
		return
	}
	e.applyGrant(s, op.account, g)
}

// escrowReadBack applies a grant if the stored record contains it.
func (e *Entry) escrowReadBack(op storeOp, r core.StoreResult) {
	s, g := e.grantOf(op)
	if g == nil || r.Err {
		return
	}
	rec, _ := parseGrants(r)
	if slices.Contains(rec.Recent, g.proposal) {
		e.applyGrant(s, op.account, g)
		return
	}
	delete(s.ownerState.grants, op.account)
	e.placeReadyCalls(s)
}

func (e *Entry) applyGrant(s *slot, a core.Account, g *grant) {
	x := s.snapshot.escrows[a]
	x.Account = a
	x.Granted += g.amount
	s.setEscrow(x)
	delete(s.ownerState.grants, a)
	e.markDirty(s)
	e.placeReadyCalls(s)
}

// placeReadyCalls places the calls that may have waited for a grant.
func (e *Entry) placeReadyCalls(s *slot) {
	for _, c := range s.openCalls() {
		if c.state == stateReady && e.now >= c.retryAt {
			e.placeCall(s, c)
		}
	}
}
