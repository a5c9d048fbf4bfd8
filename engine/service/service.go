// Package service implements engine.Target for tool and plain services. Requests
// of any method are forwarded with their Idempotency-Key.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
)

// HeaderKey is the header with the idempotency key of a call.
const HeaderKey = "Idempotency-Key"

// errNoAnswer means that the status of a response is that of no answer.
var errNoAnswer = errors.New("status of no answer")

// maxStatus is the greatest status of an answer.
const maxStatus = 599

// errUnsupported is the cause for operations that only model engines support.
var errUnsupported = errors.New("services do not support this operation")

// readSize is the size of the read buffer in bytes.
const readSize = 16 << 10

// Target is a client for a tool or plain service. It implements engine.Target.
type Target struct {
	addr   string
	client *http.Client
	// singleUse sends each request on a connection of its own. On a new connection
	// the HTTP client never retries a request by itself, with or without an
	// idempotency key.
	singleUse *http.Client

	mu      sync.Mutex
	running map[core.AttemptID]context.CancelFunc
}

var _ engine.Target = (*Target)(nil)

// New returns a target at addr, an IP address and port.
func New(addr string) *Target {
	shared := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true}
	single := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Target{
		addr:      addr,
		client:    &http.Client{Transport: shared, CheckRedirect: noRedirect},
		singleUse: &http.Client{Transport: single, CheckRedirect: noRedirect},
		running:   make(map[core.AttemptID]context.CancelFunc),
	}
}

// noRedirect returns redirects to the caller as answers. Following one would
// execute the call at an address that is not configured.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newError returns an error for a step at this target. sent means that the target
// may have received the request.
func (t *Target) newError(step engine.Step, sent bool, err error) *engine.Error {
	return &engine.Error{Step: step, Peer: t.addr, Sent: sent, Reason: core.ReasonTargetFailed, Err: err}
}

// Run executes a call. A response of any status from 200 to 599 is a complete answer.
func (t *Target) Run(ctx context.Context, req engine.Request, sink engine.Sink) (engine.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.track(req.Attempt, cancel)
	defer t.untrack(req.Attempt)
	var sent atomic.Bool
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default:
				// Only a request that the client sends again is written twice.
			}
		},
	}
	httpReq, err := t.request(httptrace.WithClientTrace(ctx, trace), &req)
	if err != nil {
		return engine.Result{}, t.newError(engine.StepRun, false, err)
	}
	resp, err := t.clientFor(&req.Call).Do(httpReq)
	if err != nil {
		return engine.Result{}, t.newError(engine.StepRun, sent.Load(), err)
	}
	defer resp.Body.Close()
	length, err := copyResponse(resp, sink)
	if err == nil && isUnframed(resp) {
		err = awaitWritten(ctx, written)
	}
	if err != nil {
		return engine.Result{}, t.newError(engine.StepRun, true, err)
	}
	return engine.Result{Length: length}, nil
}

// clientFor returns the HTTP client for a call. At-most-once calls use
// connections of their own.
func (t *Target) clientFor(call *core.Call) *http.Client {
	if call.NonIdempotent {
		return t.singleUse
	}
	return t.client
}

// request returns the HTTP request for a call.
func (t *Target) request(ctx context.Context, req *engine.Request) (*http.Request, error) {
	call := &req.Call
	out, err := http.NewRequestWithContext(ctx, call.Method, "http://"+t.addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		out.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		out.Header.Set(HeaderKey, call.Key)
	}
	out.Header.Set(engine.HeaderAttempt, req.Attempt.String())
	out.Header.Set(engine.HeaderFence, engine.FormatFence(req.Attempt.Slot, req.Fence))
	return out, nil
}

// isUnframed reports whether a response has neither a length nor chunks, so that it ends with its
// connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// awaitWritten waits until the request is written. A connection that is reset reports its error
// only once: if the write has met it, an unframed body seems to end as it should.
func awaitWritten(ctx context.Context, written <-chan error) error {
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// copyResponse copies a response to the sink and returns the length of its body. A response with
// the status of no answer is an error.
func copyResponse(resp *http.Response, sink engine.Sink) (uint64, error) {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return 0, fmt.Errorf("%w: %d", errNoAnswer, resp.StatusCode)
	}
	head := engine.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if err := sink.Head(head); err != nil {
		return 0, err
	}
	var length uint64
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			length += uint64(n)
			if err := sink.Data(buf[:n], 0); err != nil {
				return length, err
			}
		}
		if err == io.EOF {
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// track records a running attempt.
func (t *Target) track(attempt core.AttemptID, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[attempt] = cancel
}

// untrack removes an attempt that has ended.
func (t *Target) untrack(attempt core.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, attempt)
}

// Cancel closes the connection of an attempt.
func (t *Target) Cancel(_ context.Context, attempt core.AttemptID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel := t.running[attempt]; cancel != nil {
		cancel()
	}
	return nil
}

// Load returns the number of running attempts.
func (t *Target) Load(context.Context) (core.TargetLoad, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return core.TargetLoad{Running: uint32(len(t.running))}, nil
}

// CacheEvents waits until ctx is done. It reports no events, because a service has no
// cache.
func (t *Target) CacheEvents(ctx context.Context, _ uint64, _ func(core.CacheEvent)) error {
	<-ctx.Done()
	return t.newError(engine.StepEvents, false, ctx.Err())
}

// ListCache returns an empty listing.
func (t *Target) ListCache(context.Context) (engine.Listing, error) { return engine.Listing{}, nil }

// Release does nothing.
func (t *Target) Release(context.Context, []uint64) error { return nil }

// Export fails: a service has no cache.
func (t *Target) Export(context.Context, []core.Block) (engine.KV, error) {
	return engine.KV{}, t.newError(engine.StepExport, false, errUnsupported)
}

// Import fails: a service has no cache.
func (t *Target) Import(context.Context, engine.KV) (uint64, error) {
	return 0, t.newError(engine.StepImport, false, errUnsupported)
}

// Execute fails: a service does not support commands.
func (t *Target) Execute(context.Context, engine.Command) error {
	return t.newError(engine.StepCommand, false, errUnsupported)
}
