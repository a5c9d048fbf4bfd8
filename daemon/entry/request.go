package entry

import (
	"sync"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// source is where an answer is read.
type source struct {
	attempt core.AttemptID
	sidecar core.Node
}

// request is the mailbox of one caller's request: the reducer's effects go in
// without blocking, and the caller's goroutine takes them out.
type request struct {
	id     core.RequestID
	notify chan struct{}

	mu     sync.Mutex
	source *source
	finish *core.Finish
	ref    *core.HistoryRef
}

// found records where a conversation is kept.
func (r *request) found(ref core.HistoryRef) {
	r.mu.Lock()
	r.ref = &ref
	r.mu.Unlock()
	r.wake()
}

// located returns where a conversation is kept, or nil.
func (r *request) located() *core.HistoryRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ref
}

// placed records where the answer will appear.
func (r *request) placed(s source) {
	r.mu.Lock()
	r.source = &s
	r.mu.Unlock()
	r.wake()
}

// finished records the final word. A second one changes nothing.
func (r *request) finished(f core.Finish) {
	r.mu.Lock()
	if r.finish == nil {
		r.finish = &f
	}
	r.mu.Unlock()
	r.wake()
}

func (r *request) wake() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// take returns the newest source since the last take, and the final word if it
// has come.
func (r *request) take() (*source, *core.Finish) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.source
	r.source = nil
	return s, r.finish
}
