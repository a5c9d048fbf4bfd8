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

// Do runs a call and passes its answer to sink.
func (d *Daemon) Do(ctx context.Context, call core.Call, sink front.Sink) core.Finish {
	r := d.open()
	defer d.close(r)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{node: d.node, request: r, sink: sink}
	defer x.detach()
	d.node.Post(core.CallArrived{Req: r.id, Call: call})
	for {
		select {
		case <-r.notify:
			x.take(ctx)
		case part := <-x.parts:
			x.write(part)
		case err := <-x.ended:
			x.readEnded(err)
		case <-ctx.Done():
			return d.leave(r, ctx)
		case <-d.node.Context().Done():
			return died()
		}
		if x.gone {
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

	// source is what is read now, and stop ends the reading.
	source *source
	stop   context.CancelFunc
	parts  chan []byte
	ended  chan error
	// written counts the bytes of source passed to the sink.
	written uint64
	// whole is set when source was read to its end.
	whole bool
	// broken is set when the sink got bytes of an attempt that will not be
	// finished, so that no other can follow.
	broken bool
	// gone is set when the caller takes no more bytes.
	gone bool
	// finish is the final word, and result is what Do returns.
	finish *core.Finish
	result *core.Finish
}

// take acts on what the reducer has told.
func (x *exchange) take(ctx context.Context) {
	at, finish := x.request.take()
	if at != nil && x.finish == nil {
		x.attach(ctx, *at)
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
		x.complete()
	}
}

// attach reads the answer at a source, unless it is being read or was.
func (x *exchange) attach(ctx context.Context, at source) {
	if x.source != nil && *x.source == at {
		return
	}
	x.detach()
	if !x.restart() {
		x.loseAnswer()
		return
	}
	readCtx, stop := context.WithCancel(ctx)
	x.source = &at
	x.stop = stop
	x.whole = false
	parts := make(chan []byte)
	ended := make(chan error, 1)
	x.parts = parts
	x.ended = ended
	go func() {
		ended <- x.node.Mesh().ReadAnswer(readCtx, at.attempt, at.sidecar, func(data []byte) error {
			select {
			case parts <- data:
				return nil
			case <-readCtx.Done():
				return readCtx.Err()
			}
		})
	}()
}

// detach stops reading.
func (x *exchange) detach() {
	if x.stop != nil {
		x.stop()
	}
	x.stop = nil
	x.parts = nil
	x.ended = nil
}

// restart makes the sink ready for another answer; it reports whether it is.
func (x *exchange) restart() bool {
	if x.written > 0 && !x.sink.Restart() {
		x.broken = true
	}
	x.written = 0
	return !x.broken
}

func (x *exchange) write(part []byte) {
	x.written += uint64(len(part))
	if _, err := x.sink.Write(part); err != nil {
		x.gone = true
	}
}

// writeRecorded passes on the answer that was recorded with the call, without
// what the caller has of it.
func (x *exchange) writeRecorded() {
	x.detach()
	if x.source != nil && x.source.attempt != x.finish.Attempt && !x.restart() {
		x.loseAnswer()
		return
	}
	x.write(x.finish.Answer[min(x.written, uint64(len(x.finish.Answer))):])
	x.whole = true
	x.complete()
}

// readEnded acts on the end of the reading.
func (x *exchange) readEnded(err error) {
	at := *x.source
	x.detach()
	if err == nil {
		x.whole = true
		x.complete()
		return
	}
	var lost *peer.AnswerLostError
	if !errors.As(err, &lost) {
		return
	}
	x.node.Log().Info().Str("step", "attach").Str("request", x.request.id.String()).Err(err).Msg("answer lost")
	if x.finish != nil {
		x.loseAnswer()
		return
	}
	x.source = nil
	x.node.Post(core.StreamBroken{Req: x.request.id, Attempt: at.attempt})
}

// complete ends the exchange once the answer is whole and recorded.
func (x *exchange) complete() {
	if x.finish == nil || !x.whole || x.result != nil {
		return
	}
	x.node.Invariants.Check(invariant.WholeAnswer, x.written == x.finish.Length,
		"request %s: %d of %d bytes", x.request.id, x.written, x.finish.Length)
	if x.written != x.finish.Length {
		x.loseAnswer()
		return
	}
	x.result = x.finish
}

// loseAnswer ends the exchange of a call that ran and whose answer cannot reach
// the caller. Before the final word it waits for it.
func (x *exchange) loseAnswer() {
	if x.finish == nil {
		return
	}
	f := *x.finish
	f.Reason = core.ReasonAnswerLost
	x.result = &f
}
