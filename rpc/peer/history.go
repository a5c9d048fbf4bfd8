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

// HistoryTimeout bounds the transfer of one conversation between two processes.
const HistoryTimeout = 2 * time.Second

// HistoryStore stores a sidecar's conversations. Conversations are passed in the
// encoded form of package history.
type HistoryStore interface {
	// Put stores a conversation and notifies owner, the owner of its program.
	Put(ctx context.Context, body []byte, owner core.Node) error
	// Get returns a stored conversation that contains the messages that ref
	// identifies.
	Get(ctx context.Context, ref core.HistoryRef) ([]byte, error)
}

var errNoHistory = errors.New("no conversations are kept here")

// PutHistory stores a copy of a conversation.
func (h *Handler) PutHistory(ctx context.Context, req *peerpb.PutHistoryRequest) (*peerpb.PutHistoryResponse, error) {
	if h.History == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoHistory)
	}
	if err := h.History.Put(ctx, req.GetBody(), wire.ToNode(req.GetHome())); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return &peerpb.PutHistoryResponse{}, nil
}

// GetHistory responds with a stored conversation.
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

// PutHistory sends a sidecar a copy of a conversation to store.
func (c *Client) PutHistory(ctx context.Context, vm core.VM, body []byte, owner core.Node) error {
	return c.call(ctx, "put history", vm, func(ctx context.Context, cc *conn) error {
		_, err := cc.service.PutHistory(ctx, &peerpb.PutHistoryRequest{Body: body, Home: wire.FromNode(owner)})
		return err
	})
}

// GetHistory reads a conversation from a sidecar.
func (c *Client) GetHistory(ctx context.Context, vm core.VM, ref core.HistoryRef) (body []byte, err error) {
	err = c.call(ctx, "get history", vm, func(ctx context.Context, cc *conn) error {
		resp, err := cc.service.GetHistory(ctx, &peerpb.GetHistoryRequest{Ref: wire.FromHistoryRef(&ref)})
		body = resp.GetBody()
		return err
	})
	return body, err
}

// call makes one call to a peer, bounded by HistoryTimeout. After an error it
// discards the connection, unless the error is a response of the peer's handler.
func (c *Client) call(ctx context.Context, step string, vm core.VM, fn func(context.Context, *conn) error) error {
	addr := c.address(string(vm))
	if addr == "" {
		return &DeliveryError{Step: step, Peer: string(vm), Err: errNoAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, HistoryTimeout)
	defer cancel()
	holder := c.callConn(string(vm))
	cc := holder.get(addr)
	err := fn(ctx, cc)
	if err == nil {
		return nil
	}
	if code := connect.CodeOf(err); code != connect.CodeFailedPrecondition && code != connect.CodeUnimplemented {
		holder.discard(cc)
	}
	return &DeliveryError{Step: step, Peer: string(vm), Err: err}
}
