// Package openai is the adapter for model engines that speak the chat
// completions API. Beside POST /v1/chat/completions it uses these paths:
//
//	GET  /engine/responses/{attempt}?offset=N   the answer from byte N of its body;
//	                                            202 while a plain one is not whole
//	POST /engine/responses/{attempt}/cancel     stop an attempt
//	GET  /engine/load                           WireLoad
//	GET  /engine/cache                          engine.Listing
//	GET  /engine/cache/events?after=N           a line with a WireEvent for each cache
//	                                            event; empty lines keep it alive
//	POST /engine/cache/release                  WireRelease
//	POST /engine/kv/export                      WireBlocks in, engine.KV out
//	POST /engine/kv/import                      engine.KV in, WireImported out
//	POST /engine/orders                         engine.Order; 409 if its fence is old
//
// A request carries its attempt in engine.HeaderAttempt and its fencing number in
// engine.HeaderFence. A streamed answer may contain events without data that keep the
// connection alive; they do not count in offsets. TrailerUsage follows a body.
package openai

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// TrailerUsage holds the usage of an answer as FormatUsage writes it.
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
	PathOrders    = "/engine/orders"
)

// WireLoad is the JSON form of a load report.
type WireLoad struct {
	Running     uint32        `json:"running"`
	Waiting     uint32        `json:"waiting"`
	CacheTokens uint64        `json:"cache_tokens"`
	CacheUsed   uint64        `json:"cache_used"`
	PrefillRate uint64        `json:"prefill_tokens_per_second"`
	StepTime    core.Duration `json:"step_nanoseconds"`
}

// Core returns the load report as the reducers take it. Jobs that wait inside
// of the engine count as running.
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

// WireRelease names blocks to drop.
type WireRelease struct {
	Digests []uint64 `json:"digests"`
}

// WireBlocks names the prefix of a conversation.
type WireBlocks struct {
	Blocks []core.Block `json:"blocks"`
}

// WireImported answers an import.
type WireImported struct {
	Tokens uint64 `json:"tokens"`
}

// FormatUsage returns the value of TrailerUsage.
func FormatUsage(u core.Usage) string {
	return fmt.Sprintf("prompt=%d cached=%d output=%d", u.PromptTokens, u.CachedTokens, u.OutputTokens)
}

// ParseUsage reads the value of TrailerUsage.
func ParseUsage(s string) (u core.Usage, err error) {
	_, err = fmt.Sscanf(s, "prompt=%d cached=%d output=%d", &u.PromptTokens, &u.CachedTokens, &u.OutputTokens)
	return u, err
}
