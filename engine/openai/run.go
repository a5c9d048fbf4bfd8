package openai

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
)

// errIncomplete is the cause when a stream ends before the answer is complete.
var errIncomplete = errors.New("the stream ended before the answer was complete")

// errNotReady means that the engine is still generating an answer that is not
// streamed.
var errNotReady = errors.New("the answer is not complete yet")

// run is the state of one attempt across all connections that it uses.
type run struct {
	target *Target
	req    engine.Request
	sink   engine.Sink
	// hasHead is set once the head has been passed to the sink.
	hasHead bool
	stream  bool
	// offset is the number of body bytes passed to the sink.
	offset uint64
	// buffered holds the bytes received after offset: the start of an event.
	buffered []byte
	events   chat.Accumulator
	body     []byte
	tokens   uint32
	usage    core.Usage
	// hasUsage is set if the trailer contained the usage.
	hasUsage bool
	// isComplete is set once the final event of a streamed answer has arrived.
	isComplete bool
}

// Run executes an attempt. When the connection is lost or its idle timeout
// expires, the answer is resumed at its offset over a new connection; the attempt
// itself is never sent twice.
func (t *Target) Run(ctx context.Context, req engine.Request, sink engine.Sink) (engine.Result, error) {
	r := &run{target: t, req: req, sink: sink}
	err := r.start(ctx)
	for failures := 0; err != nil; {
		if !isResumable(err) || ctx.Err() != nil || failures > t.options.MaxResumes {
			return engine.Result{}, err
		}
		before := r.offset
		err = r.resume(ctx)
		switch {
		case errors.Is(err, errNotReady) || r.offset > before:
			failures = 0
		default:
			failures++
		}
	}
	return r.result()
}

// sinkError marks an error of the sink. The answer is not read further after it.
type sinkError struct{ err error }

// Error returns the text of the wrapped error.
func (e *sinkError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *sinkError) Unwrap() error { return e.err }

// isResumable reports whether the answer can be resumed after err: the attempt may
// still be in progress at the target, and its answer is still wanted.
func isResumable(err error) bool {
	var e *engine.Error
	var s *sinkError
	return errors.As(err, &e) && e.Sent && e.Status == 0 && !errors.As(err, &s)
}

// start sends the attempt and reads its answer over the first connection.
func (r *run) start(ctx context.Context) error {
	call := &r.req.Call
	req, err := http.NewRequest(http.MethodPost, r.target.url(PathChat), bytes.NewReader(call.Body))
	if err != nil {
		return r.target.newError(engine.StepRun, false, err)
	}
	// Without GetBody the HTTP client cannot retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderAttempt, r.req.Attempt.String())
	req.Header.Set(engine.HeaderFence, engine.FormatFence(r.req.Attempt.Slot, r.req.Fence))
	return r.readResponse(ctx, engine.StepRun, req)
}

// resume waits for the backoff and reads the rest of the answer over a new
// connection.
func (r *run) resume(ctx context.Context) error {
	r.target.transport.CloseIdleConnections()
	timer := time.NewTimer(r.target.options.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return r.target.newError(engine.StepResume, true, ctx.Err())
	}
	path := fmt.Sprintf("%s%s?offset=%d", PathResponses, r.req.Attempt, r.offset)
	req, err := http.NewRequest(http.MethodGet, r.target.url(path), nil)
	if err != nil {
		return r.target.newError(engine.StepResume, true, err)
	}
	err = r.readResponse(ctx, engine.StepResume, req)
	var e *engine.Error
	if errors.As(err, &e) {
		// The target may have received the attempt even if the request to resume
		// was not sent.
		e.Sent = true
	}
	return err
}

// readResponse performs a request and reads the answer until it is complete.
func (r *run) readResponse(ctx context.Context, step engine.Step, req *http.Request) error {
	ctx, idleTimer := withIdleTimeout(ctx, r.target.options.IdleTimeout)
	defer idleTimer.stop()
	resp, err := r.target.send(ctx, step, req)
	if err != nil {
		return withIdleCause(ctx, err)
	}
	switch {
	case resp.StatusCode == http.StatusAccepted:
		_ = resp.Body.Close()
		return r.target.newError(step, true, errNotReady)
	case resp.StatusCode != http.StatusOK:
		return r.target.responseError(step, resp)
	}
	defer resp.Body.Close()
	if err := r.handleHead(resp); err != nil {
		return r.target.newError(step, true, err)
	}
	if err := r.readBody(&idleTimeoutReader{r: resp.Body, idleTimer: idleTimer}); err != nil {
		return withIdleCause(ctx, r.target.newError(step, true, err))
	}
	if u, err := ParseUsage(resp.Trailer.Get(TrailerUsage)); err == nil {
		r.usage = u
		r.hasUsage = true
	}
	return nil
}

// withIdleCause replaces the cause of err with errIdleTimeout if the idle timeout
// canceled ctx.
func withIdleCause(ctx context.Context, err error) error {
	var e *engine.Error
	if errors.Is(context.Cause(ctx), errIdleTimeout) && errors.As(err, &e) {
		e.Err = errIdleTimeout
	}
	return err
}

// handleHead discards the incomplete event of the previous connection, and passes
// the head to the sink if it is the first one.
func (r *run) handleHead(resp *http.Response) error {
	r.buffered = r.buffered[:0]
	if r.hasHead {
		return nil
	}
	r.hasHead = true
	r.stream = isStream(resp)
	head := engine.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if err := r.sink.Head(head); err != nil {
		return &sinkError{err: err}
	}
	return nil
}

// readSize is the size of the read buffer in bytes.
const readSize = 16 << 10

// readBody reads a response body to its end. It returns errIncomplete if a stream
// ends before the final event.
func (r *run) readBody(body io.Reader) error {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		if dataErr := r.handleBytes(buf[:n]); dataErr != nil {
			return dataErr
		}
		if err == io.EOF && (r.isComplete || !r.stream) {
			return nil
		}
		if err == io.EOF {
			return errIncomplete
		}
		if err != nil {
			return err
		}
	}
}

// handleBytes forwards the bytes of an answer that is not streamed, or the
// complete events of a stream.
func (r *run) handleBytes(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if !r.stream {
		r.body = append(r.body, b...)
		return r.forward(b, 0)
	}
	r.buffered = append(r.buffered, b...)
	for {
		event, buffered, ok := chat.CutEvent(r.buffered)
		if !ok {
			return nil
		}
		r.buffered = buffered
		if err := r.handleEvent(event); err != nil {
			return err
		}
	}
}

// doneEvent is the data of the event that ends a streamed answer.
var doneEvent = []byte("[DONE]")

// handleEvent forwards one event. It drops events without data, which only keep the
// connection alive.
func (r *run) handleEvent(event []byte) error {
	data := chat.EventData(event)
	if data == nil {
		return nil
	}
	text, err := r.events.Add(data)
	if err != nil {
		return err
	}
	r.isComplete = r.isComplete || bytes.Equal(data, doneEvent)
	var tokens uint32
	if text {
		tokens = 1
	}
	return r.forward(event, tokens)
}

// forward passes bytes of the body to the sink.
func (r *run) forward(b []byte, tokens uint32) error {
	r.offset += uint64(len(b))
	r.tokens += tokens
	if err := r.sink.Data(b, tokens); err != nil {
		return &sinkError{err: err}
	}
	return nil
}

// result returns the Result for the complete answer.
func (r *run) result() (engine.Result, error) {
	answer := r.events.Answer()
	if !r.stream {
		var err error
		if answer, err = chat.ParseAnswer(r.body); err != nil {
			return engine.Result{}, r.target.newError(engine.StepRun, true, err)
		}
	}
	call := &r.req.Call
	var digest uint64
	if n := len(call.Blocks); n > 0 {
		digest = call.Blocks[n-1].Digest
	}
	return engine.Result{
		Usage:   r.usageOf(answer),
		Digest:  chat.ExtendDigest(digest, &answer.Message),
		Blocks:  uint32(len(call.Blocks)) + 1,
		Message: &answer.Message,
		Length:  r.offset,
	}, nil
}

// usageOf returns the usage in the answer, else the one in the trailer, else an
// estimate.
func (r *run) usageOf(answer *chat.Answer) core.Usage {
	switch {
	case answer.HasUsage:
		return answer.Usage
	case r.hasUsage:
		return r.usage
	}
	return core.Usage{PromptTokens: r.req.Call.PromptTokens(), OutputTokens: r.tokens}
}
