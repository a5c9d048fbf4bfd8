// Package retry limits the retries of idempotent calls: a budget that is a
// ratio of the calls made, and a wait with full jitter before each retry.
package retry

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	defaultRatio   = 0.1
	defaultBurst   = 10
	defaultBackoff = 20 * core.Millisecond
	// maxDoublings bounds the growth of the wait.
	maxDoublings = 8
)

// Budget is a token bucket that calls fill and retries empty, so that retries
// stay a share of the calls however many fail. It is not safe for concurrent
// use.
type Budget struct {
	ratio   float64
	burst   float64
	backoff core.Duration
	tokens  float64
}

// New returns a full budget with the limits of a pool.
func New(cfg config.Retry) *Budget {
	b := &Budget{ratio: cfg.Ratio, burst: float64(cfg.Burst), backoff: cfg.Backoff.Nanos()}
	if b.ratio <= 0 {
		b.ratio = defaultRatio
	}
	if b.burst <= 0 {
		b.burst = defaultBurst
	}
	if b.backoff <= 0 {
		b.backoff = defaultBackoff
	}
	b.tokens = b.burst
	return b
}

// Deposit adds the share of one first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Withdraw takes one retry and reports whether the budget allows it.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time to wait before a retry: uniform between zero and a
// bound that doubles with every retry, and never beyond the remaining time of
// the call.
func (b *Budget) Wait(retries int, remaining core.Duration, rng *rand.Rand) core.Duration {
	bound := b.backoff << min(max(retries, 0), maxDoublings)
	bound = min(bound, remaining)
	if bound <= 0 {
		return 0
	}
	return rng.Int64N(bound)
}
