package front

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// serveService forwards a request to the tool or plain service whose prefix
// matches its path.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	call, apiErr := s.serviceCall(w, r)
	if apiErr != nil {
		s.reject(w, "service", start, apiErr)
		return
	}
	s.runCall(w, r, "service", start, call)
}

func (s *Server) serviceCall(w http.ResponseWriter, r *http.Request) (core.Call, *APIError) {
	set, account, apiErr := s.authenticate(r)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	tool := findTool(set, r.URL.Path)
	if tool == nil {
		return core.Call{}, apiErrorf("choose pool", reasonNotFound, "no service has a prefix of path %q", r.URL.Path)
	}
	params, apiErr := readProgramParams(r.Header, nil)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	kind, apiErr := params.kindFor(set, account, tool.Pool)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	body, apiErr := s.readBody(w, r)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	callKind := core.CallTool
	if params.program == "" {
		callKind = core.CallService
		kind = ""
	}
	return core.Call{
		Program:       params.programID(account),
		ProgramKind:   kind,
		Seq:           params.seq,
		Account:       core.Account(account.Name),
		Kind:          callKind,
		Pool:          core.Pool(tool.Pool),
		Key:           params.key,
		NonIdempotent: slices.Contains(tool.NonIdempotent, r.Method),
		Budget:        params.budget,
		Timeout:       timeoutOrDefault(tool.Timeout),
		Method:        r.Method,
		Path:          r.URL.RequestURI(),
		ContentType:   r.Header.Get("Content-Type"),
		Body:          body,
	}, nil
}

// findTool returns the tool with the longest prefix that matches a path, or nil.
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

// hasPrefix reports whether path equals prefix or is below it.
func hasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
