package quorum

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// relayHedge is the wait for one member before the next is asked as well. A
	// quorum answers in about ten milliseconds, with slow disks in some more.
	relayHedge = 60 * time.Millisecond
	// relayRetry is the pause after all members have failed.
	relayRetry = 50 * time.Millisecond
	// failureMemory is how long after such a failure the ledger counts as out of
	// reach, before the next call tries it.
	failureMemory = 200 * time.Millisecond
)

// RelayClient is a client that sends each record to one member, which passes it on to
// the others. It is for callers with slow links. It is safe for concurrent use.
type RelayClient struct {
	*Client

	mu     sync.Mutex
	failed time.Time
}

// NewRelayClient returns a client like NewClient does.
func NewRelayClient(domain string, disksLost int, vias func() []string) *RelayClient {
	return &RelayClient{Client: NewClient(domain, disksLost, vias)}
}

// HasQuorum says whether a member is connected that had a quorum when last asked.
func (r *RelayClient) HasQuorum() bool {
	r.mu.Lock()
	failed := !r.failed.IsZero() && time.Since(r.failed) < failureMemory
	r.mu.Unlock()
	return !failed && r.connected() > 0
}

// AwaitQuorum waits until HasQuorum holds and reports whether it does.
func (r *RelayClient) AwaitQuorum(ctx context.Context) bool { return await(ctx, r.HasQuorum) }

func (r *RelayClient) note(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.failed = time.Time{}
	} else {
		r.failed = time.Now()
	}
}

// Append stores records at a quorum and returns the spending of the programs of
// the reservations among them, as the quorum knows it.
func (r *RelayClient) Append(ctx context.Context, records ...*ledgerpb.Record) (*ledger.Spending, error) {
	_, links := r.all()
	if len(links) == 0 {
		return nil, &Error{Step: "relay", Peer: "no member", Err: ErrNoMembership}
	}
	c := &relayCall{records: records, done: make(chan struct{}), failed: make(chan struct{}, len(links))}
	hedge := time.NewTimer(relayHedge)
	defer hedge.Stop()
	sent, failures := 0, 0
	for {
		if sent < len(links) {
			links[sent].send(c)
			sent++
		}
		hedge.Reset(relayHedge)
		select {
		case <-c.done:
			r.note(true)
			return &c.spending, nil
		case <-c.failed:
			if failures++; failures < len(links) {
				continue
			}
			r.note(false)
			sent, failures = 0, 0
			ctxwait.For(ctx, relayRetry)
		case <-hedge.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			c.abandon()
			return nil, &Error{Step: "relay", Peer: fmt.Sprintf("%d of %d members asked", sent, len(links)), Err: ctx.Err()}
		}
	}
}

// relayCall waits for the first member that had a quorum.
type relayCall struct {
	records []*ledgerpb.Record
	done    chan struct{}
	// failed tells of each member that had none.
	failed chan struct{}

	mu       sync.Mutex
	spending ledger.Spending
	over     bool
}

func (c *relayCall) request() *ledgerpb.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return nil
	}
	return &ledgerpb.Request{Call: &ledgerpb.Request_Relay{Relay: &ledgerpb.Relay{Records: c.records}}}
}

func (c *relayCall) answered(_ ledger.Seat, response *ledgerpb.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	if response.GetStatus() != ledgerpb.Status_STATUS_OK {
		select {
		case c.failed <- struct{}{}:
		default:
		}
		return
	}
	for _, budget := range response.GetBudgets() {
		c.spending.Merge(budget)
	}
	c.over = true
	close(c.done)
}

func (c *relayCall) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
}
