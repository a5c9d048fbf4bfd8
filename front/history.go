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

// historyPath is the suffix of the URL path that returns a program's conversation.
const historyPath = "/history"

// prependStoredHistory inserts the stored conversation of a program before the
// messages of a request, so that the owner and the target receive an ordinary
// call with the complete conversation.
func (s *Server) prependStoredHistory(
	ctx context.Context, program core.ProgramID, account core.Account, body []byte,
) ([]byte, *chat.Request, *APIError) {
	stored, finish := s.options.Backend.History(ctx, program, account)
	if finish.Outcome != core.OutcomeRan {
		return nil, nil, newAPIError("complete conversation", finish)
	}
	body, err := history.PrependConversation(body, stored)
	if err != nil {
		return nil, nil, apiErrorf("complete conversation", reasonInvalid, "%v", err)
	}
	req, err := chat.Parse(body)
	if err != nil {
		return nil, nil, apiErrorf("complete conversation", reasonInvalid, "%v", err)
	}
	return body, req, nil
}

// serveHistory responds with the stored conversation of a program.
func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	_, account, apiErr := s.authenticate(r)
	if apiErr != nil {
		s.reject(w, "history", start, apiErr)
		return
	}
	program, ok := strings.CutSuffix(r.PathValue("program"), historyPath)
	params := &programParams{program: program}
	if !ok || !isValidProgramID(program) {
		s.reject(w, "history", start, apiErrorf("read path", reasonNotFound, "%q is no program's history", r.URL.Path))
		return
	}
	messages, finish := s.options.Backend.History(r.Context(), params.programID(account), core.Account(account.Name))
	if finish.Outcome != core.OutcomeRan {
		s.reject(w, "history", start, newAPIError("history", finish))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(`{"messages":`))
	w.Write(messages)
	w.Write([]byte("}"))
	s.observe(Observation{Route: "history", Status: http.StatusOK, Outcome: core.OutcomeRan, Elapsed: time.Since(start)})
}
