package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/wire"
)

// Times of the answer streams. A sidecar sends a heartbeat after
// HeartbeatPeriod without data; a reader takes a stream for silent after
// StreamIdleTimeout.
const (
	HeartbeatPeriod   = 250 * time.Millisecond
	StreamIdleTimeout = 4 * HeartbeatPeriod
	// reattachPause is the wait before a stream is attached again.
	reattachPause = 50 * time.Millisecond
)

// AnswerLostError reports that an answer can no longer be read: the life of the
// sidecar that kept it has ended, or it has dropped the answer.
type AnswerLostError struct {
	Attempt core.AttemptID
	Sidecar core.Node
	Err     error
}

// Error returns the attempt, the sidecar and the cause.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("attach: answer of %s at %s is lost: %v", e.Attempt, e.Sidecar, e.Err)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Err }

// ReadAnswer reads the answer of an attempt and passes its parts, in order and
// without gaps, to sink. It attaches again at its offset, over a fresh
// connection, when the stream breaks or goes silent, and returns nil after the
// end, a LostError when the sidecar's life is gone for good, the sink's error,
// or the context's.
func (m *Client) ReadAnswer(ctx context.Context, attempt core.AttemptID, sidecar core.Node, sink func([]byte) error) error {
	r := &reader{mesh: m, attempt: attempt, sidecar: sidecar, sink: sink}
	for {
		done, err := r.attach(ctx)
		switch {
		case done:
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		m.report(&DeliveryError{Step: "attach", Peer: string(sidecar.VM), Err: err})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reattachPause):
		}
	}
}

// reader is the state of one Read.
type reader struct {
	mesh    *Client
	attempt core.AttemptID
	sidecar core.Node
	sink    func([]byte) error
	offset  uint64
}

// errNoAddress is the cause when a VM is not on the list.
var errNoAddress = errors.New("its address is not known")

// errSilent ends a stream that brought neither data nor heartbeat in time.
var errSilent = errors.New("stream is silent")

// attach reads over one stream. It reports done if the whole read is over.
func (r *reader) attach(ctx context.Context) (done bool, err error) {
	addr := r.mesh.address(string(r.sidecar.VM))
	if addr == "" {
		return true, &AnswerLostError{Attempt: r.attempt, Sidecar: r.sidecar, Err: errNoAddress}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(StreamIdleTimeout, func() { cancel(errSilent) })
	defer watch.Stop()

	slot := r.mesh.reader(string(r.sidecar.VM))
	c := slot.get(addr)
	req := &peerpb.AttachRequest{
		Attempt: wire.FromAttempt(r.attempt),
		Offset:  r.offset,
		Sidecar: wire.FromNode(r.sidecar),
	}
	stream, err := c.client.Attach(ctx, req)
	if err == nil {
		done, err = r.receive(stream, watch)
		stream.Close()
	}
	if done {
		return true, err
	}
	if code := connect.CodeOf(err); code == connect.CodeFailedPrecondition || code == connect.CodeNotFound {
		return true, &AnswerLostError{Attempt: r.attempt, Sidecar: r.sidecar, Err: err}
	}
	if errors.Is(context.Cause(ctx), errSilent) || connect.CodeOf(err) == connect.CodeUnavailable {
		slot.discard(c)
	}
	return false, err
}

func (r *reader) receive(stream *connect.ServerStreamForClient[peerpb.AttachResponse], watch *time.Timer) (done bool, err error) {
	for stream.Receive() {
		watch.Reset(StreamIdleTimeout)
		msg := stream.Msg()
		if len(msg.GetData()) > 0 {
			if msg.GetOffset() != r.offset {
				return false, fmt.Errorf("offset %d in place of %d", msg.GetOffset(), r.offset)
			}
			r.offset += uint64(len(msg.GetData()))
			if err := r.sink(msg.GetData()); err != nil {
				return true, err
			}
		}
		if msg.GetEnd() {
			if msg.GetLength() != r.offset {
				return false, fmt.Errorf("answer ends at %d of %d", r.offset, msg.GetLength())
			}
			return true, nil
		}
	}
	if err := stream.Err(); err != nil {
		return false, err
	}
	return false, errors.New("stream ended before the answer")
}
