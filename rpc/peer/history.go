package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/wire"
)

// HistoryTimeout bounds the passing of one conversation between two processes.
const HistoryTimeout = 2 * time.Second

// History is where a sidecar keeps conversations, in the encoded form of package
// history.
type History interface {
	// Put keeps a conversation and tells the home.
	Put(ctx context.Context, body []byte, home core.Node) error
	// Get returns a conversation that holds the one that ref names.
	Get(ctx context.Context, ref core.HistoryRef) ([]byte, error)
}

var errNoHistory = errors.New("no conversations are kept here")

// PutHistory keeps a copy of a conversation.
func (h *Handler) PutHistory(ctx context.Context, req *peerpb.PutHistoryRequest) (*peerpb.PutHistoryResponse, error) {
	if h.History == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoHistory)
	}
	if err := h.History.Put(ctx, req.GetBody(), wire.ToNode(req.GetHome())); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return &peerpb.PutHistoryResponse{}, nil
}

// GetHistory answers with a conversation that is kept here.
func (h *Handler) GetHistory(ctx context.Context, req *peerpb.GetHistoryRequest) (*peerpb.GetHistoryResponse, error) {
	if h.History == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoHistory)
	}
	body, err := h.History.Get(ctx, wire.ToHistoryRef(req.GetRef()))
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return &peerpb.GetHistoryResponse{Body: body}, nil
}

// PutHistory gives a sidecar a copy of a conversation.
func (m *Client) PutHistory(ctx context.Context, vm core.VM, body []byte, home core.Node) error {
	return m.call(ctx, "put history", vm, func(ctx context.Context, c *conn) error {
		_, err := c.client.PutHistory(ctx, &peerpb.PutHistoryRequest{Body: body, Home: wire.FromNode(home)})
		return err
	})
}

// GetHistory reads a conversation from a sidecar.
func (m *Client) GetHistory(ctx context.Context, vm core.VM, ref core.HistoryRef) (body []byte, err error) {
	err = m.call(ctx, "get history", vm, func(ctx context.Context, c *conn) error {
		resp, err := c.client.GetHistory(ctx, &peerpb.GetHistoryRequest{Ref: wire.FromHistoryRef(&ref)})
		body = resp.GetBody()
		return err
	})
	return body, err
}

// call makes one call to a peer. A connection that gives no answer is replaced.
func (m *Client) call(ctx context.Context, step string, vm core.VM, fn func(context.Context, *conn) error) error {
	addr := m.address(string(vm))
	if addr == "" {
		return &DeliveryError{Step: step, Peer: string(vm), Err: errNoAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, HistoryTimeout)
	defer cancel()
	slot := m.reader(string(vm))
	c := slot.get(addr)
	err := fn(ctx, c)
	if err == nil {
		return nil
	}
	if code := connect.CodeOf(err); code != connect.CodeFailedPrecondition && code != connect.CodeUnimplemented {
		slot.discard(c)
	}
	return &DeliveryError{Step: step, Peer: string(vm), Err: err}
}
