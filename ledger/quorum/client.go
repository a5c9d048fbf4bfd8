// Package quorum is the client of the ledger. It sends records to every member and
// waits for a quorum, and reads from the first member that has the turn, preferring
// those in its own failure domain.
package quorum

import (
	"cmp"
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

const (
	// quorumPollPeriod is the time between two checks for a connected quorum.
	quorumPollPeriod = 10 * time.Millisecond
	// minResendDelay and maxResendDelay bound the time after which a call is sent again to a
	// member that was recovering or overloaded. It doubles with each time.
	minResendDelay = 50 * time.Millisecond
	maxResendDelay = 400 * time.Millisecond
)

// Errors of calls to the ledger.
var (
	// ErrNoSuchTurn means that every member of a quorum lacks the turn.
	ErrNoSuchTurn = errors.New("no such turn")
	// ErrOverloaded means that members have too many calls in flight to begin a program.
	ErrOverloaded = errors.New("members are overloaded")
	// ErrNoMembership means that the client has not received a view yet.
	ErrNoMembership = errors.New("members are not known")
)

// ChainTooLongError reports a chain that is longer than the caller has room for.
type ChainTooLongError struct {
	// Bytes is the size of the chain, or of the part that is known.
	Bytes int
}

// Error returns the size.
func (e *ChainTooLongError) Error() string {
	return fmt.Sprintf("ledger read: the chain has %d bytes or more, which is more than was asked for", e.Bytes)
}

// Error is the error of a call to which no quorum responded.
type Error struct {
	// Step is append, read or relay.
	Step string
	// Peer describes the members concerned, such as how many responded or, for
	// relay, to how many the request was sent.
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
	tunnels   func() []string
	hedges    *hedgeBudget

	mu    sync.RWMutex
	view  ledger.View
	links map[string]*link
	// forwardingPaused is the end of the pause of forwarding by failure domain, each of which
	// takes forwardPause.
	forwardingPaused map[string]time.Time
	forwardPause     time.Duration
}

// NewClient returns a client in a failure domain. Its calls fail with ErrNoMembership
// until SetView is called. Tunnels returns the addresses of the entries' tunnels, through
// which the client connects to members that it cannot reach directly.
func NewClient(domain string, disksLost int, tunnels func() []string) *Client {
	return &Client{
		disksLost: disksLost, domain: domain, tunnels: tunnels, hedges: newHedgeBudget(),
		links: make(map[string]*link), forwardingPaused: make(map[string]time.Time), forwardPause: forwardPause,
	}
}

// SetView adopts the view if it is newer than the current one, and reports whether it
// did.
func (c *Client) SetView(view ledger.View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view.Version <= c.view.Version {
		return false
	}
	c.view = view
	wanted := make(map[string]bool, len(view.Seats))
	for _, seat := range view.Seats {
		id := linkID(seat)
		wanted[id] = true
		if c.links[id] == nil {
			c.links[id] = newLink(seat, c.tunnels)
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

// linkTo returns the link to a member; nil if the current view does not have its seat.
func (c *Client) linkTo(seat ledger.Seat) *link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.links[linkID(seat)]
}

// linkID identifies a member's link: a member with another address needs another one.
func linkID(seat ledger.Seat) string { return seat.Name + "/" + seat.Addr }

// View returns the client's current view.
func (c *Client) View() ledger.View {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view
}

// HasQuorum reports whether a quorum of the members is connected.
func (c *Client) HasQuorum() bool {
	view := c.View()
	return view.Version > 0 && c.connectedMembers(view.Counts) >= view.Quorum(c.disksLost)
}

// connectedMembers returns the number of members with a connection among those that are
// included.
func (c *Client) connectedMembers(included func(name string) bool) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	connected := 0
	for _, l := range c.links {
		if included(l.seat.Name) && l.isConnected() {
			connected++
		}
	}
	return connected
}

// AwaitQuorum waits until a quorum of the members is connected. It returns false if ctx
// ends first.
func (c *Client) AwaitQuorum(ctx context.Context) bool { return awaitCondition(ctx, c.HasQuorum) }

// IsConnected reports whether all members that count are connected.
func (c *Client) IsConnected() bool {
	view := c.View()
	return c.connectedMembers(view.Counts) == len(view.Counting())
}

func awaitCondition(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		ctxwait.Sleep(ctx, quorumPollPeriod)
	}
	return true
}

// Close closes the connections to all members.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.links {
		l.stop()
		delete(c.links, id)
	}
}

// linksByPreference returns the view and the links to all members. Connected members
// come first, then the stalled and the unconnected ones; within each group, members in the
// client's failure domain come first.
func (c *Client) linksByPreference() (ledger.View, []*link) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var sameDomain, otherDomains []*link
	for _, l := range c.links {
		if l.seat.Domain == c.domain {
			sameDomain = append(sameDomain, l)
		} else {
			otherDomains = append(otherDomains, l)
		}
	}
	links := append(sameDomain, otherDomains...)
	slices.SortStableFunc(links, func(a, b *link) int { return cmp.Compare(a.rank(), b.rank()) })
	return c.view, links
}

// Append stores records at a quorum. It returns the spending of the programs for which
// the records reserve tokens, merged from the quorum's responses.
func (c *Client) Append(ctx context.Context, records ...*ledgerpb.Record) (*ledger.Spending, error) {
	view, links := c.linksByPreference()
	if view.Version == 0 {
		return nil, &Error{Step: "append", Peer: "no member", Err: ErrNoMembership}
	}
	a := &appendCall{
		client: c, records: records, began: time.Now(), view: view, acks: make(map[string]bool), resends: resends{client: c}, done: make(chan struct{}),
		deliveries: c.planDeliveries(records, view, links), awaiting: make(map[string]bool), lacking: make(map[string]bool),
	}
	for _, l := range links {
		l.send(a)
	}
	select {
	case <-a.done:
		return &a.spending, nil
	case <-ctx.Done():
		acks := a.cancel()
		return nil, &Error{Step: "append", Peer: fmt.Sprintf("%d of %d members", acks, len(view.Counting())), Err: ctx.Err()}
	}
}

// appendCall collects a quorum's acknowledgements.
type appendCall struct {
	client  *Client
	records []*ledgerpb.Record
	began   time.Time
	done    chan struct{}

	mu       sync.Mutex
	view     ledger.View
	acks     map[string]bool
	spending ledger.Spending
	isDone   bool
	resends  resends
	// deliveries are those that have not begun. What is sent to a member again is sent whole.
	deliveries map[string]delivery
	// awaiting are the members that wait for forwarded records, lacking those that waited in
	// vain.
	awaiting, lacking map[string]bool
}

// resends sends a call again to members that could not execute it yet.
type resends struct {
	client *Client
	// delays are the last delays, by the name of the member.
	delays map[string]time.Duration
}

// later sends the call to a member after a delay. The lock of the call must be held.
func (r *resends) later(c call, seat ledger.Seat) {
	if r.delays == nil {
		r.delays = make(map[string]time.Duration)
	}
	delay := min(max(minResendDelay, 2*r.delays[seat.Name]), maxResendDelay)
	r.delays[seat.Name] = delay
	time.AfterFunc(delay, func() {
		if l := r.client.linkTo(seat); l != nil {
			l.send(c)
		}
	})
}

func (a *appendCall) request(seat ledger.Seat) *ledgerpb.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDone && !a.lacking[seat.Name] {
		return nil
	}
	delete(a.lacking, seat.Name)
	how := a.deliveries[seat.Name]
	delete(a.deliveries, seat.Name)
	req := &ledgerpb.Request{ViewVersion: a.view.Version}
	if how.isForwarded {
		a.awaiting[seat.Name] = true
		req.Call = &ledgerpb.Request_AwaitRecords{AwaitRecords: &ledgerpb.AwaitRecords{Keys: keysOf(a.records)}}
	} else {
		delete(a.awaiting, seat.Name)
		req.Call = &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: a.records, ForwardTo: how.forwardTo}}
	}
	return req
}

func (a *appendCall) handleResponse(seat ledger.Seat, response *ledgerpb.Response) {
	if a.wasNotForwarded(seat, response.GetStatus()) {
		a.sendWhole(seat)
		return
	}
	if response.GetStatus() == ledgerpb.Status_STATUS_STALE_VIEW {
		a.restartWithNewerView(response)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDone {
		return
	}
	if response.GetStatus() == ledgerpb.Status_STATUS_RECOVERING {
		a.resends.later(a, seat)
	}
	if response.GetStatus() != ledgerpb.Status_STATUS_OK || !a.view.Counts(seat.Name) || a.age(time.Now()) > ledger.MaxAppendTime {
		return
	}
	a.acks[seat.Name] = true
	for _, budget := range response.GetBudgets() {
		a.spending.Merge(budget)
	}
	if len(a.acks) >= a.view.Quorum(a.client.disksLost) {
		a.isDone = true
		close(a.done)
	}
}

// age returns the time since the call began. The steady clock does not count the time for which the
// VM was suspended.
func (a *appendCall) age(now time.Time) time.Duration {
	return max(now.Sub(a.began), now.Round(0).Sub(a.began.Round(0)))
}

// restartWithNewerView sends the call again, under the newer view that a member returned.
func (a *appendCall) restartWithNewerView(response *ledgerpb.Response) {
	view, err := ledger.DecodeView(response.GetState().GetView())
	if err != nil {
		return
	}
	a.client.SetView(view)
	current, links := a.client.linksByPreference()
	a.mu.Lock()
	if a.isDone || current.Version <= a.view.Version {
		a.mu.Unlock()
		return
	}
	a.view = current
	a.acks = make(map[string]bool)
	a.deliveries, a.awaiting, a.lacking = nil, make(map[string]bool), make(map[string]bool)
	a.mu.Unlock()
	for _, l := range links {
		l.send(a)
	}
}

// cancel ends the call and returns the number of members that acknowledged it.
func (a *appendCall) cancel() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isDone = true
	return len(a.acks)
}

// ReadChain returns the text of a chain of turns: the input and the output of the turn
// and of each turn before it, oldest first. A member that was down may lack turns of
// the chain; these are then read from other members. If the chain is longer than maxBytes, it
// is not read, and the error is a *ChainTooLongError; zero means no bound.
func (c *Client) ReadChain(ctx context.Context, turn string, maxBytes int) ([]byte, error) {
	text, missing, err := c.readChainPart(ctx, turn, maxBytes)
	for read := map[string]bool{turn: true}; err == nil && missing != ""; read[missing] = true {
		if read[missing] {
			// No member has a part with which the chain begins.
			return nil, &ChainTooLongError{Bytes: ledger.EndlessChainBytes}
		}
		var earlier []byte
		missingTurn, left := missing, maxBytes
		if maxBytes > 0 {
			left = max(maxBytes-len(text), 1)
		}
		earlier, missing, err = c.readChainPart(ctx, missingTurn, left)
		var tooLong *ChainTooLongError
		if errors.As(err, &tooLong) {
			err = &ChainTooLongError{Bytes: tooLong.Bytes + len(text)}
		}
		if errors.Is(err, ErrNoSuchTurn) {
			err = &Error{Step: "read", Peer: "a quorum", Err: fmt.Errorf("turn %s of the chain is not stored", missingTurn)}
		}
		text = append(earlier, text...)
	}
	return text, err
}

// readChainPart returns the part of a chain that ends with the turn and goes as far back
// as one member has stored it. Missing is the turn that precedes this part; empty if the
// chain is complete.
func (c *Client) readChainPart(ctx context.Context, turn string, maxBytes int) (text []byte, missing string, err error) {
	view, links := c.linksByPreference()
	if view.Version == 0 {
		return nil, "", &Error{Step: "read", Peer: "no member", Err: ErrNoMembership}
	}
	r := &readCall{client: c, turn: turn, maxBytes: maxBytes, view: view, lacksTurn: make(map[string]bool), resends: resends{client: c}, done: make(chan struct{}),
		noChain: make(chan struct{}, 1)}
	hedge := c.hedges.startHedgeTimer()
	defer hedge.Stop()
	for _, l := range links {
		l.send(r)
		hedge.sent(l)
		for isWaiting := true; isWaiting; {
			select {
			case <-r.done:
				return r.text, r.missing, r.err
			case <-r.noChain:
				isWaiting = false
			case <-hedge.C:
				isWaiting = !hedge.mayHedge()
			case <-ctx.Done():
				isWaiting = false
			}
		}
	}
	select {
	case <-r.done:
		return r.text, r.missing, r.err
	case <-ctx.Done():
		responses := r.cancel()
		return nil, "", &Error{Step: "read", Peer: fmt.Sprintf("%d of %d members", responses, len(view.Counting())), Err: ctx.Err()}
	}
}

// readCall waits for a member that has a turn, or for a quorum that lacks it.
type readCall struct {
	client   *Client
	turn     string
	maxBytes int
	done     chan struct{}
	// noChain signals that a member responded without a chain.
	noChain chan struct{}

	mu        sync.Mutex
	view      ledger.View
	resends   resends
	lacksTurn map[string]bool
	text      []byte
	// missing is the turn that precedes text in the chain; empty if the chain is complete.
	missing string
	err     error
	isDone  bool
}

func (r *readCall) request(ledger.Seat) *ledgerpb.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone {
		return nil
	}
	return &ledgerpb.Request{
		ViewVersion: r.view.Version,
		Call:        &ledgerpb.Request_ReadChain{ReadChain: &ledgerpb.ReadChain{Turn: r.turn, MaxBytes: uint64(r.maxBytes)}},
	}
}

func (r *readCall) handleResponse(seat ledger.Seat, response *ledgerpb.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone {
		return
	}
	switch response.GetStatus() {
	case ledgerpb.Status_STATUS_OK, ledgerpb.Status_STATUS_PARTIAL:
		r.text, r.missing = response.GetChain(), response.GetMissing()
		r.isDone = true
		close(r.done)
		return
	case ledgerpb.Status_STATUS_TOO_LONG:
		r.err = &ChainTooLongError{Bytes: int(response.GetChainBytes())}
		r.isDone = true
		close(r.done)
		return
	case ledgerpb.Status_STATUS_STALE_VIEW:
		if view, err := ledger.DecodeView(response.GetState().GetView()); err == nil {
			r.client.SetView(view)
			r.adoptNewerView()
		}
	case ledgerpb.Status_STATUS_RECOVERING, ledgerpb.Status_STATUS_OVERLOADED:
		r.resends.later(r, seat)
	case ledgerpb.Status_STATUS_NOT_FOUND:
		if r.view.Counts(seat.Name) {
			r.lacksTurn[seat.Name] = true
		}
		if len(r.lacksTurn) >= r.view.Quorum(r.client.disksLost) {
			r.err = ErrNoSuchTurn
			r.isDone = true
			close(r.done)
			return
		}
	}
	select {
	case r.noChain <- struct{}{}:
	default:
	}
}

// adoptNewerView asks all members again under the client's view if it is newer: under the one
// before, members do not say that they lack the turn.
func (r *readCall) adoptNewerView() {
	view, links := r.client.linksByPreference()
	if view.Version <= r.view.Version {
		return
	}
	r.view = view
	clear(r.lacksTurn)
	for _, l := range links {
		go l.send(r)
	}
}

// cancel ends the call and returns the number of members that lack the turn.
func (r *readCall) cancel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDone = true
	return len(r.lacksTurn)
}
