package entry

import (
	"context"
	"errors"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peer"
)

// Do executes a call and writes its answer to sink. It returns the final result.
func (d *Daemon) Do(ctx context.Context, call core.Call, sink front.Sink) core.Finish {
	r := d.openRequest()
	defer d.closeRequest(r)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{node: d.node, request: r, sink: sink}
	defer x.detach()
	d.node.Post(core.CallArrived{Req: r.id, Call: call})
	for {
		select {
		case <-r.notify:
			x.handleUpdate(ctx)
		case part := <-x.parts:
			x.write(part)
		case err := <-x.readDone:
			x.handleReadDone(err)
		case <-ctx.Done():
			return d.abandon(r, ctx)
		case <-d.node.Context().Done():
			return closingFinish()
		}
		if x.callerDisconnected {
			d.node.Post(core.CallerDisconnected{Req: r.id})
			return core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonCanceled}
		}
		if x.result != nil {
			return *x.result
		}
	}
}

// exchange is the state of one Do.
type exchange struct {
	node    *node.Node
	request *request
	sink    front.Sink

	// source is where the answer is read from, and cancelRead stops the read.
	source     *source
	cancelRead context.CancelFunc
	parts      chan []byte
	readDone   chan error
	// written counts the bytes read from source that were written to the sink.
	written uint64
	// isComplete is set when source was read to its end.
	isComplete bool
	// isSinkUnusable is set when the caller has received a part of the answer of an
	// attempt that will not finish. Another attempt's answer cannot follow it.
	isSinkUnusable bool
	// callerDisconnected is set when a write to the caller failed.
	callerDisconnected bool
	// finish is the reducer's final result, and result is what Do returns.
	finish *core.Finish
	result *core.Finish
}

// handleUpdate handles what the reducer has reported since the last call.
func (x *exchange) handleUpdate(ctx context.Context) {
	src, finish := x.request.takeUpdate()
	if src != nil && x.finish == nil {
		x.attach(ctx, *src)
	}
	if finish == nil || x.finish != nil {
		return
	}
	x.finish = finish
	switch {
	case finish.Outcome != core.OutcomeRan || finish.Reason != "":
		x.result = finish
	case finish.Answer != nil:
		x.writeRecorded()
	default:
		x.attach(ctx, source{attempt: finish.Attempt, sidecar: finish.Sidecar})
		x.finishIfComplete()
	}
}

// attach starts reading the answer from src, unless src is already the current source.
func (x *exchange) attach(ctx context.Context, src source) {
	if x.source != nil && *x.source == src {
		return
	}
	x.detach()
	if !x.restartSink() {
		x.finishAnswerLost()
		return
	}
	readCtx, cancel := context.WithCancel(ctx)
	x.source = &src
	x.cancelRead = cancel
	x.isComplete = false
	parts := make(chan []byte)
	readDone := make(chan error, 1)
	x.parts = parts
	x.readDone = readDone
	go func() {
		readDone <- x.node.Peers().ReadAnswer(readCtx, src.attempt, src.sidecar, func(data []byte) error {
			select {
			case parts <- data:
				return nil
			case <-readCtx.Done():
				return readCtx.Err()
			}
		})
	}()
}

// detach stops the current read.
func (x *exchange) detach() {
	if x.cancelRead != nil {
		x.cancelRead()
	}
	x.cancelRead = nil
	x.parts = nil
	x.readDone = nil
}

// restartSink prepares the sink for the answer of another attempt. It reports whether
// the sink can accept one.
func (x *exchange) restartSink() bool {
	if x.written > 0 && !x.sink.Restart() {
		x.isSinkUnusable = true
	}
	x.written = 0
	return !x.isSinkUnusable
}

func (x *exchange) write(part []byte) {
	x.written += uint64(len(part))
	if _, err := x.sink.Write(part); err != nil {
		x.callerDisconnected = true
	}
}

// writeRecorded writes the answer that was recorded with the call, except for the
// part that was written before.
func (x *exchange) writeRecorded() {
	x.detach()
	if x.source != nil && x.source.attempt != x.finish.Attempt && !x.restartSink() {
		x.finishAnswerLost()
		return
	}
	x.write(x.finish.Answer[min(x.written, uint64(len(x.finish.Answer))):])
	x.isComplete = true
	x.finishIfComplete()
}

// handleReadDone handles the end of a read.
func (x *exchange) handleReadDone(err error) {
	src := *x.source
	x.detach()
	if err == nil {
		x.isComplete = true
		x.finishIfComplete()
		return
	}
	var lost *peer.AnswerLostError
	if !errors.As(err, &lost) {
		return
	}
	x.node.Log().Info().Str("step", "attach").Str("request", x.request.id.String()).Err(err).Msg("the answer can no longer be read from its sidecar")
	if x.finish != nil {
		x.finishAnswerLost()
		return
	}
	x.source = nil
	x.node.Post(core.StreamBroken{Req: x.request.id, Attempt: src.attempt})
}

// finishIfComplete ends the exchange once the answer was read completely and the
// final result has arrived.
func (x *exchange) finishIfComplete() {
	if x.finish == nil || !x.isComplete || x.result != nil {
		return
	}
	x.node.Invariants.Check(invariant.CompleteAnswer, x.written == x.finish.Length,
		"request %s: %d of %d bytes", x.request.id, x.written, x.finish.Length)
	if x.written != x.finish.Length {
		x.finishAnswerLost()
		return
	}
	x.result = x.finish
}

// finishAnswerLost ends the exchange of a call that was executed but whose answer
// cannot reach the caller. Before the final result has arrived it does nothing: the
// exchange waits for that result first.
func (x *exchange) finishAnswerLost() {
	if x.finish == nil {
		return
	}
	f := *x.finish
	f.Reason = core.ReasonAnswerLost
	x.result = &f
}
