package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/history"
)

// historyPath ends the path of a program's conversation.
const historyPath = "/history"

// complete puts the kept conversation of a program before the messages of a
// request, so that everything behind the edge sees an ordinary whole call.
func (s *Server) complete(
	ctx context.Context, program core.ProgramID, account core.Account, body []byte,
) ([]byte, *chat.Request, *APIError) {
	kept, finish := s.options.Backend.History(ctx, program, account)
	if finish.Outcome != core.OutcomeRan {
		return nil, nil, refuse("complete conversation", finish)
	}
	body, err := history.PrependConversation(body, kept)
	if err != nil {
		return nil, nil, refusef("complete conversation", reasonInvalid, "%v", err)
	}
	req, err := chat.Parse(body)
	if err != nil {
		return nil, nil, refusef("complete conversation", reasonInvalid, "%v", err)
	}
	return body, req, nil
}

// serveHistory returns the kept conversation of a program.
func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	_, account, refusal := s.authenticate(r)
	if refusal != nil {
		s.reject(w, "history", began, refusal)
		return
	}
	program, ok := strings.CutSuffix(r.PathValue("program"), historyPath)
	c := &claim{program: program}
	if !ok || !validProgram(program) {
		s.reject(w, "history", began, refusef("read path", reasonNotFound, "%q is no program's history", r.URL.Path))
		return
	}
	messages, finish := s.options.Backend.History(r.Context(), c.scope(account), core.Account(account.Name))
	if finish.Outcome != core.OutcomeRan {
		s.reject(w, "history", began, refuse("history", finish))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(`{"messages":`))
	w.Write(messages)
	w.Write([]byte("}"))
	s.observe(Observation{Route: "history", Status: http.StatusOK, Outcome: core.OutcomeRan, Elapsed: time.Since(began)})
}
