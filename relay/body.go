package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/resource"
)

const (
	// defaultMaxBodyBytes bounds a request's body if the configuration does not.
	defaultMaxBodyBytes = 64 << 20
	// requestBytes is what a request makes the process hold besides its body: the connection to
	// its target and what the caller may send behind the request, which the kernel holds.
	requestBytes = 48 << 10
	// firstBodyBytes is the size of the buffer with which the reading of a body begins.
	firstBodyBytes = 16 << 10
	// storedCopies is how many times more a body is held that is stored: as part of a record and
	// in the message to a ledger member.
	storedCopies = 2
	// chargedOutputBytes is the output of a stored turn that is held whether there is room or not,
	// since a target has generated it. Larger outputs need room.
	chargedOutputBytes = 256 << 10
	// answeredBodyTime bounds the time for reading the body of a request that is answered without
	// it, so that its connection can be kept, and answeredBodyBytes how much is read.
	answeredBodyTime  = 50 * time.Millisecond
	answeredBodyBytes = 256 << 10
	// memoryRetryAfter is the Retry-After of requests for which there is no memory. Stalled
	// requests are dropped sooner.
	memoryRetryAfter = 500 * time.Millisecond
	// memoryPollPeriod is the time between two attempts to get memory for an answer.
	memoryPollPeriod = 20 * time.Millisecond
)

// Errors of requests for which there is no memory, and of targets' answers.
var (
	errNoMemory     = errors.New("callers hold all of the memory that they may")
	errBodyTooLarge = errors.New("body exceeds the size limit")
)

// memory is what one exchange makes the process hold. It is not safe for concurrent use.
type memory struct {
	holder *resource.Holder
	bytes  int64
}

// grow takes bytes before they are allocated, and reports whether there is room for them.
func (m *memory) grow(n int) bool {
	if n > 0 && !m.holder.Grow(int64(n), time.Now()) {
		return false
	}
	m.bytes += int64(n)
	return true
}

// growForBody is grow for a request's body. The error is errBodyTooLarge if there would be no room
// without other callers either.
func (m *memory) growForBody(n int) error {
	switch {
	case m.grow(n):
		return nil
	case !m.holder.Dropped() && !m.holder.Fits(int64(n)):
		return errBodyTooLarge
	}
	return errNoMemory
}

// charge adds bytes that have to be held whether there is room or not.
func (m *memory) charge(n int) {
	m.holder.Charge(int64(n))
	m.bytes += int64(n)
}

// await is grow for bytes that have to be held although a target has run the request. It waits for
// room until ctx ends.
func (m *memory) await(ctx context.Context, n int) error {
	for !m.grow(n) {
		if ctx.Err() != nil {
			return errNoMemory
		}
		ctxwait.Sleep(ctx, memoryPollPeriod)
	}
	return nil
}

// shrink gives back bytes.
func (m *memory) shrink(n int) {
	m.holder.Shrink(int64(n))
	m.bytes -= int64(n)
}

// release gives back everything.
func (m *memory) release() { m.shrink(int(m.bytes)) }

// readBody reads the request's body, until the deadline at most, and takes the memory that the
// request needs until it is sent. If it returns false, it has answered the caller.
func (e *exchange) readBody() bool {
	if err := e.receiveBody(); err != nil {
		e.respondUnreadable(err)
		return false
	}
	if !e.memory.holder.Serve(time.Now()) {
		e.respondNoMemory()
		return false
	}
	return true
}

// bodyCopies returns how many times the process holds the body until the request has ended.
func (e *exchange) bodyCopies() int {
	if e.route.StoresTurns {
		return 1 + storedCopies
	}
	return 1
}

// receiveBody takes the request's memory and reads its body into a buffer that grows with what
// arrives.
func (e *exchange) receiveBody() error {
	limit, length := cmp.Or(e.config.Limits.BodyBytes, defaultMaxBodyBytes), e.req.ContentLength
	if length > limit {
		return errBodyTooLarge
	}
	if err := e.memory.growForBody(requestBytes + int(max(length, 0))*e.bodyCopies()); err != nil {
		return err
	}
	if length == 0 {
		return nil
	}
	e.setReadDeadline(e.deadline)
	body, err := e.readAll(limit)
	if err != nil {
		return err
	}
	e.setReadDeadline(time.Time{})
	if length < 0 {
		if err := e.memory.growForBody(len(body) * (e.bodyCopies() - 1)); err != nil {
			return err
		}
	}
	e.body = body
	return nil
}

func (e *exchange) readAll(limit int64) ([]byte, error) {
	length := e.req.ContentLength
	size := int64(firstBodyBytes)
	if length > 0 {
		size = min(size, length)
	} else if err := e.memory.growForBody(firstBodyBytes); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for length < 0 || int64(len(body)) < length {
		if len(body) == cap(body) {
			larger, err := e.enlarge(body)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := e.req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		e.memory.holder.Arrived(int64(n), time.Now())
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// enlarge returns a copy of body with twice the capacity. The memory of a body with a length was
// taken before.
func (e *exchange) enlarge(body []byte) ([]byte, error) {
	size := 2 * cap(body)
	if length := int(e.req.ContentLength); length > 0 {
		size = min(size, length)
	} else {
		if err := e.memory.growForBody(size); err != nil {
			return nil, err
		}
		defer e.memory.shrink(cap(body))
	}
	return append(make([]byte, 0, size), body...), nil
}

// readAnswer reads the whole body of a target's answer. It waits for memory before it reads a large
// one: for all that it may need, so that answers that wait do not hold what others need.
func (e *exchange) readAnswer(ctx context.Context, a *attempt) ([]byte, error) {
	taken := 0
	body, err := a.conn.readBounded(a.response, func(bytes int) error {
		taken = bytes
		return e.memory.await(ctx, bytes)
	})
	if err == nil {
		err = a.awaitWritten()
	}
	if err == nil && taken > cap(body) {
		e.memory.shrink(taken - cap(body))
	}
	return body, err
}

// respondUnreadable answers a request whose body could not be read.
func (e *exchange) respondUnreadable(err error) {
	e.lastErr = err
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errBodyTooLarge):
		e.respond(http.StatusRequestEntityTooLarge, reasonTooLarge)
	case errors.Is(err, errNoMemory) || e.memory.holder.Dropped():
		e.respondNoMemory()
	case errors.As(err, &timeout) && timeout.Timeout():
		e.w.Header().Set("Connection", "close")
		e.respond(http.StatusRequestTimeout, reasonBodyLate)
	default:
		e.respond(http.StatusBadRequest, reasonBadBody)
	}
}

// respondNoMemory refuses a request for which there is no memory.
func (e *exchange) respondNoMemory() { e.respondUnavailable(reasonNoMemory, memoryRetryAfter) }

// setReadDeadline bounds the reading of the request's body; the zero time removes the bound.
func (e *exchange) setReadDeadline(t time.Time) {
	err := http.NewResponseController(e.w).SetReadDeadline(t)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		e.relay.log.Debug().Str("event", "connection_lost").Str("request", e.call.ID).Err(err).Msg("")
	}
}

// leaveBody prepares an answer that is given without the body having been read. The server would
// wait for the body, or for a part of it, before it sends the answer: what has arrived is read so
// that the connection can be kept, and otherwise the connection is closed after the answer. It
// returns a function to call after the answer was written.
func (e *exchange) leaveBody() (end func()) {
	if e.req.ContentLength == 0 || e.body != nil {
		return func() {}
	}
	if e.req.Header.Get("Expect") == "" && e.w.Header().Get("Connection") != "close" && e.req.ContentLength <= answeredBodyBytes {
		e.setReadDeadline(time.Now().Add(answeredBodyTime))
		n, err := io.Copy(io.Discard, io.LimitReader(e.req.Body, answeredBodyBytes))
		if err == nil && n < answeredBodyBytes {
			e.setReadDeadline(time.Time{})
			return func() {}
		}
	}
	e.w.Header().Set("Connection", "close")
	return func() { e.setReadDeadline(time.Unix(1, 0)) }
}
