package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
)

const (
	// ledgerTimeout bounds the wait for the ledger before a turn is sent. A
	// quorum answers in some ten milliseconds, after the loss of a member within
	// a second.
	ledgerTimeout = 1500 * time.Millisecond
	// ledgerPatience is how long after the loss of the ledger turns wait for it. It
	// is the time to find a silent connection and make another, with some margin.
	ledgerPatience = time.Second
	// settleTimeout bounds the writing of what a turn has generated. It runs
	// beside the answer.
	settleTimeout = 4 * time.Second
	// ledgerRetry is told when the ledger has no quorum. A member that was killed
	// is back within seconds.
	ledgerRetry = 400 * time.Millisecond
)

// turn is a streaming request with what the ledger knows of it.
type turn struct {
	*exchange
	// body is the whole prompt: the chain before and the new input.
	body []byte
	// reserved says that the ledger may hold a reservation.
	reserved bool
	// output collects the data of the events, for kept turns.
	output []byte
}

// serveTurn answers a streaming request.
func (e *exchange) serveTurn(ctx context.Context) {
	t := &turn{exchange: e, body: e.body}
	if !t.prepare(ctx) {
		t.settle()
		return
	}
	t.ledgerTook = time.Since(t.arrived)
	t.stream(ctx)
}

// budgeted says whether the turn is on a budget.
func (t *turn) budgeted() bool { return t.call.Program != "" && t.call.BudgetTokens >= 0 }

func (t *turn) continues() bool { return t.route.StoresTurns && t.call.Previous != "" }

// prepare reserves the turn's tokens and assembles its prompt. If it returns
// false, the caller has its answer.
func (t *turn) prepare(ctx context.Context) bool {
	if (t.budgeted() || t.route.StoresTurns) && !t.call.storable() {
		t.respond(http.StatusBadRequest, reasonBadID)
		return false
	}
	if !t.budgeted() && !t.continues() {
		return true
	}
	if !t.awaitLedger(ctx) {
		t.refuseLedger()
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	spending, chain, err := t.consult(ctx)
	if errors.Is(err, quorum.ErrNoSuchTurn) {
		t.respond(http.StatusNotFound, reasonNoTurn)
		return false
	}
	if err != nil {
		t.last = err
		t.refuseLedger()
		return false
	}
	if t.budgeted() {
		if !t.mayBegin(spending) {
			return false
		}
		t.lastTarget = spending.LastTarget()
	}
	if len(chain) > 0 {
		t.body = append(chain, t.exchange.body...)
	}
	return true
}

// consult reserves the turn's tokens and, beside that, reads the chain that it
// continues. An unknown turn goes before other errors: it is certain.
func (t *turn) consult(ctx context.Context) (spending *ledger.Spending, chain []byte, err error) {
	var chainErr error
	var wait sync.WaitGroup
	if t.continues() {
		wait.Go(func() { chain, chainErr = t.readChain(ctx) })
	}
	if t.budgeted() {
		t.reserved = true
		spending, err = t.relay.ledger.Append(ctx, ledger.NewReservation(
			t.call.Program, t.call.ID, t.call.MaxTokens, uint64(t.route.Retention.Milliseconds())))
	}
	wait.Wait()
	if errors.Is(chainErr, quorum.ErrNoSuchTurn) {
		return nil, nil, chainErr
	}
	return spending, chain, errors.Join(err, chainErr)
}

// mayBegin checks the program's budget and, for a program that begins, the load. If
// it returns false, the caller has its answer.
func (t *turn) mayBegin(spending *ledger.Spending) bool {
	committed := spending.Committed(t.call.ID)
	if committed+t.call.MaxTokens > t.call.BudgetTokens {
		t.respond(http.StatusPaymentRequired, reasonBudget)
		return false
	}
	begins := committed == 0 && t.call.Previous == ""
	if begins && !t.relay.admits(t.service, t.route.Priority) {
		t.refuse(reasonOverload, t.relay.retryAfter(t.service))
		return false
	}
	return true
}

// readChain returns the text that the turn continues.
func (t *turn) readChain(ctx context.Context) ([]byte, error) {
	if text, ok := t.relay.turns.chain(t.call.Previous, len(t.exchange.body)); ok {
		t.relay.metrics.cachedChains.Inc()
		return text, nil
	}
	return t.relay.ledger.ReadChain(ctx, t.call.Previous)
}

// awaitLedger waits for a ledger that was lost a moment ago: members that were
// killed are back soon, and connections are made again in milliseconds. After that
// turns are refused at once.
func (t *turn) awaitLedger(ctx context.Context) bool {
	away := t.relay.LedgerUnavailableFor()
	if away == 0 {
		return true
	}
	if away >= ledgerPatience {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerPatience-away)
	defer cancel()
	return t.relay.ledger.AwaitQuorum(ctx)
}

// refuseLedger refuses a turn for want of the ledger. The caller's next connection
// goes to an entry that has it, if there is one.
func (t *turn) refuseLedger() {
	t.w.Header().Set("Connection", "close")
	t.refuse(reasonLedger, ledgerRetry)
}

// settle writes, beside the answer, what the turn has generated.
func (t *turn) settle() {
	if !t.reserved {
		return
	}
	t.reserved = false
	record := ledger.NewSettlement(t.call.Program, t.call.ID, t.tokens, t.choice.Target.ID)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if _, err := t.relay.ledger.Append(ctx, record); err != nil {
			// The reservation stands for it, which is never too little.
			t.relay.log.Warn().Str("event", "settlement_lost").Str("request", t.call.ID).
				Str("program", t.call.Program).Err(err).Msg("the program's budget counts the most that the turn may generate")
		}
	}()
}

// keep stores a turn that was answered whole, with what it has generated.
func (t *turn) keep(ctx context.Context) error {
	records := []*ledgerpb.Record{ledger.NewTurn(&ledgerpb.Turn{
		Program: t.program(), Id: t.call.ID, Previous: t.call.Previous,
		Input: t.exchange.body, Output: t.output, RetentionMs: uint64(t.route.Retention.Milliseconds()),
	})}
	if t.reserved {
		records = append(records, ledger.NewSettlement(t.call.Program, t.call.ID, t.tokens, t.choice.Target.ID))
	}
	if _, err := t.relay.ledger.Append(ctx, records...); err != nil {
		return err
	}
	t.reserved = false
	t.relay.turns.put(&cachedTurn{id: t.call.ID, previous: t.call.Previous, input: t.exchange.body, output: t.output})
	return nil
}

// program returns the program that a kept turn belongs to. A turn without one
// stands for itself.
func (t *turn) program() string {
	if t.call.Program != "" {
		return t.call.Program
	}
	return "turn/" + t.call.ID
}

// eventTokens returns how many tokens one event stands for.
func (t *turn) eventTokens() int {
	if engine := t.config.Services[t.service].Engine; engine != nil {
		return engine.EventTokens
	}
	return 1
}
