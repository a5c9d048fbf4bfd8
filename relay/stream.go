package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

const (
	// gapFactor times the route's pause between events is the silence after which
	// a stream that can be resumed is continued by another target.
	gapFactor = 2.5
	// firstEventSilence is the same before the first event, when the request may
	// wait for a slot.
	firstEventSilence = 1500 * time.Millisecond
	// eventBuffer holds a line of an event, in bytes; longer ones are put together.
	eventBuffer = 1 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errEventTooLong = errors.New("event is too long")

// event is one whole event of a stream.
type event struct {
	raw  []byte
	id   string
	data []byte
}

// progress is how far a stream has come, over all its targets.
type progress struct {
	started bool
	lastID  string
}

// stream sends the turn and forwards its events. A resumable stream that breaks
// goes on at another target within the same answer.
func (t *turn) stream(ctx context.Context) {
	p := &progress{lastID: t.call.ResumeAfter}
	for {
		a, ok := t.attemptTurn(ctx, p)
		if !ok {
			return
		}
		if a.response.StatusCode != http.StatusOK {
			if t.passError(ctx, a, p) {
				continue
			}
			return
		}
		err := t.forward(ctx, a, p)
		if err == nil {
			t.begin(a, p)
			t.finish(ctx, p)
			return
		}
		t.failed(ctx, &failure{fate: mayHaveRun, target: a.target, err: err})
		if !t.canRepeat(ctx) {
			t.broken(p)
			return
		}
	}
}

// attemptTurn gets the head of a target's answer. Once events went to the caller,
// a failure can only end the stream.
func (t *turn) attemptTurn(ctx context.Context, p *progress) (*attempt, bool) {
	if !p.started {
		a, ok := t.attempt(ctx, t.body, p.lastID)
		if !ok {
			t.settle()
		}
		return a, ok
	}
	for t.sends < maxSends && ctx.Err() == nil {
		a, fail := t.send(ctx, t.body, p.lastID, true)
		if a != nil {
			return a, true
		}
		if fail == nil || fail.fate == mayHaveRun && !t.canRepeat(ctx) {
			break
		}
	}
	t.broken(p)
	return nil, false
}

// broken ends a stream that cannot go on.
func (t *turn) broken(p *progress) {
	t.settle()
	if p.started {
		t.abort(reasonStream)
	}
	if t.req.Context().Err() == nil && time.Now().Before(t.deadline) {
		t.respond(http.StatusBadGateway, reasonLost)
		return
	}
	t.outOfTime()
}

// passError passes a target's failure on, or returns true to try another target.
func (t *turn) passError(ctx context.Context, a *attempt, p *progress) bool {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxEventBytes))
	if err != nil {
		a.abort(ctx)
		t.failed(ctx, &failure{fate: mayHaveRun, target: a.target, err: err})
		if t.canRepeat(ctx) {
			return true
		}
		t.broken(p)
		return false
	}
	a.complete()
	if t.canRepeat(ctx) && a.response.StatusCode >= http.StatusInternalServerError {
		return true
	}
	if p.started {
		t.broken(p)
		return false
	}
	t.settle()
	t.answer(a, body)
	return false
}

// forward passes the events of one target on as they come.
func (t *turn) forward(ctx context.Context, a *attempt, p *progress) error {
	events := eventReader{in: bufio.NewReaderSize(a.response.Body, eventBuffer)}
	flusher := http.NewResponseController(t.w)
	first, gap := t.pauseLimits()
	silent := watch(a.conn, first, t.mayLeave())
	defer silent.stop()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			silent.stop()
			a.complete()
			return nil
		}
		if err != nil {
			if silent.stop() {
				a.outcome = fleet.TimedOut
			}
			a.abort(ctx)
			return err
		}
		silent.heard(gap)
		t.begin(a, p)
		if _, err := t.w.Write(ev.raw); err != nil {
			a.abort(ctx)
			return err
		}
		if err := flusher.Flush(); err != nil {
			a.abort(ctx)
			return err
		}
		t.took(ev, p)
	}
}

// pauseLimits returns the silence before the first event and between events after
// which another target continues the stream; zero if none can.
func (t *turn) pauseLimits() (first, gap time.Duration) {
	gap = time.Duration(gapFactor * float64(t.route.GapTarget))
	if !t.route.Resumable || t.runs >= t.route.MaxTargets || gap <= 0 {
		return 0, 0
	}
	return firstEventSilence, gap
}

// begin sends the head of the answer, which is that of its first target. A stream
// that goes on after its last event has no events.
func (t *turn) begin(a *attempt, p *progress) {
	if p.started {
		return
	}
	maps.Copy(t.w.Header(), t.relay.dialect.AnswerHeader(a.response.Header))
	t.w.WriteHeader(a.response.StatusCode)
	p.started = true
	t.first = time.Since(t.arrived)
	t.relay.metrics.firstEvent(t.first)
}

// took accounts for an event that went to the caller.
func (t *turn) took(ev event, p *progress) {
	if ev.id != "" {
		p.lastID = ev.id
	}
	t.tokens += t.eventTokens()
	if t.call.MaxTokens > 0 {
		t.tokens = min(t.tokens, t.call.MaxTokens)
	}
	if t.route.StoresTurns {
		t.output = append(append(t.output, ev.data...), '\n')
	}
}

// finish ends a whole stream. A kept turn must be stored before its caller can
// see that it is whole.
func (t *turn) finish(ctx context.Context, p *progress) {
	if t.route.StoresTurns {
		if err := t.keep(ctx); err != nil {
			t.last = err
			t.settle()
			t.abort(reasonNotKept)
		}
	}
	t.settle()
	t.logEnd(http.StatusOK, reasonAnswered)
}

// eventReader reads the events of a stream. An event is valid until the next one
// is read.
type eventReader struct {
	in  *bufio.Reader
	raw []byte
}

// next reads one event. The end of the stream is io.EOF between two events; an
// event that is cut off is io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	for {
		line, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(r.raw) <= maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return event{}, errEventTooLong
		}
		if err != nil {
			return event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return parseEvent(r.raw), nil
		}
	}
}

// parseEvent reads the fields of an event.
func parseEvent(raw []byte) event {
	ev := event{raw: raw}
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
		// Several data lines are one text with line feeds between.
		ev.data = append(append(bytes.Clone(ev.data), '\n'), value...)
	}
	return ev
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	space     = []byte(" ")
)
