package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/answer"
)

// response writes an answer to a caller. It forwards the events of a streamed
// answer at once, except those that end the answer. It holds back these events, and
// the whole answer if it is not streamed, until complete is called. A caller that
// has received the end of an answer can thus rely on the call being recorded.
type response struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	start   time.Time

	// pending holds the bytes that have not been written to the caller.
	pending []byte
	head    answer.Head
	hasHead bool
	// isEndHeld is set once the first event that ends the answer has arrived.
	isEndHeld bool
	// sent is set once the caller has been sent a part of the answer.
	sent      bool
	status    int
	firstByte time.Duration
	// firstToken and lastToken are the times from start to the first and the last
	// event with text.
	firstToken time.Duration
	lastToken  time.Duration
}

func newResponse(w http.ResponseWriter, stream bool, start time.Time) *response {
	return &response{w: w, control: http.NewResponseController(w), stream: stream, start: start}
}

// Write accepts the next part of the framed answer.
func (r *response) Write(p []byte) (int, error) {
	if r.firstByte == 0 {
		r.firstByte = time.Since(r.start)
	}
	r.pending = append(r.pending, p...)
	if !r.hasHead {
		head, body, ok, err := answer.SplitHead(r.pending)
		if err != nil {
			return 0, err
		}
		if !ok {
			return len(p), nil
		}
		r.head = head
		r.hasHead = true
		r.pending = body
	}
	if err := r.flushEvents(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Restart discards the answer so far, unless a part of it has been sent.
func (r *response) Restart() bool {
	if r.sent {
		return false
	}
	r.pending = nil
	r.hasHead = false
	r.isEndHeld = false
	return true
}

// flushEvents sends the complete events that precede the end of the answer.
func (r *response) flushEvents() error {
	if !r.stream || r.head.Status != http.StatusOK {
		return nil
	}
	n := 0
	for !r.isEndHeld {
		event, _, ok := chat.CutEvent(r.pending[n:])
		if !ok {
			break
		}
		if chat.IsFinalEvent(event) {
			r.isEndHeld = true
			break
		}
		r.recordTextTime(event)
		n += len(event)
	}
	if n == 0 {
		return nil
	}
	if err := r.writeBody(r.pending[:n]); err != nil {
		return err
	}
	r.pending = r.pending[n:]
	return r.control.Flush()
}

// recordTextTime records the arrival time of an event if it contains text.
func (r *response) recordTextTime(event []byte) {
	if !chat.HasText(event) {
		return
	}
	r.lastToken = time.Since(r.start)
	if r.firstToken == 0 {
		r.firstToken = r.lastToken
	}
}

// writeBody writes a part of the body to the caller, preceded by the response
// header if it is the first part.
func (r *response) writeBody(p []byte) error {
	if !r.sent {
		r.sent = true
		r.status = r.head.Status
		if r.head.ContentType != "" {
			r.w.Header().Set("Content-Type", r.head.ContentType)
		}
		if r.stream {
			r.w.Header().Set("Cache-Control", "no-cache")
		}
		r.w.WriteHeader(r.head.Status)
	}
	extendWriteDeadline(r.w)
	_, err := r.w.Write(p)
	return err
}

// complete sends what was held back. It must be called only after the call has
// been recorded.
func (r *response) complete() {
	if !r.sent {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(r.pending)))
	}
	if r.writeBody(r.pending) == nil {
		_ = r.control.Flush()
	}
}

// fail ends the response with an error: as an error response, or as an event if
// a part of the answer has been sent.
func (r *response) fail(apiErr *APIError) {
	if !r.sent {
		r.status = apiErr.status
		apiErr.write(r.w)
		return
	}
	if r.writeBody(apiErr.event()) == nil {
		_ = r.control.Flush()
	}
}
