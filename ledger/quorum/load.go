package quorum

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// errNoLoad means that a member's response contains no load.
var errNoLoad = errors.New("the member does not exchange load")

// ExchangeLoad reports this process's load and returns that of all others. All clients
// choose the same member among those that they are connected to.
func (c *Client) ExchangeLoad(ctx context.Context, vm string, own loadboard.Report) (loadboard.Summary, error) {
	l := c.loadLink()
	if l == nil {
		return loadboard.Summary{}, &Error{Step: "load", Peer: "no member", Err: ErrNoMembership}
	}
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

// loadLink returns the link to the first connected member in an order that all clients
// share, or nil.
func (c *Client) loadLink() *link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var connected []*link
	for _, l := range c.links {
		if l.isConnected() {
			connected = append(connected, l)
		}
	}
	if len(connected) == 0 {
		return nil
	}
	return slices.MinFunc(connected, func(a, b *link) int {
		return cmp.Compare(xxhash.Sum64String(a.seat.Name), xxhash.Sum64String(b.seat.Name))
	})
}

// loadCall is one exchange of load with one member. It is sent on one connection only,
// since a later exchange replaces it.
type loadCall struct {
	vm       string
	load     *ledgerpb.Load
	response chan *ledgerpb.Load
	isSent   bool
}

func (c *loadCall) request() *ledgerpb.Request {
	if c.isSent {
		return nil
	}
	c.isSent = true
	return &ledgerpb.Request{Call: &ledgerpb.Request_ExchangeLoad{ExchangeLoad: &ledgerpb.ExchangeLoad{Vm: c.vm, Load: c.load}}}
}

func (c *loadCall) handleResponse(_ ledger.Seat, response *ledgerpb.Response) {
	c.response <- response.GetLoad()
}
