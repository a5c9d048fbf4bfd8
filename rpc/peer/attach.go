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

// Timing of answer streams. A sidecar sends a heartbeat after HeartbeatPeriod
// without data; a reader abandons a stream after StreamIdleTimeout without data
// or a heartbeat.
const (
	HeartbeatPeriod   = 250 * time.Millisecond
	StreamIdleTimeout = 4 * HeartbeatPeriod
	// reattachDelay is the wait before a reader opens another stream.
	reattachDelay = 50 * time.Millisecond
)

// AnswerLostError reports that an answer can no longer be read, because the
// sidecar that stored it has restarted, was removed from the VM list or no longer
// has the answer.
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
// without gaps, to write. When the stream is interrupted or its idle timeout
// expires, ReadAnswer opens another stream at the offset it has reached, over a new
// connection if the old one is unresponsive. It returns nil after the end of the
// answer, an *AnswerLostError if the answer can no longer be read, the error of
// write, or the error of ctx.
func (c *Client) ReadAnswer(ctx context.Context, attempt core.AttemptID, sidecar core.Node, write func([]byte) error) error {
	r := &answerReader{client: c, attempt: attempt, sidecar: sidecar, write: write}
	for {
		done, err := r.attach(ctx)
		switch {
		case done:
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		c.reportError(&DeliveryError{Step: "attach", Peer: string(sidecar.VM), Err: err})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reattachDelay):
		}
	}
}

// answerReader is the state of one ReadAnswer.
type answerReader struct {
	client  *Client
	attempt core.AttemptID
	sidecar core.Node
	write   func([]byte) error
	offset  uint64
}

// errNoAddress is the cause when no address of a VM is known.
var errNoAddress = errors.New("the VM's address is not known")

// errIdleTimeout is the cause when an answer stream received neither data nor a
// heartbeat in time, or when a delivery stream received no acknowledgement in time.
var errIdleTimeout = errors.New("idle timeout: the stream is unresponsive")

// attach reads the answer over one stream. If done is true, ReadAnswer must return
// err instead of opening another stream.
func (r *answerReader) attach(ctx context.Context) (done bool, err error) {
	addr := r.client.address(string(r.sidecar.VM))
	if addr == "" {
		return true, &AnswerLostError{Attempt: r.attempt, Sidecar: r.sidecar, Err: errNoAddress}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(StreamIdleTimeout, func() { cancel(errIdleTimeout) })
	defer idle.Stop()

	holder := r.client.callConn(string(r.sidecar.VM))
	cc := holder.get(addr)
	req := &peerpb.AttachRequest{
		Attempt: wire.FromAttempt(r.attempt),
		Offset:  r.offset,
		Sidecar: wire.FromNode(r.sidecar),
	}
	stream, err := cc.service.Attach(ctx, req)
	if err == nil {
		done, err = r.receive(stream, idle)
		stream.Close()
	}
	if done {
		return true, err
	}
	if code := connect.CodeOf(err); code == connect.CodeFailedPrecondition || code == connect.CodeNotFound {
		return true, &AnswerLostError{Attempt: r.attempt, Sidecar: r.sidecar, Err: err}
	}
	if errors.Is(context.Cause(ctx), errIdleTimeout) || connect.CodeOf(err) == connect.CodeUnavailable {
		holder.discard(cc)
	}
	return false, err
}

func (r *answerReader) receive(stream *connect.ServerStreamForClient[peerpb.AttachResponse], idle *time.Timer) (done bool, err error) {
	for stream.Receive() {
		idle.Reset(StreamIdleTimeout)
		msg := stream.Msg()
		if len(msg.GetData()) > 0 {
			if msg.GetOffset() != r.offset {
				return false, fmt.Errorf("got data at offset %d, want %d", msg.GetOffset(), r.offset)
			}
			r.offset += uint64(len(msg.GetData()))
			if err := r.write(msg.GetData()); err != nil {
				return true, err
			}
		}
		if msg.GetEnd() {
			if msg.GetLength() != r.offset {
				return false, fmt.Errorf("answer ended at offset %d, but its length is %d", r.offset, msg.GetLength())
			}
			return true, nil
		}
	}
	if err := stream.Err(); err != nil {
		return false, err
	}
	return false, errors.New("stream ended before the end of the answer")
}
