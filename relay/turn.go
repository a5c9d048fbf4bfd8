package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// ledgerTimeout bounds the ledger calls before a turn is sent. A quorum normally
	// responds within a few tens of milliseconds. After the loss of a member it
	// responds within a second.
	ledgerTimeout = 1500 * time.Millisecond
	// ledgerGracePeriod is the time after the ledger became unavailable in which
	// turns wait for it instead of being refused. It covers the time to detect an
	// unresponsive connection and to open another.
	ledgerGracePeriod = time.Second
	// settleTimeout bounds the write of a turn's settlement, which doesn't delay the
	// answer.
	settleTimeout = 4 * time.Second
	// ledgerRetryAfter is the Retry-After while the ledger has no quorum. A member that
	// was killed restarts within seconds.
	ledgerRetryAfter = 400 * time.Millisecond
	// retryTimeDivisor is the divisor of the time left that gives the longest Retry-After that
	// callers wait for.
	retryTimeDivisor = 3
)

// turn is a streaming request together with its state in the ledger.
type turn struct {
	*exchange
	// prompt is the text of the previous turns followed by the new input.
	prompt []byte
	// hasReservation is set while the ledger may hold a reservation for the turn.
	hasReservation bool
	// originSequence is the sequence of the last record of the turn's software in the ledger.
	originSequence uint32
	// output collects the data of the events if the turn is to be stored.
	output []byte
}

// serveTurn serves a streaming request.
func (e *exchange) serveTurn(ctx context.Context) {
	t := &turn{exchange: e, prompt: e.body}
	e.beforeSend = t.recordSoftware
	e.relay.signalLoadChange()
	if !t.prepare(ctx) {
		t.settle()
		return
	}
	t.ledgerWait = time.Since(t.arrived)
	defer t.beginAccountCall()()
	t.stream(ctx)
}

// hasBudget reports whether the turn's program has a token budget.
func (t *turn) hasBudget() bool { return t.call.Program != "" && t.call.BudgetTokens >= 0 }

// continuesChain reports whether the turn continues a stored chain of turns.
func (t *turn) continuesChain() bool { return t.route.StoresTurns && t.call.Previous != "" }

// prepare reserves the turn's tokens and assembles its prompt. If it returns false,
// it has answered the caller.
func (t *turn) prepare(ctx context.Context) bool {
	if (t.hasBudget() || t.route.StoresTurns) && !t.call.storable() {
		t.respond(http.StatusBadRequest, reasonBadID)
		return false
	}
	if !t.canFinish() {
		t.respondTimeout()
		return false
	}
	if t.route.StoresTurns && t.isResume() {
		// The events before the break are part of the turn, and nothing has kept them.
		t.respond(http.StatusServiceUnavailable, reasonTurnNotResumable)
		return false
	}
	if !t.hasBudget() && t.isResume() && !t.readOrigin(ctx) {
		return false
	}
	if !t.hasBudget() && !t.continuesChain() {
		return true
	}
	if !t.awaitLedger(ctx) {
		t.respondLedgerUnavailable()
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	asked := time.Now()
	spending, chain, err := t.reserveAndReadChain(ctx)
	t.relay.ledgerDelay.observe(asked, time.Now())
	if errors.Is(err, quorum.ErrNoSuchTurn) {
		t.respondUnknownTurn(ctx)
		return false
	}
	if errors.Is(err, errChainTooLong) {
		t.respond(http.StatusRequestEntityTooLarge, reasonChainTooLong)
		return false
	}
	if errors.Is(err, errNoMemory) {
		t.respondNoMemory()
		return false
	}
	if errors.Is(err, quorum.ErrOverloaded) {
		t.hasReservation = false
		t.lastErr = err
		t.respondUnavailable(reasonOverload, ledgerRetryAfter)
		return false
	}
	if err != nil {
		t.lastErr = err
		t.respondLedgerUnavailable()
		return false
	}
	if t.hasBudget() {
		if !t.admit(spending) {
			return false
		}
		t.lastTarget = spending.LastTarget()
		if t.isResume() && !t.resumeAt(spending) {
			return false
		}
	}
	if len(chain) > 0 {
		t.prompt = slices.Concat(chain, t.exchange.body)
	}
	return true
}

// respondUnknownTurn answers a turn whose account has no turn with the id of the previous one.
// A turn with that id that belongs to no account was stored before the configuration had
// accounts, so nothing shows whose it is.
func (t *turn) respondUnknownTurn(ctx context.Context) {
	if t.scope.isQualified() {
		_, err := t.relay.ledger.ReadChain(ctx, ledgerScope{}.qualify(t.call.Previous), 1)
		var tooLong *quorum.ChainTooLongError
		if err == nil || errors.As(err, &tooLong) {
			t.respondUnavailable(reasonTurnOwnerUnknown, ledgerRetryAfter)
			return
		}
		if !errors.Is(err, quorum.ErrNoSuchTurn) {
			t.lastErr = err
			t.respondLedgerUnavailable()
			return
		}
	}
	t.respond(http.StatusNotFound, reasonUnknownTurn)
}

// reserveAndReadChain reserves the turn's tokens and concurrently reads the chain
// that it continues. ErrNoSuchTurn and errChainTooLong take precedence over other errors, since
// they are definite.
func (t *turn) reserveAndReadChain(ctx context.Context) (spending *ledger.Spending, chain []byte, err error) {
	var chainErr error
	var wait sync.WaitGroup
	if t.continuesChain() {
		wait.Go(func() { chain, chainErr = t.readChain(ctx) })
	}
	if t.hasBudget() {
		t.hasReservation = true
		record := ledger.NewReservation(t.programID(), t.call.ID, t.call.MaxTokens, uint64(t.route.Retention.Milliseconds()))
		if !t.isResume() {
			t.software = t.likelySoftware()
			record.GetReservation().Software = t.software
		}
		// Without stored turns, the first turn of a program looks like all others.
		record.GetReservation().StartsProgram = t.route.StoresTurns && t.call.Previous == ""
		spending, err = t.relay.ledger.Append(ctx, record)
	}
	wait.Wait()
	if errors.Is(chainErr, quorum.ErrNoSuchTurn) || errors.Is(chainErr, errChainTooLong) {
		return nil, nil, chainErr
	}
	return spending, chain, errors.Join(err, chainErr)
}

// admit checks the program's budget and, for the first turn of a program, whether the
// service's load admits new programs. If it returns false, it has answered the caller.
func (t *turn) admit(spending *ledger.Spending) bool {
	committed := spending.Committed(t.call.ID)
	if committed+t.call.MaxTokens > t.call.BudgetTokens {
		t.respond(http.StatusPaymentRequired, reasonBudgetSpent)
		return false
	}
	startsProgram := committed == 0 && t.call.Previous == ""
	if !startsProgram {
		return true
	}
	if !t.startByQuota() || !t.admitProgram() {
		return false
	}
	t.recordProgramStart()
	return true
}

// admitProgram decides whether a new program may start. If it returns false, it has answered
// the caller.
func (t *turn) admitProgram() bool {
	decision := t.relay.admit(fleet.Program{Service: t.service, Account: t.accountHash(), Priority: t.priority()})
	t.relay.metrics.countProgram(decision.Admission)
	if decision.Admission == fleet.Admitted {
		return true
	}
	t.relay.logRefusedProgram(t.exchange, decision, time.Now())
	reason := reasonOverload
	if decision.Admission == fleet.OverShare {
		reason = reasonOverShare
	}
	t.respondUnavailable(reason, t.programRetryAfter())
	return false
}

// programRetryAfter returns the Retry-After of a refused program.
func (t *turn) programRetryAfter() time.Duration {
	account := t.accountHash()
	if account == 0 || t.relay.disabled.Disables(mechanism.FairShare) {
		return t.relay.retryAfter(t.service)
	}
	return t.relay.accountRetryAfter(t.service, account, time.Until(t.deadline)/retryTimeDivisor)
}

// awaitLedger waits for the ledger if it became unavailable less than
// ledgerGracePeriod ago, since connections are usually restored within milliseconds
// and killed members restart soon. After that it returns false at once.
func (t *turn) awaitLedger(ctx context.Context) bool {
	unavailable := t.relay.LedgerUnavailableFor()
	if unavailable == 0 {
		return true
	}
	if unavailable >= ledgerGracePeriod || t.relay.disabled.Disables(mechanism.LedgerGrace) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerGracePeriod-unavailable)
	defer cancel()
	return t.relay.ledger.AwaitQuorum(ctx)
}

// respondLedgerUnavailable refuses a turn because the ledger is unavailable. It
// closes the caller's connection, so that the caller reconnects to an entry that can
// reach the ledger, if there is one.
func (t *turn) respondLedgerUnavailable() {
	t.w.Header().Set("Connection", "close")
	t.respondUnavailable(reasonLedgerUnavailable, ledgerRetryAfter)
}

// settle records in the background how many tokens the turn has generated, which
// replaces its reservation.
func (t *turn) settle() {
	if !t.hasReservation {
		return
	}
	t.hasReservation = false
	record := ledger.NewSettlement(t.programID(), t.call.ID, t.deliveredTokens, t.choice.Target.ID)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if _, err := t.relay.ledger.Append(ctx, record); err != nil {
			// The reservation remains in the ledger, so the budget is charged for at
			// least as many tokens as were generated.
			t.relay.log.Warn().Str("event", "settlement_lost").Str("request", t.call.ID).
				Str("program", t.call.Program).Err(err).Msg("settlement could not be written; the budget is charged the turn's full reservation")
		}
	}()
}

// store writes a completely answered turn to the ledger, together with its
// settlement.
func (t *turn) store(ctx context.Context) error {
	records := []*ledgerpb.Record{ledger.NewTurn(&ledgerpb.Turn{
		Program: t.programID(), Id: t.scope.qualify(t.call.ID), Previous: t.scope.qualify(t.call.Previous),
		Input: t.exchange.body, Output: t.output, RetentionMs: uint64(t.route.Retention.Milliseconds()),
	})}
	if t.hasReservation {
		records = append(records, ledger.NewSettlement(t.programID(), t.call.ID, t.deliveredTokens, t.choice.Target.ID))
	}
	if _, err := t.relay.ledger.Append(ctx, records...); err != nil {
		return err
	}
	t.hasReservation = false
	return nil
}

// programID returns the id in the ledger of the turn's program. A turn without a program
// gets one of its own.
func (t *turn) programID() string {
	if t.call.Program != "" {
		return t.scope.qualify(t.call.Program)
	}
	return t.scope.qualify("turn/" + t.call.ID)
}
