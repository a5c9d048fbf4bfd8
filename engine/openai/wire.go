// Package openai implements engine.Target for model engines with the chat
// completions API. In addition to POST /v1/chat/completions it uses these paths:
//
//	GET  /engine/responses/{attempt}?offset=N   the answer from byte N of its body;
//	                                            202 while an answer that is not
//	                                            streamed is incomplete
//	POST /engine/responses/{attempt}/cancel     stops an attempt
//	GET  /engine/load                           WireLoad
//	GET  /engine/cache                          engine.Listing
//	GET  /engine/cache/events?after=N           a line with a WireEvent for each cache
//	                                            event; empty lines are keep-alives
//	POST /engine/cache/release                  WireRelease
//	POST /engine/kv/export                      WireBlocks in, engine.KV out
//	POST /engine/kv/import                      engine.KV in, WireImported out
//	POST /engine/orders                         engine.Command; 409 if its fence is stale
//
// A request to execute an attempt has its ID in engine.HeaderAttempt and its fencing
// token in engine.HeaderFence. A streamed answer may contain events without data that
// keep the connection alive; offsets do not count them. The HTTP trailer TrailerUsage
// follows the body of an answer.
package openai

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TrailerUsage is the HTTP trailer with the usage of an answer, as formatted by
// FormatUsage.
const TrailerUsage = "X-Usage"

// Paths of the engine.
const (
	PathChat      = "/v1/chat/completions"
	PathModels    = "/v1/models"
	PathResponses = "/engine/responses/"
	PathLoad      = "/engine/load"
	PathCache     = "/engine/cache"
	PathEvents    = "/engine/cache/events"
	PathRelease   = "/engine/cache/release"
	PathExport    = "/engine/kv/export"
	PathImport    = "/engine/kv/import"
	PathCommands  = "/engine/orders"
)

// WireLoad is the JSON form of an engine's load report.
type WireLoad struct {
	Running     uint32        `json:"running"`
	Waiting     uint32        `json:"waiting"`
	CacheTokens uint64        `json:"cache_tokens"`
	CacheUsed   uint64        `json:"cache_used"`
	PrefillRate uint64        `json:"prefill_tokens_per_second"`
	StepTime    core.Duration `json:"step_nanoseconds"`
}

// Core converts the load report. Jobs that are queued inside the engine count as
// running.
func (w WireLoad) Core() core.TargetLoad {
	return core.TargetLoad{
		Running:     w.Running + w.Waiting,
		CacheTokens: w.CacheTokens,
		CacheUsed:   w.CacheUsed,
		PrefillRate: w.PrefillRate,
		StepTime:    w.StepTime,
	}
}

// WireEvent is the JSON form of a cache event.
type WireEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// WireRelease lists the digests of blocks to drop from the prefix cache.
type WireRelease struct {
	Digests []uint64 `json:"digests"`
}

// WireBlocks identifies a prefix of a conversation by its blocks.
type WireBlocks struct {
	Blocks []core.Block `json:"blocks"`
}

// WireImported is the response to an import: the number of tokens newly
// stored.
type WireImported struct {
	Tokens uint64 `json:"tokens"`
}

// FormatUsage returns the value of TrailerUsage.
func FormatUsage(u core.Usage) string {
	return fmt.Sprintf("prompt=%d cached=%d output=%d", u.PromptTokens, u.CachedTokens, u.OutputTokens)
}

// ParseUsage parses the value of TrailerUsage.
func ParseUsage(s string) (u core.Usage, err error) {
	_, err = fmt.Sscanf(s, "prompt=%d cached=%d output=%d", &u.PromptTokens, &u.CachedTokens, &u.OutputTokens)
	return u, err
}
