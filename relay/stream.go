package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/resource"
)

const (
	// gapFactor is the time without an event after which a resumable stream continues
	// at another target, as a multiple of the route's MaxEventGap.
	gapFactor = 2.5
	// eventBufferBytes is the size of the read buffer. Longer lines are assembled
	// from several reads.
	eventBufferBytes = 1 << 10
	// smallEventBytes is the size up to which an event is part of what a request is charged for in
	// any case.
	smallEventBytes = 16 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var errEventTooLong = errors.New("stream event exceeds the size limit")

// Errors of answers that do not continue a stream.
var (
	errOtherType     = errors.New("target's answer has another media type than the stream that it was to continue")
	errRepeatedEvent = errors.New("target's answer begins with an event that the caller has")
)

// event is one complete event of a stream.
type event struct {
	raw  []byte
	id   string
	data []byte
}

// progress is the state of a stream across all targets that have served it.
type progress struct {
	// started is set once the head of the answer has been sent to the caller.
	started     bool
	lastEventID string
	// mediaType is that of the answer, once it has started.
	mediaType string
}

// continuedBy returns an error if a target's answer, which begins after lastEventID, does not
// continue the stream.
func (p *progress) continuedBy(response *http.Response) error {
	if p.started && mediaTypeOf(response) != p.mediaType {
		return errOtherType
	}
	return nil
}

// mediaTypeOf returns the media type of a response without its parameters; empty if it has none.
func mediaTypeOf(response *http.Response) string {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return mediaType
}

// isRepeated reports whether an event id is not after that of the event that the caller has
// received last. Ids that are not numbers have no order.
func isRepeated(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	received, err := strconv.ParseUint(last, 10, 64)
	return err == nil && n <= received
}

// stream sends the turn to a target and forwards the events. A resumable stream that
// is interrupted continues at another target within the same answer.
func (t *turn) stream(ctx context.Context) {
	p := &progress{lastEventID: t.call.ResumeAfter}
	for {
		a, ok := t.attemptTurn(ctx, p)
		if !ok {
			return
		}
		if a.response.StatusCode != http.StatusOK {
			if t.forwardError(ctx, a, p) {
				continue
			}
			return
		}
		err := p.continuedBy(a.response)
		if err != nil {
			a.abort(ctx)
		} else {
			err = t.forwardEvents(ctx, a, p)
		}
		if err == nil {
			t.sendHead(a, p)
			t.finish(ctx, p)
			return
		}
		t.recordFailure(ctx, &failure{execution: mayHaveExecuted, target: a.target, startedAt: a.startedAt, noticedAt: time.Now(), afterFirstEvent: a.hasEvent, err: err})
		if !t.canExecuteAgain(ctx) {
			t.failStream(p)
			return
		}
	}
}

// attemptTurn sends the turn until a target responds. Once the answer to the caller
// has started, a failure can only end the stream.
func (t *turn) attemptTurn(ctx context.Context, p *progress) (*attempt, bool) {
	if !p.started {
		a, ok := t.sendUntilAnswered(ctx, t.prompt, p.lastEventID)
		if !ok {
			t.settle()
		}
		return a, ok
	}
	for t.attempts < maxAttempts && ctx.Err() == nil {
		a, fail := t.send(ctx, t.prompt, p.lastEventID, true)
		if a != nil {
			return a, true
		}
		if fail == nil || fail.execution == mayHaveExecuted && !t.canExecuteAgain(ctx) {
			break
		}
	}
	t.failStream(p)
	return nil, false
}

// failStream ends a stream that can't be continued.
func (t *turn) failStream(p *progress) {
	t.settle()
	timedOut := !time.Now().Before(t.deadline)
	if timedOut {
		t.relay.recordObjective(t.service, fleet.ProgramMissed)
	}
	switch {
	case p.started && timedOut:
		t.abort(reasonTimeout)
	case p.started:
		t.abort(reasonStreamBroken)
	default:
		t.respondNoTarget()
	}
}

// forwardError forwards a target's error response to the caller, or returns true if
// another target must be tried.
func (t *turn) forwardError(ctx context.Context, a *attempt, p *progress) bool {
	body, err := t.readAnswer(ctx, a)
	if err != nil {
		a.abort(ctx)
		t.recordFailure(ctx, &failure{execution: mayHaveExecuted, target: a.target, startedAt: a.startedAt, noticedAt: time.Now(), err: err})
		if t.canExecuteAgain(ctx) {
			return true
		}
		t.failStream(p)
		return false
	}
	a.complete()
	if t.canExecuteAgain(ctx) && a.response.StatusCode >= http.StatusInternalServerError {
		return true
	}
	if p.started {
		t.failStream(p)
		return false
	}
	t.settle()
	t.forwardAnswer(a, body)
	return false
}

// forwardEvents forwards the events of one target as they arrive.
func (t *turn) forwardEvents(ctx context.Context, a *attempt, p *progress) error {
	events := eventReader{conn: a.conn, reader: bufio.NewReaderSize(a.response.Body, eventBufferBytes), memory: &t.memory}
	defer events.release()
	flusher := http.NewResponseController(t.w)
	first, gap := t.eventTimeouts()
	stall := startStallTimer(a.conn, first, t.onStall(ctx))
	defer t.stopStallTimer(stall)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			stall.stop()
			if err := a.awaitWritten(); err != nil {
				a.abort(ctx)
				return err
			}
			a.complete()
			return nil
		}
		if err != nil {
			if t.stopStallTimer(stall) {
				a.outcome = fleet.TimedOut
			}
			a.abort(ctx)
			return err
		}
		if t.route.Resumable && isRepeated(ev.id, p.lastEventID) {
			stall.stop()
			a.abort(ctx)
			return errRepeatedEvent
		}
		if t.route.StoresTurns && len(t.output)+len(ev.data) > maxStoredOutputBytes {
			stall.stop()
			a.abort(ctx)
			return errOutputTooLarge
		}
		if t.route.StoresTurns && !t.holdOutput(len(ev.data)) {
			stall.stop()
			a.abort(ctx)
			return errNoMemory
		}
		// A caller that reads slowly is no fault of the target.
		isWaiting := stall.pause()
		a.countBytes(received, len(ev.raw))
		t.relay.recordEvent(a.choice.Call)
		if !a.hasEvent {
			a.hasEvent = true
			if a.suspicion.onlyBeforeFirstEvent {
				a.endSuspicion()
			}
			t.relay.recordFirstEvent(t.service, time.Since(a.startedAt))
		}
		t.sendHead(a, p)
		if err := t.sendEvent(flusher, ev.raw); err != nil {
			a.abort(ctx)
			return err
		}
		t.recordEvent(ev, p)
		if isWaiting {
			stall.resume(gap)
		}
	}
}

// sendEvent writes an event to the caller.
func (t *turn) sendEvent(flusher *http.ResponseController, raw []byte) error {
	t.memory.holder.Wait(resource.Sending, time.Now())
	if _, err := t.w.Write(raw); err != nil {
		return err
	}
	if err := flusher.Flush(); err != nil {
		return err
	}
	if !t.memory.holder.Resume(time.Now()) {
		return errNoMemory
	}
	return nil
}

// holdOutput takes the memory for more output of a stored turn, and reports whether there is room.
func (t *turn) holdOutput(n int) bool {
	if len(t.output)+n > chargedOutputBytes {
		return t.memory.grow((1 + storedCopies) * n)
	}
	t.memory.charge((1 + storedCopies) * n)
	return true
}

// eventTimeouts returns the time without a first event, and between events, after which the
// target counts as stalled. The latter is zero if no other target can continue the stream.
func (t *turn) eventTimeouts() (first, gap time.Duration) {
	first = t.relay.stallLimit(t.service, t.route.LatencyTarget)
	if t.mayMove() {
		gap = time.Duration(gapFactor * float64(t.route.MaxEventGap))
	}
	return first, gap
}

// sendHead sends the head of the answer unless it has been sent already. The head is
// taken from the first target's response. sendHead must also be called for a stream
// without events, such as one that the caller resumes after the last event.
func (t *turn) sendHead(a *attempt, p *progress) {
	if p.started {
		return
	}
	maps.Copy(t.w.Header(), t.relay.dialect.ResponseHeader(a.response.Header))
	t.setConnectionHeader()
	t.w.WriteHeader(a.response.StatusCode)
	p.started, p.mediaType = true, mediaTypeOf(a.response)
	t.software, t.isPinned = t.choice.Target.Software(), true
	t.firstEventAfter = time.Since(t.arrived)
	t.relay.metrics.observeFirstEvent(t.firstEventAfter)
	t.recordFirstEvent()
}

// recordEvent counts an event that was forwarded to the caller, and adds its data to
// the output of a stored turn.
func (t *turn) recordEvent(ev event, p *progress) {
	if ev.id != "" {
		p.lastEventID = ev.id
	}
	t.deliveredTokens += t.tokensPerEvent()
	if t.call.MaxTokens > 0 {
		t.deliveredTokens = min(t.deliveredTokens, t.call.MaxTokens)
	}
	if t.route.StoresTurns {
		t.output = append(append(t.output, ev.data...), '\n')
	}
}

// finish ends a complete stream. If the route stores turns, the turn must be in the
// ledger before the caller can see that the answer is complete.
func (t *turn) finish(ctx context.Context, p *progress) {
	if t.route.StoresTurns {
		if err := t.store(ctx); err != nil {
			t.lastErr = err
			t.settle()
			t.abort(reasonTurnNotStored)
		}
	}
	t.settle()
	t.recordEnd()
	t.logRequestEnd(http.StatusOK, reasonAnswered)
}

// eventReader reads the events of a stream. An event is valid until the next call of
// next.
type eventReader struct {
	conn   *conn
	reader *bufio.Reader
	memory *memory
	raw    []byte
	// charged is the part of the capacity of raw that the exchange is charged for.
	charged int
}

// extend makes room for n more bytes of an event. It returns errNoMemory if the exchange may not
// hold them.
func (r *eventReader) extend(n int) error {
	if len(r.raw)+n <= cap(r.raw) {
		return nil
	}
	size := max(2*cap(r.raw), len(r.raw)+n, eventBufferBytes)
	charged := 0
	if size > smallEventBytes {
		charged = size
	}
	if !r.memory.grow(charged) {
		return errNoMemory
	}
	r.raw = append(make([]byte, 0, size), r.raw...)
	r.memory.shrink(r.charged)
	r.charged = charged
	return nil
}

// release gives back a large buffer.
func (r *eventReader) release() {
	if r.charged > 0 {
		r.memory.shrink(r.charged)
		r.raw, r.charged = nil, 0
	}
}

// next reads one event. It returns io.EOF if the stream ends between two events and
// io.ErrUnexpectedEOF if it ends within one.
func (r *eventReader) next() (event, error) {
	r.release()
	r.raw = r.raw[:0]
	r.conn.source.begin(framingFactor*maxEventBytes, errEventTooLong)
	defer r.conn.source.end()
	for {
		line, err := r.reader.ReadSlice('\n')
		if len(r.raw)+len(line) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if err := r.extend(len(line)); err != nil {
			return event{}, err
		}
		r.raw = append(r.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return parseEvent(r.raw), nil
		}
	}
}

// parseEvent extracts the id and data fields of an event.
func parseEvent(raw []byte) event {
	ev := event{raw: raw}
	isOwned := false
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, idField); ok {
			ev.id = string(bytes.TrimPrefix(value, space))
		}
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, space)
		if ev.data == nil {
			ev.data = value
			continue
		}
		// Several data lines are joined by line feeds.
		if !isOwned {
			ev.data, isOwned = bytes.Clone(ev.data), true
		}
		ev.data = append(append(ev.data, '\n'), value...)
	}
	return ev
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	space     = []byte(" ")
)
