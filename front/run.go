package front

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// edgeGrace is how much longer the edge waits than the call's own timeout, for
// the home's final word.
const edgeGrace = 5 * core.Second

// run passes a call on and its answer back to the caller.
func (s *Server) run(w http.ResponseWriter, r *http.Request, route string, began time.Time, call core.Call) {
	ctx := r.Context()
	if call.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(call.Timeout+edgeGrace))
		defer cancel()
		ctx = bounded
	}
	sink := newResponse(w, call.Stream, began)
	finish := s.options.Backend.Do(ctx, call, sink)
	if finish.Outcome == core.OutcomeRan && finish.Reason == "" {
		sink.complete()
	} else {
		sink.fail(refuse(route, finish))
	}
	call.Body = nil
	call.Blocks = nil
	s.observe(Observation{
		Route:      route,
		Status:     sink.status,
		Outcome:    finish.Outcome,
		Reason:     finish.Reason,
		Elapsed:    time.Since(began),
		FirstByte:  sink.firstByte,
		FirstToken: sink.firstToken,
		LastToken:  sink.lastToken,
		Call:       call,
		Finish:     finish,
	})
}
