package front

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// serveService passes a call to the tool or plain service that its path names.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	call, refusal := s.serviceCall(w, r)
	if refusal != nil {
		s.reject(w, "service", began, refusal)
		return
	}
	s.run(w, r, "service", began, call)
}

func (s *Server) serviceCall(w http.ResponseWriter, r *http.Request) (core.Call, *APIError) {
	set, account, refusal := s.authenticate(r)
	if refusal != nil {
		return core.Call{}, refusal
	}
	tool := findTool(set, r.URL.Path)
	if tool == nil {
		return core.Call{}, refusef("choose pool", reasonNotFound, "no service has a prefix of path %q", r.URL.Path)
	}
	claim, refusal := readClaim(r.Header, nil)
	if refusal != nil {
		return core.Call{}, refusal
	}
	kind, refusal := claim.kindFor(set, account, tool.Pool)
	if refusal != nil {
		return core.Call{}, refusal
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return core.Call{}, refusal
	}
	callKind := core.CallTool
	if claim.program == "" {
		callKind = core.CallService
		kind = ""
	}
	return core.Call{
		Program:       claim.scope(account),
		ProgramKind:   kind,
		Seq:           claim.seq,
		Account:       core.Account(account.Name),
		Kind:          callKind,
		Pool:          core.Pool(tool.Pool),
		Key:           claim.key,
		NonIdempotent: slices.Contains(tool.NonIdempotent, r.Method),
		Budget:        claim.budget,
		Timeout:       timeoutOf(tool.Timeout),
		Method:        r.Method,
		Path:          r.URL.RequestURI(),
		ContentType:   r.Header.Get("Content-Type"),
		Body:          body,
	}, nil
}

// findTool returns the tool with the longest prefix of a path, or nil.
func findTool(set *config.Set, path string) *config.Tool {
	var best *config.Tool
	for i := range set.Tools {
		tool := &set.Tools[i]
		if !hasPrefix(path, tool.Prefix) {
			continue
		}
		if best == nil || len(tool.Prefix) > len(best.Prefix) {
			best = tool
		}
	}
	return best
}

// hasPrefix reports whether path is prefix or lies below it.
func hasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
