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

// AnswerStore stores the answers of a sidecar's attempts.
type AnswerStore interface {
	// Serve sends the answer of an attempt, starting at an offset. It returns when
	// the answer has ended, ctx is done or send fails.
	Serve(ctx context.Context, attempt core.AttemptID, offset uint64, send func(*peerpb.AttachResponse) error) error
}

// Handler serves the requests of peers.
type Handler struct {
	// Self is this process's VM and incarnation; messages to another incarnation
	// are dropped.
	Self core.Node
	// Receive handles a message; it must not block.
	Receive func(from core.Node, msg core.Message)
	// OnAdvertisedAddress is called for each batch with its sender's VM and the
	// address at which that VM listens.
	OnAdvertisedAddress func(vm core.VM, addr string)
	// Answers is nil for an entry.
	Answers AnswerStore
	// History is nil for an entry.
	History HistoryStore
	// Config returns the generation of the active configuration. If that generation
	// is above known, it also returns the configuration as canonical text. Config
	// is nil if peers cannot fetch the configuration from this process.
	Config func(known uint64) (generation uint64, set []byte, err error)
}

// HTTP returns the path of the service and the HTTP handler for it.
func (h *Handler) HTTP() (string, http.Handler) {
	// Messages are small and frequent, so compression would cost more than it saves.
	return peerpbconnect.NewPeerServiceHandler(h,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
}

// Deliver passes the messages of each batch to Receive and acknowledges the batch.
func (h *Handler) Deliver(_ context.Context, stream *connect.BidiStream[peerpb.DeliverRequest, peerpb.DeliverResponse]) error {
	for {
		req, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		resp, err := h.deliverBatch(req)
		if err != nil {
			return err
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

// deliverBatch passes the messages of one batch to Receive. It drops messages to
// another incarnation and messages that cannot be decoded, as if they had been lost.
func (h *Handler) deliverBatch(req *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
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

// Attach streams the answer of an attempt. It rejects a request to another
// incarnation of this sidecar, because answers do not survive a restart.
func (h *Handler) Attach(ctx context.Context, req *peerpb.AttachRequest, stream *connect.ServerStream[peerpb.AttachResponse]) error {
	requested := wire.ToNode(req.GetSidecar())
	if h.Answers == nil || requested != h.Self {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the sidecar's life has ended"))
	}
	return h.Answers.Serve(ctx, wire.ToAttempt(req.GetAttempt()), req.GetOffset(), stream.Send)
}

// FetchConfig responds with the active configuration.
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
