// Package retry limits the retries of idempotent calls: a budget bounds them to a share
// of the calls, and exponential backoff with full jitter delays each of them.
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
	// maxDoublings is how often the backoff can double.
	maxDoublings = 8
)

// Budget is a token bucket that first attempts fill and retries drain, so that the
// retries stay a limited share of the calls however many fail. It is not safe for
// concurrent use.
type Budget struct {
	ratio   float64
	burst   float64
	backoff core.Duration
	tokens  float64
}

// New returns a full budget with a pool's settings.
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

// Deposit adds the retry share of one first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Withdraw reports whether the budget allows a retry, and if so deducts it.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time to wait before a retry: uniformly distributed between zero and
// a bound that doubles with each retry and never exceeds the call's remaining time.
func (b *Budget) Wait(retries int, remaining core.Duration, rng *rand.Rand) core.Duration {
	bound := b.backoff << min(max(retries, 0), maxDoublings)
	bound = min(bound, remaining)
	if bound <= 0 {
		return 0
	}
	return rng.Int64N(bound)
}
