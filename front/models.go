package front

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// modelList is the answer of GET /v1/models.
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
	began := time.Now()
	set, account, refusal := s.authenticate(r)
	if refusal != nil {
		s.reject(w, "models", began, refusal)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range modelsOf(set, account) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: set.Deployment})
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller is gone if the write fails.
	_ = json.NewEncoder(w).Encode(list)
	s.observe(Observation{Route: "models", Status: http.StatusOK, Elapsed: time.Since(began)})
}

// modelsOf returns the models that an account's programs may use, sorted.
func modelsOf(set *config.Set, account *config.Account) []string {
	var names []string
	for _, pool := range set.Pools {
		if pool.Kind != config.PoolModel || slices.Contains(names, pool.Model) {
			continue
		}
		if _, refusal := (&claim{}).kindFor(set, account, pool.Name); refusal == nil {
			names = append(names, pool.Model)
		}
	}
	slices.Sort(names)
	return names
}

// serveEnd ends a program.
func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	_, account, refusal := s.authenticate(r)
	if refusal != nil {
		s.reject(w, "end", began, refusal)
		return
	}
	c := &claim{program: r.PathValue("program")}
	if !validProgram(c.program) {
		s.reject(w, "end", began, refusef("read path", reasonInvalid, "%q is no program id", c.program))
		return
	}
	finish := s.options.Backend.End(r.Context(), c.scope(account), core.Account(account.Name))
	if finish.Outcome == core.OutcomeRan || finish.Reason == core.ReasonProgramEnded {
		w.WriteHeader(http.StatusNoContent)
		s.observe(Observation{Route: "end", Status: http.StatusNoContent, Elapsed: time.Since(began)})
		return
	}
	s.reject(w, "end", began, refuse("end", finish))
}
