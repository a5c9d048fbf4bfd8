package entry

import (
	"sync"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// source is the attempt whose answer is read, and the sidecar that stores it.
type source struct {
	attempt core.AttemptID
	sidecar core.Node
}

// request holds what the reducer has reported for one caller's request. The reducer's
// actor stores it without blocking; the caller's goroutine reads it when notify is
// signaled.
type request struct {
	id     core.RequestID
	notify chan struct{}

	mu      sync.Mutex
	source  *source
	finish  *core.Finish
	history *core.HistoryRef
}

// setHistory records where the conversation is stored.
func (r *request) setHistory(ref core.HistoryRef) {
	r.mu.Lock()
	r.history = &ref
	r.mu.Unlock()
	r.signal()
}

// historyRef returns where the conversation is stored, or nil if that is not known yet.
func (r *request) historyRef() *core.HistoryRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history
}

// setSource records where the answer can be read.
func (r *request) setSource(s source) {
	r.mu.Lock()
	r.source = &s
	r.mu.Unlock()
	r.signal()
}

// setFinish records the final result. Only the first one counts.
func (r *request) setFinish(f core.Finish) {
	r.mu.Lock()
	if r.finish == nil {
		r.finish = &f
	}
	r.mu.Unlock()
	r.signal()
}

func (r *request) signal() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// takeUpdate returns the newest source set since the last call, and the final result.
// Either is nil if there is none.
func (r *request) takeUpdate() (*source, *core.Finish) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.source
	r.source = nil
	return s, r.finish
}
