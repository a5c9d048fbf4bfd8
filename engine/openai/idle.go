package openai

import (
	"context"
	"errors"
	"io"
	"time"
)

// errSilent is the cause when a connection brought no byte for too long.
var errSilent = errors.New("the connection went silent")

// guard cancels a context when it is not reset for a time.
type guard struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// newGuard returns a context that ends after a silence, and its guard.
func newGuard(ctx context.Context, limit time.Duration) (context.Context, *guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &guard{limit: limit, cancel: cancel}
	g.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	return ctx, g
}

// stop ends the guard and its context.
func (g *guard) stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

// guardedReader resets its guard whenever bytes arrive.
type guardedReader struct {
	r     io.Reader
	guard *guard
}

// Read reads and resets the guard.
func (r *guardedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		r.guard.timer.Reset(r.guard.limit)
	}
	return n, err
}
