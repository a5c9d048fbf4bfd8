package front

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// defaultMaxTokens bounds the output of a request that sets no limit. A limit
	// is needed because a call reserves budget for the most tokens that it can use.
	defaultMaxTokens = 1024
	// defaultCallTimeout applies to pools and tools without a timeout of their own.
	defaultCallTimeout = 10 * core.Minute
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	call, apiErr := s.chatCall(w, r)
	if apiErr != nil {
		s.reject(w, "chat", start, apiErr)
		return
	}
	s.runCall(w, r, "chat", start, call)
}

// chatCall reads a chat completions request and returns it as a call. If the
// request appends to the stored conversation, the call's body also contains the
// stored messages, but its fingerprint is computed from the body as received.
func (s *Server) chatCall(w http.ResponseWriter, r *http.Request) (core.Call, *APIError) {
	set, account, apiErr := s.authenticate(r)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	body, apiErr := s.readBody(w, r)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	req, err := chat.Parse(body)
	if err != nil {
		return core.Call{}, apiErrorf("read request", reasonInvalid, "%v", err)
	}
	params, apiErr := readProgramParams(r.Header, req.Metadata)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	pool, kind, apiErr := choosePool(set, account, params, req.Model)
	if apiErr != nil {
		return core.Call{}, apiErr
	}
	var fingerprint uint64
	if params.appendsHistory {
		fingerprint = xxhash.Sum64(body)
		body, req, apiErr = s.prependStoredHistory(r.Context(), params.programID(account), core.Account(account.Name), body)
		if apiErr != nil {
			return core.Call{}, apiErr
		}
	}
	if !req.HasOutputLimit() {
		if body, err = chat.WithOutputLimit(body, defaultMaxTokens); err != nil {
			return core.Call{}, apiErrorf("read request", reasonInvalid, "%v", err)
		}
	}
	return core.Call{
		Program:      params.programID(account),
		ProgramKind:  kind,
		Seq:          params.seq,
		Account:      core.Account(account.Name),
		Kind:         core.CallModel,
		Pool:         core.Pool(pool.Name),
		Key:          params.key,
		Stream:       req.Stream,
		MaxTokens:    req.OutputLimit(defaultMaxTokens),
		Budget:       params.budget,
		Blocks:       chat.Blocks(req.Messages),
		ResetHistory: params.resetsHistory,
		Timeout:      timeoutOrDefault(pool.CallTimeout),
		Method:       r.Method,
		Path:         r.URL.RequestURI(),
		ContentType:  r.Header.Get("Content-Type"),
		Body:         body,
		Fingerprint:  fingerprint,
	}, nil
}

// choosePool returns the first pool that serves the model and is permitted to the
// program. It also returns the program's kind.
func choosePool(set *config.Set, account *config.Account, params *programParams, model string) (*config.Pool, string, *APIError) {
	var last *APIError
	for i := range set.Pools {
		pool := &set.Pools[i]
		if pool.Kind != config.PoolModel || pool.Model != model {
			continue
		}
		kind, apiErr := params.kindFor(set, account, pool.Name)
		if apiErr == nil {
			return pool, kind, nil
		}
		last = apiErr
	}
	if last == nil {
		last = apiErrorf("choose pool", reasonNotFound, "no pool serves model %q", model)
	}
	return nil, "", last
}

func timeoutOrDefault(d config.Duration) core.Duration {
	if d == 0 {
		return defaultCallTimeout
	}
	return d.Nanos()
}
