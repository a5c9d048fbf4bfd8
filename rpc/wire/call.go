package wire

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

func fromCall(c *core.Call) *peerpb.Call {
	p := &peerpb.Call{
		Program:       string(c.Program),
		ProgramKind:   c.ProgramKind,
		Seq:           c.Seq,
		Account:       string(c.Account),
		Kind:          uint32(c.Kind),
		Pool:          string(c.Pool),
		Key:           c.Key,
		NonIdempotent: c.NonIdempotent,
		Stream:        c.Stream,
		MaxTokens:     c.MaxTokens,
		Budget:        c.Budget,
		ResetHistory:  c.ResetHistory,
		Timeout:       c.Timeout,
		Method:        c.Method,
		Path:          c.Path,
		ContentType:   c.ContentType,
		Body:          c.Body,
		Fingerprint:   c.Fingerprint,
	}
	for _, b := range c.Blocks {
		p.Blocks = append(p.Blocks, &peerpb.Block{Digest: b.Digest, Tokens: b.Tokens})
	}
	return p
}

func toCall(p *peerpb.Call) core.Call {
	c := core.Call{
		Program:       core.ProgramID(p.GetProgram()),
		ProgramKind:   p.GetProgramKind(),
		Seq:           p.GetSeq(),
		Account:       core.Account(p.GetAccount()),
		Kind:          core.CallKind(p.GetKind()),
		Pool:          core.Pool(p.GetPool()),
		Key:           p.GetKey(),
		NonIdempotent: p.GetNonIdempotent(),
		Stream:        p.GetStream(),
		MaxTokens:     p.GetMaxTokens(),
		Budget:        p.GetBudget(),
		ResetHistory:  p.GetResetHistory(),
		Timeout:       p.GetTimeout(),
		Method:        p.GetMethod(),
		Path:          p.GetPath(),
		ContentType:   p.GetContentType(),
		Body:          p.GetBody(),
		Fingerprint:   p.GetFingerprint(),
	}
	for _, b := range p.GetBlocks() {
		c.Blocks = append(c.Blocks, core.Block{Digest: b.GetDigest(), Tokens: b.GetTokens()})
	}
	return c
}

func fromUsage(u core.Usage) *peerpb.Usage {
	if u == (core.Usage{}) {
		return nil
	}
	return &peerpb.Usage{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.CachedTokens,
		OutputTokens: u.OutputTokens,
	}
}

func toUsage(p *peerpb.Usage) core.Usage {
	return core.Usage{
		PromptTokens: p.GetPromptTokens(),
		CachedTokens: p.GetCachedTokens(),
		OutputTokens: p.GetOutputTokens(),
	}
}

func fromFinish(f *core.Finish) *peerpb.Finish {
	return &peerpb.Finish{
		Outcome:    uint32(f.Outcome),
		Reason:     string(f.Reason),
		RetryAfter: f.RetryAfter,
		Attempt:    FromAttempt(f.Attempt),
		Sidecar:    FromNode(f.Sidecar),
		Usage:      fromUsage(f.Usage),
		Answer:     f.Answer,
		Length:     f.Length,
	}
}

func toFinish(p *peerpb.Finish) core.Finish {
	return core.Finish{
		Outcome:    core.Outcome(p.GetOutcome()),
		Reason:     core.Reason(p.GetReason()),
		RetryAfter: p.GetRetryAfter(),
		Attempt:    ToAttempt(p.GetAttempt()),
		Sidecar:    ToNode(p.GetSidecar()),
		Usage:      toUsage(p.GetUsage()),
		Answer:     p.GetAnswer(),
		Length:     p.GetLength(),
	}
}

func fromLoad(l *core.Load) *peerpb.Load {
	return &peerpb.Load{
		Pool:          string(l.Pool),
		Domain:        string(l.Domain),
		Waiting:       l.Waiting,
		Running:       l.Running,
		Limit:         l.Limit,
		WaitingTokens: l.WaitingTokens,
		CacheTokens:   l.CacheTokens,
		CacheUsed:     l.CacheUsed,
		CachePinned:   l.CachePinned,
		PrefillRate:   l.PrefillRate,
		StepTime:      l.StepTime,
		Draining:      l.Draining,
	}
}

func toLoad(p *peerpb.Load) core.Load {
	return core.Load{
		Pool:          core.Pool(p.GetPool()),
		Domain:        core.Domain(p.GetDomain()),
		Waiting:       p.GetWaiting(),
		Running:       p.GetRunning(),
		Limit:         p.GetLimit(),
		WaitingTokens: p.GetWaitingTokens(),
		CacheTokens:   p.GetCacheTokens(),
		CacheUsed:     p.GetCacheUsed(),
		CachePinned:   p.GetCachePinned(),
		PrefillRate:   p.GetPrefillRate(),
		StepTime:      p.GetStepTime(),
		Draining:      p.GetDraining(),
	}
}
