package openai

import (
	"context"
	"errors"
	"io"
	"time"
)

// errIdleTimeout is the cause when no byte arrived within the idle timeout.
var errIdleTimeout = errors.New("idle timeout: the connection is unresponsive")

// idleTimer cancels a context when the timeout passes without a reset of the timer.
type idleTimer struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

// withIdleTimeout returns a context that is canceled with errIdleTimeout when the
// returned timer expires.
func withIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimer{timeout: timeout, cancel: cancel}
	t.timer = time.AfterFunc(timeout, func() { cancel(errIdleTimeout) })
	return ctx, t
}

// stop stops the timer and cancels its context.
func (t *idleTimer) stop() {
	t.timer.Stop()
	t.cancel(context.Canceled)
}

// idleTimeoutReader resets its timer whenever bytes arrive.
type idleTimeoutReader struct {
	r         io.Reader
	idleTimer *idleTimer
}

// Read reads from the underlying reader and resets the timer.
func (r *idleTimeoutReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		r.idleTimer.timer.Reset(r.idleTimer.timeout)
	}
	return n, err
}
