package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/answer"
)

// response passes an answer to a caller. Of a streamed answer it passes every
// event on at once but those that end the answer; these, and plain answers, wait
// for complete. So a caller that sees the end knows that the call is recorded.
type response struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	began   time.Time

	// pending holds the bytes not passed on.
	pending []byte
	head    answer.Head
	hasHead bool
	// holding is set from the first event that ends the answer.
	holding bool
	// sent is set when a part of the answer has been passed on.
	sent      bool
	status    int
	firstByte time.Duration
	// firstToken and lastToken are the times of the first and the last text.
	firstToken time.Duration
	lastToken  time.Duration
}

func newResponse(w http.ResponseWriter, stream bool, began time.Time) *response {
	return &response{w: w, control: http.NewResponseController(w), stream: stream, began: began}
}

// Write takes the next part of the framed answer.
func (r *response) Write(p []byte) (int, error) {
	if r.firstByte == 0 {
		r.firstByte = time.Since(r.began)
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
	if err := r.release(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Restart drops the answer so far.
func (r *response) Restart() bool {
	if r.sent {
		return false
	}
	r.pending = nil
	r.hasHead = false
	r.holding = false
	return true
}

// release passes on the whole events that do not end the answer.
func (r *response) release() error {
	if !r.stream || r.head.Status != http.StatusOK {
		return nil
	}
	n := 0
	for !r.holding {
		event, _, ok := chat.CutEvent(r.pending[n:])
		if !ok {
			break
		}
		if chat.IsFinalEvent(event) {
			r.holding = true
			break
		}
		r.noteText(event)
		n += len(event)
	}
	if n == 0 {
		return nil
	}
	if err := r.pass(r.pending[:n]); err != nil {
		return err
	}
	r.pending = r.pending[n:]
	return r.control.Flush()
}

// noteText notes the time of an event that brings text.
func (r *response) noteText(event []byte) {
	if !chat.HasText(event) {
		return
	}
	r.lastToken = time.Since(r.began)
	if r.firstToken == 0 {
		r.firstToken = r.lastToken
	}
}

// pass writes a part of the body to the caller, after the header if it is the
// first.
func (r *response) pass(p []byte) error {
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
	extendWrite(r.w)
	_, err := r.w.Write(p)
	return err
}

// complete passes on what was held back.
func (r *response) complete() {
	if !r.sent {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(r.pending)))
	}
	if r.pass(r.pending) == nil {
		_ = r.control.Flush()
	}
}

// fail ends the response with a refusal: as a response of its own, or as an
// event if a part of the answer has been passed on.
func (r *response) fail(refusal *APIError) {
	if !r.sent {
		r.status = refusal.status
		refusal.send(r.w)
		return
	}
	if r.pass(refusal.event()) == nil {
		_ = r.control.Flush()
	}
}
