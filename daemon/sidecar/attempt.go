package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/answer"
)

const (
	// progressPeriod is the shortest time between two progress events of one
	// attempt.
	progressPeriod = 50 * time.Millisecond
	// cancelTimeout bounds the request that cancels an attempt at the target.
	cancelTimeout = 2 * time.Second
)

// startAttempt runs an attempt at the target in the background.
func (d *Daemon) startAttempt(e core.StartTarget) {
	ctx, cancel := context.WithCancel(d.node.Context())
	d.mu.Lock()
	d.cancels[e.Attempt] = cancel
	d.mu.Unlock()
	go func() {
		defer cancel()
		d.runAttempt(ctx, e)
		d.mu.Lock()
		delete(d.cancels, e.Attempt)
		d.mu.Unlock()
	}()
}

// abortAttempt cancels an attempt locally and at the target.
func (d *Daemon) abortAttempt(id core.AttemptID) {
	d.mu.Lock()
	cancel := d.cancels[id]
	d.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	go func() {
		ctx, done := context.WithTimeout(d.node.Context(), cancelTimeout)
		defer done()
		if err := d.target.Cancel(ctx, id); err != nil {
			d.node.Log().Info().Str("step", "cancel").Str("attempt", id.String()).Err(err).
				Msg("canceling the attempt at the target failed")
		}
	}()
}

func (d *Daemon) runAttempt(ctx context.Context, e core.StartTarget) {
	w := &writer{daemon: d, attempt: e.Attempt}
	result, err := d.target.Run(ctx, engine.Request{Attempt: e.Attempt, Fence: e.Fence, Call: e.Call}, w)
	if d.node.Context().Err() != nil {
		return
	}
	if err != nil {
		d.reportFailure(e.Attempt, err)
		return
	}
	d.buffers.Finish(e.Attempt)
	finished := core.TargetFinished{
		Attempt: e.Attempt,
		Usage:   result.Usage,
		Digest:  result.Digest,
		Blocks:  result.Blocks,
		Length:  w.length,
	}
	if e.Call.NonIdempotent {
		finished.Answer = d.buffers.Bytes(e.Attempt)
	}
	if result.Message != nil {
		d.history.storeAndCopy(e, result)
	}
	d.node.Post(finished)
}

// reportFailure reports to the reducer that an attempt ended without an answer.
// After an error of unknown type the attempt counts as sent, since it may have
// been executed.
func (d *Daemon) reportFailure(id core.AttemptID, err error) {
	failed := core.TargetFailed{Attempt: id, Sent: true, Reason: core.ReasonTargetFailed}
	var targetErr *engine.Error
	if errors.As(err, &targetErr) {
		failed.Sent = targetErr.Sent
		failed.Reason = targetErr.Reason
	}
	d.node.Log().Info().Str("step", "run").Str("attempt", id.String()).Bool("sent", failed.Sent).Err(err).
		Msg("attempt failed at the target")
	d.node.Post(failed)
}

// writer buffers an answer while the target generates it and reports the progress.
type writer struct {
	daemon  *Daemon
	attempt core.AttemptID
	length  uint64
	// unreportedTokens counts the output since the last progress event, which was posted
	// at reportedAt.
	unreportedTokens uint32
	reportedAt       time.Time
	// hasReported is set once the first output was reported. The first report is not
	// delayed by progressPeriod.
	hasReported bool
}

// Head buffers the head of the answer.
func (w *writer) Head(h engine.Head) error {
	line := answer.AppendHead(nil, answer.Head{Status: h.Status, ContentType: h.ContentType})
	w.daemon.buffers.Append(w.attempt, line)
	w.length += uint64(len(line))
	w.reportedAt = time.Now()
	w.daemon.node.Post(core.TargetStarted{Attempt: w.attempt})
	return nil
}

// Data buffers the next part of the answer.
func (w *writer) Data(body []byte, tokens uint32) error {
	w.daemon.buffers.Append(w.attempt, body)
	w.length += uint64(len(body))
	w.unreportedTokens += tokens
	if w.unreportedTokens > 0 && (!w.hasReported || time.Since(w.reportedAt) >= progressPeriod) {
		w.daemon.node.Post(core.TargetProgress{Attempt: w.attempt, Tokens: w.unreportedTokens})
		w.unreportedTokens = 0
		w.hasReported = true
		w.reportedAt = time.Now()
	}
	return nil
}
