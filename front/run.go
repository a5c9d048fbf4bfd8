package front

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// ingressGrace is added to the call's own timeout, so that the ingress waits for
// the owner's final result.
const ingressGrace = 5 * core.Second

// runCall executes a call and sends its answer, or an error, to the caller.
func (s *Server) runCall(w http.ResponseWriter, r *http.Request, route string, start time.Time, call core.Call) {
	ctx := r.Context()
	if call.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(call.Timeout+ingressGrace))
		defer cancel()
		ctx = bounded
	}
	sink := newResponse(w, call.Stream, start)
	finish := s.options.Backend.Do(ctx, call, sink)
	if finish.Outcome == core.OutcomeRan && finish.Reason == "" {
		sink.complete()
	} else {
		sink.fail(newAPIError(route, finish))
	}
	call.Body = nil
	call.Blocks = nil
	s.observe(Observation{
		Route:      route,
		Status:     sink.status,
		Outcome:    finish.Outcome,
		Reason:     finish.Reason,
		Elapsed:    time.Since(start),
		FirstByte:  sink.firstByte,
		FirstToken: sink.firstToken,
		LastToken:  sink.lastToken,
		Call:       call,
		Finish:     finish,
	})
}
