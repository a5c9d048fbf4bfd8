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
	// defaultMaxTokens bounds the output of a request that sets no bound, since
	// budget is reserved for the most that a call can spend.
	defaultMaxTokens = 1024
	// defaultCallTimeout applies to pools and tools that set none.
	defaultCallTimeout = 10 * core.Minute
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	call, refusal := s.chatCall(w, r)
	if refusal != nil {
		s.reject(w, "chat", began, refusal)
		return
	}
	s.run(w, r, "chat", began, call)
}

// chatCall reads a chat completions request.
func (s *Server) chatCall(w http.ResponseWriter, r *http.Request) (core.Call, *APIError) {
	set, account, refusal := s.authenticate(r)
	if refusal != nil {
		return core.Call{}, refusal
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return core.Call{}, refusal
	}
	req, err := chat.Parse(body)
	if err != nil {
		return core.Call{}, refusef("read request", reasonInvalid, "%v", err)
	}
	claim, refusal := readClaim(r.Header, req.Metadata)
	if refusal != nil {
		return core.Call{}, refusal
	}
	pool, kind, refusal := choosePool(set, account, claim, req.Model)
	if refusal != nil {
		return core.Call{}, refusal
	}
	var print uint64
	if claim.appends {
		print = xxhash.Sum64(body)
		body, req, refusal = s.complete(r.Context(), claim.scope(account), core.Account(account.Name), body)
		if refusal != nil {
			return core.Call{}, refusal
		}
	}
	if !req.HasOutputLimit() {
		if body, err = chat.WithOutputLimit(body, defaultMaxTokens); err != nil {
			return core.Call{}, refusef("read request", reasonInvalid, "%v", err)
		}
	}
	return core.Call{
		Program:      claim.scope(account),
		ProgramKind:  kind,
		Seq:          claim.seq,
		Account:      core.Account(account.Name),
		Kind:         core.CallModel,
		Pool:         core.Pool(pool.Name),
		Key:          claim.key,
		Stream:       req.Stream,
		MaxTokens:    req.OutputLimit(defaultMaxTokens),
		Budget:       claim.budget,
		Blocks:       chat.Blocks(req.Messages),
		ResetHistory: claim.reset,
		Timeout:      timeoutOf(pool.CallTimeout),
		Method:       r.Method,
		Path:         r.URL.RequestURI(),
		ContentType:  r.Header.Get("Content-Type"),
		Body:         body,
		Fingerprint:  print,
	}, nil
}

// choosePool returns the pool that serves a model to a program.
func choosePool(set *config.Set, account *config.Account, c *claim, model string) (*config.Pool, string, *APIError) {
	var last *APIError
	for i := range set.Pools {
		pool := &set.Pools[i]
		if pool.Kind != config.PoolModel || pool.Model != model {
			continue
		}
		kind, refusal := c.kindFor(set, account, pool.Name)
		if refusal == nil {
			return pool, kind, nil
		}
		last = refusal
	}
	if last == nil {
		last = refusef("choose pool", reasonNotFound, "no pool serves model %q", model)
	}
	return nil, "", last
}

func timeoutOf(d config.Duration) core.Duration {
	if d == 0 {
		return defaultCallTimeout
	}
	return d.Nanos()
}
