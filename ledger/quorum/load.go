package quorum

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// errNoLoad means that a member's response contains no load.
var errNoLoad = errors.New("the member does not exchange load")

// ExchangeLoad reports this process's load and returns that of all others. All clients
// choose the same member among those that they are connected to.
func (c *Client) ExchangeLoad(ctx context.Context, vm string, own loadboard.Report) (loadboard.Summary, error) {
	links := c.loadLinks()
	if len(links) == 0 {
		return loadboard.Summary{}, &Error{Step: "load", Peer: "no member", Err: ErrNoMembership}
	}
	l := links[0]
	call := &loadCall{load: ledger.EncodeLoadReport(own), vm: vm, response: make(chan *ledgerpb.Load, 1)}
	l.send(call)
	select {
	case load := <-call.response:
		if load == nil {
			return loadboard.Summary{}, &Error{Step: "load", Peer: l.seat.Name, Err: errNoLoad}
		}
		return ledger.DecodeLoadSummary(load), nil
	case <-ctx.Done():
		return loadboard.Summary{}, &Error{Step: "load", Peer: l.seat.Name, Err: ctx.Err()}
	}
}

// boardTimeout bounds how long to wait for one member's permit or grant before the next is
// asked. It is several round trips; callers wait meanwhile.
const boardTimeout = 60 * time.Millisecond

// AcquirePermit asks for the permit to send one request, within maxWait, to a target with a
// rate limit in requests per second. All clients ask the same member among those that they are
// connected to and that have a quorum.
func (c *Client) AcquirePermit(ctx context.Context, target uint64, perSecond float64, maxWait time.Duration) (loadboard.Permit, error) {
	ask := &ledgerpb.AcquirePermit{Target: target, PerSecond: perSecond, MaxWaitUs: uint64(max(0, maxWait.Microseconds()))}
	response, err := c.askBoard(ctx, "permit", &ledgerpb.Request{Call: &ledgerpb.Request_AcquirePermit{AcquirePermit: ask}})
	if err != nil {
		return loadboard.Permit{}, err
	}
	return ledger.DecodePermit(response.GetPermit()), nil
}

// AcquireQuota asks for requests out of an account's quota, of the same member as
// AcquirePermit.
func (c *Client) AcquireQuota(ctx context.Context, ask loadboard.QuotaAsk) (loadboard.QuotaGrant, error) {
	response, err := c.askBoard(ctx, "quota", &ledgerpb.Request{Call: &ledgerpb.Request_AcquireQuota{AcquireQuota: ledger.EncodeQuotaAsk(ask)}})
	if err != nil {
		return loadboard.QuotaGrant{}, err
	}
	return ledger.DecodeQuotaGrant(response.GetQuota()), nil
}

// askBoard sends a request to the member that holds the load board, or to the next one if that
// does not answer.
func (c *Client) askBoard(ctx context.Context, step string, request *ledgerpb.Request) (response *ledgerpb.Response, err error) {
	err = &Error{Step: step, Peer: "no member", Err: ErrNoMembership}
	for _, l := range c.loadLinks() {
		if response, err = askMember(ctx, l, step, request); err == nil || ctx.Err() != nil {
			break
		}
	}
	return response, err
}

func askMember(ctx context.Context, l *link, step string, request *ledgerpb.Request) (*ledgerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, boardTimeout)
	defer cancel()
	call := &boardCall{ask: proto.CloneOf(request), response: make(chan *ledgerpb.Response, 1)}
	l.send(call)
	select {
	case response := <-call.response:
		if status := response.GetStatus(); status != ledgerpb.Status_STATUS_OK {
			return nil, &Error{Step: step, Peer: l.seat.Name, Err: fmt.Errorf("status %v", status)}
		}
		return response, nil
	case <-ctx.Done():
		return nil, &Error{Step: step, Peer: l.seat.Name, Err: ctx.Err()}
	}
}

// boardCall is one request to the load board of one member. It is sent on one connection only,
// since its sender asks the next member instead.
type boardCall struct {
	ask      *ledgerpb.Request
	response chan *ledgerpb.Response
	isSent   atomic.Bool
}

func (c *boardCall) request(ledger.Seat) *ledgerpb.Request {
	if c.isSent.Swap(true) {
		return nil
	}
	return c.ask
}

func (c *boardCall) handleResponse(_ ledger.Seat, response *ledgerpb.Response) {
	c.response <- response
}

// loadLinks returns the links to the connected members, in an order that all clients share.
func (c *Client) loadLinks() []*link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var connected []*link
	for _, l := range c.links {
		if l.isConnected() {
			connected = append(connected, l)
		}
	}
	slices.SortFunc(connected, func(a, b *link) int {
		return cmp.Compare(xxhash.Sum64String(a.seat.Name), xxhash.Sum64String(b.seat.Name))
	})
	return connected
}

// loadCall is one exchange of load with one member. It is sent on one connection only,
// since a later exchange replaces it.
type loadCall struct {
	vm       string
	load     *ledgerpb.Load
	response chan *ledgerpb.Load
	isSent   bool
}

func (c *loadCall) request(ledger.Seat) *ledgerpb.Request {
	if c.isSent {
		return nil
	}
	c.isSent = true
	return &ledgerpb.Request{Call: &ledgerpb.Request_ExchangeLoad{ExchangeLoad: &ledgerpb.ExchangeLoad{Vm: c.vm, Load: c.load}}}
}

func (c *loadCall) handleResponse(_ ledger.Seat, response *ledgerpb.Response) {
	c.response <- response.GetLoad()
}
