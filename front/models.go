package front

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	set, account, apiErr := s.authenticate(r)
	if apiErr != nil {
		s.reject(w, "models", start, apiErr)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range modelsOf(set, account) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: set.Deployment})
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
	s.observe(Observation{Route: "models", Status: http.StatusOK, Elapsed: time.Since(start)})
}

// modelsOf returns the models that an account's programs may use, sorted.
func modelsOf(set *config.Set, account *config.Account) []string {
	var names []string
	for _, pool := range set.Pools {
		if pool.Kind != config.PoolModel || slices.Contains(names, pool.Model) {
			continue
		}
		if _, apiErr := (&programParams{}).kindFor(set, account, pool.Name); apiErr == nil {
			names = append(names, pool.Model)
		}
	}
	slices.Sort(names)
	return names
}

// serveEnd ends a program and its sub-agents. Ending a program that has already
// ended is a success.
func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	_, account, apiErr := s.authenticate(r)
	if apiErr != nil {
		s.reject(w, "end", start, apiErr)
		return
	}
	params := &programParams{program: r.PathValue("program")}
	if !isValidProgramID(params.program) {
		s.reject(w, "end", start, apiErrorf("read path", reasonInvalid, "%q is no program id", params.program))
		return
	}
	finish := s.options.Backend.End(r.Context(), params.programID(account), core.Account(account.Name))
	if finish.Outcome == core.OutcomeRan || finish.Reason == core.ReasonProgramEnded {
		w.WriteHeader(http.StatusNoContent)
		s.observe(Observation{Route: "end", Status: http.StatusNoContent, Elapsed: time.Since(start)})
		return
	}
	s.reject(w, "end", start, newAPIError("end", finish))
}
