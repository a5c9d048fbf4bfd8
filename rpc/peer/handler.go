package peer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb/peerpbconnect"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/wire"
)

// Answers is where a sidecar keeps the answers of its attempts.
type Answers interface {
	// Serve sends an answer from an offset on; it returns when the answer has
	// ended, the context is done or send fails.
	Serve(ctx context.Context, attempt core.AttemptID, offset uint64, send func(*peerpb.AttachResponse) error) error
}

// Handler receives what peers send.
type Handler struct {
	// Self is this life; messages to another incarnation are dropped.
	Self core.Node
	// Receive takes a message; it must not block.
	Receive func(from core.Node, msg core.Message)
	// OnAdvertisedAddress is told the address of a sender.
	OnAdvertisedAddress func(vm core.VM, addr string)
	// Answers is nil for an entry.
	Answers Answers
	// History is nil for an entry.
	History History
	// Config returns the configuration in force if its generation is above
	// known, as canonical text; else only the generation.
	Config func(known uint64) (generation uint64, set []byte, err error)
}

// HTTP returns the path and the handler to serve.
func (h *Handler) HTTP() (string, http.Handler) {
	// Messages are small and frequent: compression would cost more than it saves.
	return peerpbconnect.NewPeerServiceHandler(h,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
}

// Deliver passes batches on to Receive and acknowledges each.
func (h *Handler) Deliver(_ context.Context, stream *connect.BidiStream[peerpb.DeliverRequest, peerpb.DeliverResponse]) error {
	for {
		req, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		resp, err := h.take(req)
		if err != nil {
			return err
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

// take passes one batch on. Messages that cannot be decoded are dropped, as lost
// ones would be.
func (h *Handler) take(req *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
	from := wire.ToNode(req.GetFrom())
	if from.IsZero() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a batch needs its sender"))
	}
	h.OnAdvertisedAddress(from.VM, req.GetFromAddress())
	resp := &peerpb.DeliverResponse{Node: wire.FromNode(h.Self)}
	for _, env := range req.GetMessages() {
		if inc := env.GetToInc(); inc != 0 && core.Incarnation(inc) != h.Self.Inc {
			resp.Dropped++
			continue
		}
		msg, err := wire.Decode(env)
		if err != nil {
			resp.Dropped++
			continue
		}
		h.Receive(from, msg)
	}
	return resp, nil
}

// Attach streams the answer of an attempt. Another life than the one asked for
// refuses, because the answers of an earlier life are gone.
func (h *Handler) Attach(ctx context.Context, req *peerpb.AttachRequest, stream *connect.ServerStream[peerpb.AttachResponse]) error {
	asked := wire.ToNode(req.GetSidecar())
	if h.Answers == nil || asked != h.Self {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the sidecar's life has ended"))
	}
	return h.Answers.Serve(ctx, wire.ToAttempt(req.GetAttempt()), req.GetOffset(), stream.Send)
}

// FetchConfig answers with the configuration in force.
func (h *Handler) FetchConfig(_ context.Context, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	if h.Config == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("no configuration is kept here"))
	}
	generation, set, err := h.Config(req.GetGeneration())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &peerpb.FetchConfigResponse{Generation: generation, Set: set}, nil
}

var _ peerpbconnect.PeerServiceHandler = (*Handler)(nil)
