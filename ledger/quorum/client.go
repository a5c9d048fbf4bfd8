// Package quorum is the client of the ledger: it writes records to every member
// and waits for a quorum, and reads from the nearest member that knows.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// hedgeAfter is the wait for one member before the next is asked as well. Chains
// are long and entries' links slow, so members are asked one at a time.
const hedgeAfter = 60 * time.Millisecond

// awaitPoll is the time between two looks whether a quorum is connected.
const awaitPoll = 10 * time.Millisecond

// Errors of calls to the ledger.
var (
	// ErrNoSuchTurn says that a quorum knows of no such turn.
	ErrNoSuchTurn = errors.New("no such turn")
	// ErrNoMembership says that the client does not know the members yet.
	ErrNoMembership = errors.New("members are not known")
)

// Error is a call that no quorum answered.
type Error struct {
	// Step is append or read.
	Step string
	// Peer tells how many of the members answered.
	Peer string
	Err  error
}

// Error returns the step, the peers and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger %s, %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client is a client of the ledger. It is safe for concurrent use.
type Client struct {
	disksLost int
	domain    string
	vias      func() []string

	mu    sync.RWMutex
	view  ledger.View
	links map[string]*link
}

// NewClient returns a client in a failure domain. It serves once SetView was
// called. Vias returns the entries through which members may be reached.
func NewClient(domain string, disksLost int, vias func() []string) *Client {
	return &Client{disksLost: disksLost, domain: domain, vias: vias, links: make(map[string]*link)}
}

// SetView takes a newer membership and reports whether it was one.
func (c *Client) SetView(view ledger.View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view.Version <= c.view.Version {
		return false
	}
	c.view = view
	wanted := make(map[string]bool, len(view.Seats))
	for _, seat := range view.Seats {
		id := seat.Name + "/" + seat.Addr
		wanted[id] = true
		if c.links[id] == nil {
			c.links[id] = newLink(seat, c.vias)
		}
	}
	for id, l := range c.links {
		if !wanted[id] {
			l.stop()
			delete(c.links, id)
		}
	}
	return true
}

// View returns the membership that the client acts on.
func (c *Client) View() ledger.View {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view
}

// HasQuorum says whether a quorum of the members is connected.
func (c *Client) HasQuorum() bool {
	view := c.View()
	return view.Version > 0 && c.connected() >= view.Quorum(c.disksLost)
}

// connected returns the number of members that are connected.
func (c *Client) connected() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	up := 0
	for _, l := range c.links {
		if l.up() {
			up++
		}
	}
	return up
}

// AwaitQuorum waits until a quorum of the members is connected, and reports whether it
// is.
func (c *Client) AwaitQuorum(ctx context.Context) bool { return await(ctx, c.HasQuorum) }

func await(ctx context.Context, up func() bool) bool {
	for !up() {
		if ctx.Err() != nil {
			return false
		}
		ctxwait.For(ctx, awaitPoll)
	}
	return true
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.links {
		l.stop()
		delete(c.links, id)
	}
}

// all returns the links to every member, the nearest first.
func (c *Client) all() (ledger.View, []*link) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var near, far []*link
	for _, l := range c.links {
		if l.seat.Domain == c.domain {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	links := append(near, far...)
	// A member that is not connected is asked last.
	slices.SortStableFunc(links, func(a, b *link) int {
		switch up, other := a.up(), b.up(); {
		case up == other:
			return 0
		case up:
			return -1
		default:
			return 1
		}
	})
	return c.view, links
}

// Append stores records at a quorum and returns the spending of the programs of
// the reservations among them, as the quorum knows it.
func (c *Client) Append(ctx context.Context, records ...*ledgerpb.Record) (*ledger.Spending, error) {
	view, links := c.all()
	if view.Version == 0 {
		return nil, &Error{Step: "append", Peer: "no member", Err: ErrNoMembership}
	}
	a := &appendCall{client: c, records: records, view: view, acks: make(map[string]bool), done: make(chan struct{})}
	for _, l := range links {
		l.send(a)
	}
	select {
	case <-a.done:
		return &a.spending, nil
	case <-ctx.Done():
		acks := a.abandon()
		return nil, &Error{Step: "append", Peer: fmt.Sprintf("%d of %d members", acks, len(view.Seats)), Err: ctx.Err()}
	}
}

// appendCall collects a quorum's acknowledgements.
type appendCall struct {
	client  *Client
	records []*ledgerpb.Record
	done    chan struct{}

	mu       sync.Mutex
	view     ledger.View
	acks     map[string]bool
	spending ledger.Spending
	over     bool
}

func (a *appendCall) request() *ledgerpb.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return nil
	}
	return &ledgerpb.Request{
		ViewVersion: a.view.Version,
		Call:        &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: a.records}},
	}
}

func (a *appendCall) answered(seat ledger.Seat, response *ledgerpb.Response) {
	if response.GetStatus() == ledgerpb.Status_STATUS_STALE_VIEW {
		a.refresh(response)
		return
	}
	if response.GetStatus() != ledgerpb.Status_STATUS_OK {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, member := a.view.Seat(seat.Name); a.over || !member {
		return
	}
	a.acks[seat.Name] = true
	for _, budget := range response.GetBudgets() {
		a.spending.Merge(budget)
	}
	if len(a.acks) >= a.view.Quorum(a.client.disksLost) {
		a.over = true
		close(a.done)
	}
}

// refresh begins again under the newer membership that a member told.
func (a *appendCall) refresh(response *ledgerpb.Response) {
	view, err := ledger.DecodeView(response.GetState().GetView())
	if err != nil {
		return
	}
	a.client.SetView(view)
	current, links := a.client.all()
	a.mu.Lock()
	if a.over || current.Version <= a.view.Version {
		a.mu.Unlock()
		return
	}
	a.view = current
	a.acks = make(map[string]bool)
	a.mu.Unlock()
	for _, l := range links {
		l.send(a)
	}
}

func (a *appendCall) abandon() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	return len(a.acks)
}

// ReadChain returns a turn's text: for it and each turn before it, oldest first,
// the input and the output. A member that was away for a while may lack a part of
// the chain; the rest is then read from the others.
func (c *Client) ReadChain(ctx context.Context, turn string) ([]byte, error) {
	text, missing, err := c.readPart(ctx, turn)
	for err == nil && missing != "" {
		var before []byte
		lacking := missing
		before, missing, err = c.readPart(ctx, lacking)
		if errors.Is(err, ErrNoSuchTurn) {
			err = &Error{Step: "read", Peer: "a quorum", Err: fmt.Errorf("the chain's turn %s is not known", lacking)}
		}
		text = append(before, text...)
	}
	return text, err
}

// readPart returns the longest part of a turn's chain that a member holds, and the
// turn that it goes on from, if any.
func (c *Client) readPart(ctx context.Context, turn string) (text []byte, missing string, err error) {
	view, links := c.all()
	if view.Version == 0 {
		return nil, "", &Error{Step: "read", Peer: "no member", Err: ErrNoMembership}
	}
	r := &readCall{client: c, turn: turn, version: view.Version, unknown: make(map[string]bool), done: make(chan struct{}),
		miss: make(chan struct{}, 1), quorum: view.Quorum(c.disksLost)}
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for _, l := range links {
		l.send(r)
		hedge.Reset(hedgeAfter)
		select {
		case <-r.done:
			return r.text, r.before, r.err
		case <-r.miss:
		case <-hedge.C:
		case <-ctx.Done():
		}
	}
	select {
	case <-r.done:
		return r.text, r.before, r.err
	case <-ctx.Done():
		answers := r.abandon()
		return nil, "", &Error{Step: "read", Peer: fmt.Sprintf("%d of %d members", answers, len(view.Seats)), Err: ctx.Err()}
	}
}

// readCall waits for a member that knows a turn, or a quorum that does not.
type readCall struct {
	client  *Client
	turn    string
	version uint64
	quorum  int
	done    chan struct{}
	// miss tells that a member does not know the turn.
	miss chan struct{}

	mu      sync.Mutex
	unknown map[string]bool
	text    []byte
	// before is the turn that text goes on from; empty if it is whole.
	before string
	err    error
	over   bool
}

func (r *readCall) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

func (r *readCall) request() *ledgerpb.Request {
	if r.isOver() {
		return nil
	}
	return &ledgerpb.Request{
		ViewVersion: r.version,
		Call:        &ledgerpb.Request_ReadChain{ReadChain: &ledgerpb.ReadChain{Turn: r.turn}},
	}
}

func (r *readCall) answered(seat ledger.Seat, response *ledgerpb.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return
	}
	switch response.GetStatus() {
	case ledgerpb.Status_STATUS_OK, ledgerpb.Status_STATUS_PARTIAL:
		r.text, r.before = response.GetChain(), response.GetMissing()
		r.over = true
		close(r.done)
		return
	case ledgerpb.Status_STATUS_STALE_VIEW:
		// The next call acts on the newer membership.
		if view, err := ledger.DecodeView(response.GetState().GetView()); err == nil {
			r.client.SetView(view)
		}
	case ledgerpb.Status_STATUS_NOT_FOUND:
		r.unknown[seat.Name] = true
		if len(r.unknown) >= r.quorum {
			r.err = ErrNoSuchTurn
			r.over = true
			close(r.done)
			return
		}
	}
	select {
	case r.miss <- struct{}{}:
	default:
	}
}

func (r *readCall) abandon() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	return len(r.unknown)
}
