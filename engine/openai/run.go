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

// errNotWhole is the cause when a body ends before the answer is whole.
var errNotWhole = errors.New("the answer ends before it is whole")

// errPending means that a plain answer is not whole yet.
var errPending = errors.New("the answer is not whole yet")

// run is the state of one attempt over all connections that it needs.
type run struct {
	target *Target
	req    engine.Request
	sink   engine.Sink
	// headed is set once the sink has the head.
	headed bool
	stream bool
	// offset is the length of the body that the sink has.
	offset uint64
	// rest is the part of the body after offset that is no whole event yet.
	rest   []byte
	events chat.Accumulator
	plain  []byte
	tokens uint32
	usage  core.Usage
	// hasUsage is set when the trailer brought the usage.
	hasUsage bool
	whole    bool
}

// Run executes an attempt. When a connection breaks or goes silent, the answer
// is resumed at its offset over a new one; the attempt is never sent twice.
func (t *Target) Run(ctx context.Context, req engine.Request, sink engine.Sink) (engine.Result, error) {
	r := &run{target: t, req: req, sink: sink}
	err := r.begin(ctx)
	for failures := 0; err != nil; {
		if !resumable(err) || ctx.Err() != nil || failures > t.options.MaxResumes {
			return engine.Result{}, err
		}
		before := r.offset
		err = r.resume(ctx)
		switch {
		case errors.Is(err, errPending) || r.offset > before:
			failures = 0
		default:
			failures++
		}
	}
	return r.result()
}

// sinkError marks an error of the sink, after which nobody reads the answer.
type sinkError struct{ err error }

// Error returns the text of the wrapped error.
func (e *sinkError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *sinkError) Unwrap() error { return e.err }

// resumable reports whether an attempt may still be under way at the target.
func resumable(err error) bool {
	var e *engine.Error
	var s *sinkError
	return errors.As(err, &e) && e.Sent && e.Status == 0 && !errors.As(err, &s)
}

// begin sends the attempt and reads its answer.
func (r *run) begin(ctx context.Context) error {
	call := &r.req.Call
	req, err := http.NewRequest(http.MethodPost, r.target.url(PathChat), bytes.NewReader(call.Body))
	if err != nil {
		return r.target.fail(engine.StepRun, false, err)
	}
	// Without GetBody the client cannot send the request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderAttempt, r.req.Attempt.String())
	req.Header.Set(engine.HeaderFence, engine.FormatFence(r.req.Attempt.Slot, r.req.Fence))
	return r.exchange(ctx, engine.StepRun, req)
}

// resume waits a moment and reads the rest of the answer over a new connection.
func (r *run) resume(ctx context.Context) error {
	r.target.transport.CloseIdleConnections()
	timer := time.NewTimer(r.target.options.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return r.target.fail(engine.StepResume, true, ctx.Err())
	}
	path := fmt.Sprintf("%s%s?offset=%d", PathResponses, r.req.Attempt, r.offset)
	req, err := http.NewRequest(http.MethodGet, r.target.url(path), nil)
	if err != nil {
		return r.target.fail(engine.StepResume, true, err)
	}
	err = r.exchange(ctx, engine.StepResume, req)
	var e *engine.Error
	if errors.As(err, &e) {
		// The first request may have reached the target whatever became of this.
		e.Sent = true
	}
	return err
}

// exchange performs a request and reads the answer until it is whole.
func (r *run) exchange(ctx context.Context, step engine.Step, req *http.Request) error {
	ctx, guard := newGuard(ctx, r.target.options.IdleTimeout)
	defer guard.stop()
	resp, err := r.target.send(ctx, step, req)
	if err != nil {
		return causeOf(ctx, err)
	}
	switch {
	case resp.StatusCode == http.StatusAccepted:
		_ = resp.Body.Close()
		return r.target.fail(step, true, errPending)
	case resp.StatusCode != http.StatusOK:
		return r.target.refusal(step, resp)
	}
	defer resp.Body.Close()
	if err := r.begun(resp); err != nil {
		return r.target.fail(step, true, err)
	}
	if err := r.read(&guardedReader{r: resp.Body, guard: guard}); err != nil {
		return causeOf(ctx, r.target.fail(step, true, err))
	}
	if u, err := ParseUsage(resp.Trailer.Get(TrailerUsage)); err == nil {
		r.usage = u
		r.hasUsage = true
	}
	return nil
}

// causeOf puts the cause into an error that a silent connection brought about.
func causeOf(ctx context.Context, err error) error {
	var e *engine.Error
	if errors.Is(context.Cause(ctx), errSilent) && errors.As(err, &e) {
		e.Err = errSilent
	}
	return err
}

// begun passes the head on, once.
func (r *run) begun(resp *http.Response) error {
	r.rest = r.rest[:0]
	if r.headed {
		return nil
	}
	r.headed = true
	r.stream = isStream(resp)
	head := engine.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if err := r.sink.Head(head); err != nil {
		return &sinkError{err: err}
	}
	return nil
}

// readSize is the size of one read, in bytes.
const readSize = 16 << 10

// read reads a body to its end.
func (r *run) read(body io.Reader) error {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		if dataErr := r.take(buf[:n]); dataErr != nil {
			return dataErr
		}
		if err == io.EOF && (r.whole || !r.stream) {
			return nil
		}
		if err == io.EOF {
			return errNotWhole
		}
		if err != nil {
			return err
		}
	}
}

// take passes on the bytes of a plain answer, or the whole events of a stream.
func (r *run) take(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if !r.stream {
		r.plain = append(r.plain, b...)
		return r.pass(b, 0)
	}
	r.rest = append(r.rest, b...)
	for {
		event, rest, ok := chat.CutEvent(r.rest)
		if !ok {
			return nil
		}
		r.rest = rest
		if err := r.takeEvent(event); err != nil {
			return err
		}
	}
}

// doneEvent is the data of the event that ends a streamed answer.
var doneEvent = []byte("[DONE]")

// takeEvent passes one event on. Events without data are dropped: they only
// keep the connection alive.
func (r *run) takeEvent(event []byte) error {
	data := chat.EventData(event)
	if data == nil {
		return nil
	}
	text, err := r.events.Add(data)
	if err != nil {
		return err
	}
	r.whole = r.whole || bytes.Equal(data, doneEvent)
	var tokens uint32
	if text {
		tokens = 1
	}
	return r.pass(event, tokens)
}

// pass gives bytes of the body to the sink.
func (r *run) pass(b []byte, tokens uint32) error {
	r.offset += uint64(len(b))
	r.tokens += tokens
	if err := r.sink.Data(b, tokens); err != nil {
		return &sinkError{err: err}
	}
	return nil
}

// result describes the whole answer.
func (r *run) result() (engine.Result, error) {
	answer := r.events.Answer()
	if !r.stream {
		var err error
		if answer, err = chat.ParseAnswer(r.plain); err != nil {
			return engine.Result{}, r.target.fail(engine.StepRun, true, err)
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

// usageOf returns the usage from the answer or the trailer, else an estimate.
func (r *run) usageOf(answer *chat.Answer) core.Usage {
	switch {
	case answer.HasUsage:
		return answer.Usage
	case r.hasUsage:
		return r.usage
	}
	return core.Usage{PromptTokens: r.req.Call.PromptTokens(), OutputTokens: r.tokens}
}
