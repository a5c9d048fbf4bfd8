package place

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// defaultPrefillRate is assumed for a target that has not reported its load yet,
	// in tokens per second.
	defaultPrefillRate = 10_000
	// defaultStepTime is assumed for a target that has not reported its load yet.
	defaultStepTime = 5 * core.Millisecond
	// remoteCost is the cost of a target in another failure domain: a network round
	// trip.
	remoteCost = 2 * core.Millisecond
	// defaultWeight is the weight if the settings contain none. It is above one
	// because a prefill slows all calls of the batch.
	defaultWeight = 16
	// moveFactor is the cost of a token that is recomputed because the program moves
	// to another target, relative to the cost of a token evicted there. It is above
	// one because the old copy stays in the cache unused, and because the program
	// must be admitted again.
	moveFactor = 3
	// assumedSteps is the assumed length of a call, in decode steps.
	assumedSteps = 100
)

// cost chooses the target with the lowest expected delay. The delay is the wait at
// the target plus the time to recompute tokens that are not cached.
type cost struct {
	// weight is the factor by which time for recomputing tokens counts more than
	// time spent waiting.
	weight float64
}

func newCost(cfg config.Policy) cost {
	if cfg.CacheWeight > 0 {
		return cost{weight: cfg.CacheWeight}
	}
	return cost{weight: defaultWeight}
}

// Choose returns the target with the lowest estimate. Ties are broken at random, so
// that entries with the same load reports don't all choose the same target.
func (p cost) Choose(req Request, targets []Target, rng *rand.Rand) (int, core.Duration) {
	best, lowest, ties := 0, core.Duration(0), 0
	for i := range targets {
		c := p.estimate(&req, &targets[i])
		if ties == 0 || c < lowest {
			best, lowest, ties = i, c, 1
			continue
		}
		if c > lowest {
			continue
		}
		ties++
		if rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best, lowest
}

// estimate returns the expected delay of a call at a target.
func (p cost) estimate(req *Request, t *Target) core.Duration {
	total := prefillTime(t, newTokens(req)) + queueTime(t) + batchDelay(req, t)
	recompute := float64(prefillTime(t, moveFactor*movedTokens(req, t)+evictedTokens(req, t)))
	total += core.Duration(p.weight * recompute)
	if !t.SameDomain {
		total += remoteCost
	}
	return total
}

// newTokens returns the number of prompt tokens that no earlier call of the
// program has computed.
func newTokens(req *Request) uint64 {
	return uint64(req.PromptTokens - min(req.LastTokens, req.PromptTokens))
}

// movedTokens returns how many tokens would have to be recomputed because the call
// moves away from the target that has them cached.
func movedTokens(req *Request, t *Target) uint64 {
	if req.LastTarget.IsZero() || hasConversation(req, t) {
		return 0
	}
	return uint64(min(req.LastTokens, req.PromptTokens))
}

// hasConversation reports whether the target served the program's last model call and
// so should have the conversation cached. A restart of the sidecar doesn't affect the
// engine's cache, so VMs are compared rather than incarnations.
func hasConversation(req *Request, t *Target) bool { return t.Node.VM == req.LastTarget.VM }

// evictedTokens returns how many tokens of other programs the call would evict from
// the target's cache. They will have to be recomputed.
func evictedTokens(req *Request, t *Target) uint64 {
	if t.Load.CacheTokens == 0 || hasConversation(req, t) {
		return 0
	}
	need := t.Load.CachePinned + t.TokensSinceReport + uint64(req.PromptTokens) + uint64(req.MaxTokens)
	if need <= t.Load.CacheTokens {
		return 0
	}
	return need - t.Load.CacheTokens
}

// queueTime returns the expected wait until the call joins the target's batch.
func queueTime(t *Target) core.Duration {
	if t.Load.Limit == 0 || outstanding(t) < t.Load.Limit {
		return 0
	}
	ahead := core.Duration(outstanding(t) - t.Load.Limit + 1)
	serviceTime := assumedSteps * stepTime(t) / core.Duration(t.Load.Limit)
	return ahead*serviceTime + prefillTime(t, t.TokensSinceReport)
}

// batchDelay returns how much longer the call's decode steps take in the target's
// current batch than in a batch of one.
func batchDelay(req *Request, t *Target) core.Duration {
	if t.Load.Limit == 0 {
		return 0
	}
	steps := min(core.Duration(req.MaxTokens), assumedSteps)
	share := min(outstanding(t), t.Load.Limit)
	return steps * stepTime(t) * core.Duration(share) / core.Duration(4*t.Load.Limit)
}

// prefillTime returns the time that the target takes to compute a number of tokens.
func prefillTime(t *Target, tokens uint64) core.Duration {
	rate := t.Load.PrefillRate
	if rate == 0 {
		rate = defaultPrefillRate
	}
	return core.Duration(float64(tokens) / float64(rate) * float64(core.Second))
}

// stepTime returns the time of a decode step at the target.
func stepTime(t *Target) core.Duration {
	if t.Load.StepTime == 0 {
		return defaultStepTime
	}
	return t.Load.StepTime
}
