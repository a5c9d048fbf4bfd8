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
	// cancelTimeout bounds the call that cancels an attempt at the target.
	cancelTimeout = 2 * time.Second
)

// startAttempt runs an attempt at the target in the background.
func (d *Daemon) startAttempt(e core.StartTarget) {
	ctx, cancel := context.WithCancel(d.node.Context())
	d.mu.Lock()
	d.runs[e.Attempt] = cancel
	d.mu.Unlock()
	go func() {
		defer cancel()
		d.runAttempt(ctx, e)
		d.mu.Lock()
		delete(d.runs, e.Attempt)
		d.mu.Unlock()
	}()
}

// abortAttempt ends an attempt at the target.
func (d *Daemon) abortAttempt(id core.AttemptID) {
	d.mu.Lock()
	cancel := d.runs[id]
	d.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	go func() {
		ctx, done := context.WithTimeout(d.node.Context(), cancelTimeout)
		defer done()
		if err := d.target.Cancel(ctx, id); err != nil {
			d.node.Log().Info().Str("step", "cancel").Str("attempt", id.String()).Err(err).
				Msg("the target did not take the cancel")
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
		d.attemptFailed(e.Attempt, err)
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
		d.history.keep(e, result)
	}
	d.node.Post(finished)
}

// attemptFailed reports an attempt without an answer. An error of an unknown
// type may hide an execution.
func (d *Daemon) attemptFailed(id core.AttemptID, err error) {
	failed := core.TargetFailed{Attempt: id, Sent: true, Reason: core.ReasonTargetFailed}
	var at *engine.Error
	if errors.As(err, &at) {
		failed.Sent = at.Sent
		failed.Reason = at.Reason
	}
	d.node.Log().Info().Str("step", "run").Str("attempt", id.String()).Bool("sent", failed.Sent).Err(err).
		Msg("attempt failed at the target")
	d.node.Post(failed)
}

// writer keeps an answer while the target generates it.
type writer struct {
	daemon  *Daemon
	attempt core.AttemptID
	length  uint64
	// tokens counts the output since the last progress event, at reported.
	tokens   uint32
	reported time.Time
	// begun is set once the first output was reported, which is not held back.
	begun bool
}

// Head keeps the head of the answer.
func (w *writer) Head(h engine.Head) error {
	line := answer.AppendHead(nil, answer.Head{Status: h.Status, ContentType: h.ContentType})
	w.daemon.buffers.Append(w.attempt, line)
	w.length += uint64(len(line))
	w.reported = time.Now()
	w.daemon.node.Post(core.TargetStarted{Attempt: w.attempt})
	return nil
}

// Data keeps the next part of the answer.
func (w *writer) Data(body []byte, tokens uint32) error {
	w.daemon.buffers.Append(w.attempt, body)
	w.length += uint64(len(body))
	w.tokens += tokens
	if w.tokens > 0 && (!w.begun || time.Since(w.reported) >= progressPeriod) {
		w.daemon.node.Post(core.TargetProgress{Attempt: w.attempt, Tokens: w.tokens})
		w.tokens = 0
		w.begun = true
		w.reported = time.Now()
	}
	return nil
}
