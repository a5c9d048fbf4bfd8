package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// minRelayRetryDelay and maxRelayRetryDelay bound the average delay before the next round
	// after all members have failed. It doubles with each round, so that calls that wait for
	// overloaded members do not keep them so.
	minRelayRetryDelay = 50 * time.Millisecond
	maxRelayRetryDelay = 400 * time.Millisecond
	// unavailableAfterFailure is how long the ledger is considered unavailable after
	// all members have failed. Then the next call tries it again.
	unavailableAfterFailure = 200 * time.Millisecond
)

// RelayClient is a client that sends records to one member, which relays them to the
// others. It is for processes with slow network links. It is safe for concurrent use.
type RelayClient struct {
	*Client

	mu          sync.Mutex
	lastFailure time.Time
}

// NewRelayClient returns a relaying client. The parameters are those of NewClient.
func NewRelayClient(domain string, disksLost int, tunnels func() []string) *RelayClient {
	return &RelayClient{Client: NewClient(domain, disksLost, tunnels)}
}

// HasQuorum reports whether a member is connected. It also returns false for
// unavailableAfterFailure after all members have failed to reach a quorum.
func (r *RelayClient) HasQuorum() bool {
	r.mu.Lock()
	failed := !r.lastFailure.IsZero() && time.Since(r.lastFailure) < unavailableAfterFailure
	r.mu.Unlock()
	return !failed && r.connectedMembers(func(string) bool { return true }) > 0
}

// AwaitQuorum waits until HasQuorum is true. It returns false if ctx ends first.
func (r *RelayClient) AwaitQuorum(ctx context.Context) bool { return awaitCondition(ctx, r.HasQuorum) }

func (r *RelayClient) recordOutcome(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.lastFailure = time.Time{}
	} else {
		r.lastFailure = time.Now()
	}
}

// Append sends the records to one member after the other, until one has stored them at
// a quorum or ctx ends. It tries the next member after a failure, or when the hedge timer
// allows it. It returns the spending of the programs for which the records reserve tokens,
// merged from the quorum's responses. If the first member rejects the start of a program
// because of its load, the error is ErrOverloaded, and nothing was stored.
func (r *RelayClient) Append(ctx context.Context, records ...*ledgerpb.Record) (*ledger.Spending, error) {
	_, links := r.linksByPreference()
	if len(links) == 0 {
		return nil, &Error{Step: "relay", Peer: "no member", Err: ErrNoMembership}
	}
	c := &relayCall{records: records, done: make(chan struct{}), failed: make(chan ledgerpb.Status, len(links))}
	defer c.cancel()
	hedge := r.hedges.startHedgeTimer()
	defer hedge.Stop()
	sent, failures, total := 0, 0, 0
	sendNext, retryDelay := true, minRelayRetryDelay
	for {
		if sendNext && sent < len(links) {
			links[sent].send(c)
			hedge.sent(links[sent])
			sent++
			total++
		}
		sendNext = true
		select {
		case <-c.done:
			r.recordOutcome(true)
			return &c.spending, nil
		case status := <-c.failed:
			if status == ledgerpb.Status_STATUS_OVERLOADED && total == 1 && startsProgram(records) {
				// No member has stored the records.
				return nil, &Error{Step: "relay", Peer: links[sent-1].seat.Name, Err: ErrOverloaded}
			}
			if failures++; failures < len(links) {
				continue
			}
			r.recordOutcome(false)
			sent, failures = 0, 0
			ctxwait.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRelayRetryDelay)
		case <-hedge.C:
			sendNext = hedge.mayHedge()
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return nil, &Error{Step: "relay", Peer: fmt.Sprintf("%d of %d members asked", sent, len(links)), Err: ctx.Err()}
		}
	}
}

// startsProgram reports whether the records only begin a program, which may be rejected
// without the loss of work that was done for it.
func startsProgram(records []*ledgerpb.Record) bool {
	for _, rec := range records {
		if !rec.GetReservation().GetStartsProgram() {
			return false
		}
	}
	return true
}

// relayCall waits for the first member that stores the records at a quorum.
type relayCall struct {
	records []*ledgerpb.Record
	done    chan struct{}
	// failed receives the status of each member that did not store the records at a
	// quorum.
	failed chan ledgerpb.Status

	mu       sync.Mutex
	spending ledger.Spending
	isDone   bool
}

func (c *relayCall) request(ledger.Seat) *ledgerpb.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDone {
		return nil
	}
	return &ledgerpb.Request{Call: &ledgerpb.Request_Relay{Relay: &ledgerpb.Relay{Records: c.records}}}
}

func (c *relayCall) handleResponse(_ ledger.Seat, response *ledgerpb.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDone {
		return
	}
	if response.GetStatus() != ledgerpb.Status_STATUS_OK {
		select {
		case c.failed <- response.GetStatus():
		default:
		}
		return
	}
	for _, budget := range response.GetBudgets() {
		c.spending.Merge(budget)
	}
	c.isDone = true
	close(c.done)
}

// cancel ends the call. Links may keep it until they are connected again, but not its records.
func (c *relayCall) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDone, c.records = true, nil
}
