package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

const (
	// inlineBodyBytes is the size up to which a request is written before its
	// response is read. Larger ones are written concurrently, since a target may
	// respond before it has read the entire request.
	inlineBodyBytes = 8 << 10
	// requestBufferBytes is the size of the buffer through which requests are written.
	requestBufferBytes = 32 << 10
	// deadlineMargin is subtracted from the time that a target is given, so that its
	// response still arrives before the deadline.
	deadlineMargin = 10 * time.Millisecond
	// maxStaleResponses bounds how many responses to earlier requests are skipped on
	// a connection.
	maxStaleResponses = 2
	// maxStatus is the greatest status of an answer.
	maxStatus = 599
)

// errStaleResponse means that a connection delivered only responses to earlier
// requests.
var errStaleResponse = errors.New("target's responses belong to other requests")

// Errors of responses that are no answers.
var (
	errNoAnswer = errors.New("status of the target's response is that of no answer")
	errUnsigned = errors.New("target's answer is a success without its signature")
	// errCutAnswer means that an answer that ends with its connection ended before the request was
	// written, so the connection was broken off.
	errCutAnswer = errors.New("target's answer ended before the request was written")
)

// errHeadTimeout means that a target sent no response before the head timeout.
var errHeadTimeout = errors.New("timed out waiting for the target's response")

// execution classifies a failed attempt by whether the target may have executed it.
type execution uint8

const (
	// notSent means that no target can have received the head of the request, and so begun to work.
	notSent execution = iota
	// notExecuted means that the target refused the request.
	notExecuted
	// mayHaveExecuted means that at least the head of the request was sent and no complete response
	// arrived. A target may work before it has read the rest.
	mayHaveExecuted
)

// attempt is one transmission of a request to a target.
type attempt struct {
	relay     *Relay
	choice    fleet.Choice
	target    catalog.Target
	conn      *conn
	startedAt time.Time
	// written receives the result of writing the request. The channel is nil if
	// the request was written before its response was read.
	written chan error
	// hasSentHead means that the connection has accepted the whole head of the request. Once the
	// request is being written in the background, it is valid after written has been received.
	hasSentHead bool
	// stop detaches the attempt from its context. It returns false if the context has
	// ended.
	stop func() bool

	response     *http.Response
	responseInfo TargetResponse
	outcome      fleet.Outcome
	// fingerprints are those of the request.
	fingerprints fingerprints
	suspicion    suspicion
	// hasEvent is set once an event of a stream has arrived.
	hasEvent bool
}

// failure describes an attempt whose target gave no answer that can be
// forwarded to the caller.
type failure struct {
	execution execution
	target    catalog.Target
	// status is the HTTP status with which the target refused the request.
	status int
	// refused means that nothing listens at the target's address.
	refused bool
	// afterFirstEvent means that events of a stream had arrived.
	afterFirstEvent bool
	// startedAt is when the attempt began, and noticedAt when it failed; only if the target may
	// have executed the request.
	startedAt, noticedAt time.Time
	err                  error
}

// startAttempt sends the request to the chosen target and reads the head of the response.
func (r *Relay) startAttempt(ctx context.Context, e *exchange, next *reservation, body []byte, resumeAfter string) (*attempt, *failure) {
	target := next.choice.Target
	a := &attempt{relay: r, choice: next.choice, target: target, startedAt: time.Now(), outcome: fleet.ConnectionLost, fingerprints: e.fingerprints}
	a.suspicion = r.startSuspicion(target.TargetKey, e.fingerprints)
	if err := next.connect(ctx); err != nil {
		a.outcome = connectOutcome(ctx, err)
		a.end()
		return nil, &failure{execution: notSent, target: target, refused: errors.Is(err, syscall.ECONNREFUSED), err: err}
	}
	c := next.conn
	a.conn = c
	a.countBytes(sent, len(body))
	a.stop = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	request := e.newRequest(target, body, resumeAfter)
	if fail := a.writeRequest(request, len(body)); fail != nil {
		a.abort(ctx)
		return nil, fail
	}
	stall := startStallTimer(a.conn, e.headTimeout(), e.onStall(ctx))
	fail := a.readHead(request, e.call.ID, e.memory.grow)
	timedOut := e.stopStallTimer(stall)
	if fail == nil && timedOut {
		// The head arrived just as the timer interrupted the connection, so the body
		// can't be read any more.
		fail = a.lostResponse(errHeadTimeout)
	}
	if fail != nil {
		if timedOut {
			a.outcome = fleet.TimedOut
		}
		a.abort(ctx)
		return nil, fail
	}
	r.recordLoad(target.TargetKey, a.responseInfo)
	r.recordLimit(a)
	return a, nil
}

// newRequest returns the request to send to a target.
func (e *exchange) newRequest(target catalog.Target, body []byte, resumeAfter string) *http.Request {
	header := e.relay.dialect.ForwardHeader(e.req.Header)
	if e.hidesCredentials() {
		e.relay.dialect.SetAccount(header, e.accountName())
	}
	e.relay.dialect.SetAttempt(header, target.ID, time.Until(e.deadline)-deadlineMargin, resumeAfter)
	if header.Get("User-Agent") == "" {
		// Keeps net/http from adding its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: e.req.Method,
		// The path is forwarded as received, including its escapes.
		URL:           &url.URL{Opaque: e.req.RequestURI},
		Host:          e.req.Host,
		Header:        header,
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	return request
}

// writeRequest writes the request, large ones in a goroutine.
func (a *attempt) writeRequest(request *http.Request, size int) *failure {
	if size > inlineBodyBytes {
		a.written = make(chan error, 1)
		a.conn.watchUnread(a.relay.pool, poolKey{a.target.TargetKey, a.target.Addr})
		go func() { a.written <- a.writeBuffered(request) }()
		return nil
	}
	if err := a.writeBuffered(request); err != nil {
		return a.failureAfter(err)
	}
	return nil
}

// writeBuffered writes the request through a buffer, and so with a single system
// call if it fits and the socket's buffer has the space.
func (a *attempt) writeBuffered(request *http.Request) error {
	buffer := requestBuffers.Get().(*bufio.Writer)
	defer requestBuffers.Put(buffer)
	out := &headWriter{Writer: a.conn.nc}
	buffer.Reset(out)
	a.conn.writes.Add(1)
	err := request.Write(buffer)
	if err == nil {
		err = buffer.Flush()
	}
	a.conn.writes.Add(-1)
	a.hasSentHead = out.hasHead
	return err
}

// headWriter notes when the head of a message has been written.
type headWriter struct {
	io.Writer
	// tail is the end of what was written before, too short to end the head.
	tail    []byte
	hasHead bool
}

// endOfHead ends the head of an HTTP message.
var endOfHead = []byte("\r\n\r\n")

// Write implements io.Writer.
func (w *headWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if w.hasHead {
		return n, err
	}
	overlap := len(endOfHead) - 1
	across := append(w.tail, p[:min(n, overlap)]...)
	w.hasHead = bytes.Contains(p[:n], endOfHead) || bytes.Contains(across, endOfHead)
	if n >= overlap {
		across = p[n-overlap : n]
	}
	w.tail = bytes.Clone(across[max(0, len(across)-overlap):])
	return n, err
}

// requestBuffers holds parts of requests while they are written.
var requestBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, requestBufferBytes) }}

// readHead reads the head of the response to this request and skips interim responses and late
// responses to earlier requests.
func (a *attempt) readHead(request *http.Request, id string, takeMemory func(bytes int) bool) *failure {
	for range maxStaleResponses + 1 {
		a.conn.beginHead(takeMemory)
		response, err := http.ReadResponse(a.conn.reader, request)
		a.conn.source.end()
		if err != nil {
			return a.lostResponse(err)
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
			return a.lostResponse(fmt.Errorf("%w: %d", errNoAnswer, response.StatusCode))
		}
		info := a.relay.dialect.ReadResponse(response.StatusCode, response.Header)
		if info.IsLeaving {
			a.relay.recordLeaving(a.target)
		}
		// A refusal without an id can only be told from that of an earlier request if there was none.
		isRefusal := info.NotExecuted && info.RequestID == "" && !a.conn.hasResponded
		a.conn.hasResponded = true
		if info.RequestID == id && info.IsUnsigned {
			return a.lostResponse(errUnsigned)
		}
		if info.RequestID == id || isRefusal {
			a.response, a.responseInfo = response, info
			return nil
		}
		a.relay.metrics.staleResponses.Inc()
		if err := a.conn.discardBounded(response.Body); err != nil {
			return a.lostResponse(err)
		}
	}
	return a.lostResponse(errStaleResponse)
}

// isInterim reports whether another response follows that is the answer. Status 101 is that of an
// answer that nobody has asked for.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// awaitWritten waits until the request is written, if the answer has neither a length nor chunks.
// Such an answer ends with its connection, and the error of a connection that was reset is
// reported only once: to the goroutine that writes, if it notices first, and the body then seems to
// end as it should.
func (a *attempt) awaitWritten() error {
	if a.written == nil || a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0 {
		return nil
	}
	err := <-a.written
	a.written = nil
	if err != nil {
		return fmt.Errorf("%w: %w", errCutAnswer, err)
	}
	return nil
}

// lostResponse returns the failure of a request whose response did not arrive.
func (a *attempt) lostResponse(err error) *failure {
	if a.written != nil {
		a.conn.close()
		if written := <-a.written; written != nil {
			err = errors.Join(err, written)
		}
		a.written = nil
	}
	return a.failureAfter(err)
}

// failureAfter returns the failure of a request that is not being written any more.
func (a *attempt) failureAfter(err error) *failure {
	if !a.hasSentHead {
		return &failure{execution: notSent, target: a.target, err: err}
	}
	return &failure{execution: mayHaveExecuted, target: a.target, startedAt: a.startedAt, noticedAt: time.Now(), err: err}
}

// isReusable reports whether another request may be sent on the connection once the
// response has been read completely.
func (a *attempt) isReusable() bool {
	if a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		// The target responded before it read the entire request. It must not read the
		// rest as the next request.
		return false
	}
}

// complete ends an attempt whose response was read completely. It returns the
// connection to the pool if the connection can be reused.
func (a *attempt) complete() {
	reuse := a.isReusable() && a.stop()
	if reuse {
		a.relay.pool.put(poolKey{a.target.TargetKey, a.target.Addr}, a.conn, a.responseInfo.IdleTimeout)
	} else {
		a.stop()
		a.conn.close()
	}
	a.outcome = fleet.Answered
	switch {
	case a.responseInfo.NotExecuted:
		a.outcome = fleet.Refused
	case a.response.StatusCode >= http.StatusInternalServerError:
		a.outcome = fleet.ServerError
	}
	if !a.responseInfo.NotExecuted {
		a.relay.recordCompletion(a.fingerprints, a.target.Service)
	}
	a.end()
}

// abort ends an attempt and closes its connection, which makes the target cancel
// the request.
func (a *attempt) abort(ctx context.Context) {
	if a.stop != nil {
		a.stop()
	}
	if a.conn != nil {
		a.conn.close()
	}
	if a.outcome == fleet.ConnectionLost && ctx.Err() != nil {
		a.outcome = fleet.Canceled
	}
	a.end()
}

// countBytes counts the bytes of a body that was exchanged with the target.
func (a *attempt) countBytes(direction string, n int) {
	a.relay.metrics.countTargetBytes(direction, a.target.Domain != a.relay.domain, n)
}

func (a *attempt) end() {
	a.endSuspicion()
	a.relay.recordEnd(a.choice, a.outcome, time.Since(a.startedAt))
}
