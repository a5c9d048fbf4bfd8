package place

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// defaultPrefillRate is assumed of a target that has not reported, in tokens
	// a second.
	defaultPrefillRate = 10_000
	// defaultStepTime is assumed of a target that has not reported.
	defaultStepTime = 5 * core.Millisecond
	// remoteCost is what leaving the entry's failure domain costs a call: a
	// network round trip.
	remoteCost = 2 * core.Millisecond
	// defaultWeight counts a token that is computed again for more than its own
	// time, because its prefill slows the whole batch.
	defaultWeight = 16
	// moveFactor counts the tokens lost by a move over those pushed out: the copy
	// left behind stays idle, and the program has to be admitted anew.
	moveFactor = 3
	// serviceSteps is the assumed length of a call in decode steps while
	// nothing better is known.
	serviceSteps = 100
)

// cost weighs the prefix that a target has cached against the wait before it,
// in one estimate of time.
type cost struct {
	// weight scales the time of recomputing tokens against time of waiting.
	weight float64
}

func newCost(cfg config.Policy) cost {
	if cfg.CacheWeight > 0 {
		return cost{weight: cfg.CacheWeight}
	}
	return cost{weight: defaultWeight}
}

// Choose returns the target with the lowest estimate; ties are broken at
// random, so that entries with the same view do not all choose the same target.
func (p cost) Choose(req Request, targets []Target, rng *rand.Rand) (int, core.Duration) {
	best, low, ties := 0, core.Duration(0), 0
	for i := range targets {
		c := p.estimate(&req, &targets[i])
		if ties == 0 || c < low {
			best, low, ties = i, c, 1
			continue
		}
		if c > low {
			continue
		}
		ties++
		if rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best, low
}

// estimate returns the expected delay of a call at a target.
func (p cost) estimate(req *Request, t *Target) core.Duration {
	total := prefillTime(t, freshTokens(req)) + queueTime(t) + batchTime(req, t)
	again := float64(prefillTime(t, moveFactor*lostTokens(req, t)+overflow(req, t)))
	total += core.Duration(p.weight * again)
	if !t.Local {
		total += remoteCost
	}
	return total
}

// freshTokens returns the prompt tokens that no target has computed.
func freshTokens(req *Request) uint64 {
	return uint64(req.PromptTokens - min(req.LastTokens, req.PromptTokens))
}

// lostTokens returns the tokens that would be computed again because the call
// leaves the target that has them cached.
func lostTokens(req *Request, t *Target) uint64 {
	if req.LastTarget.IsZero() || cached(req, t) {
		return 0
	}
	return uint64(min(req.LastTokens, req.PromptTokens))
}

// cached reports whether the target has the conversation. A restart of the
// sidecar leaves the engine's cache as it was, so the VM decides, not the life.
func cached(req *Request, t *Target) bool { return t.Node.VM == req.LastTarget.VM }

// overflow returns the tokens of other programs that the call would push out
// of the target's cache; they will be computed again.
func overflow(req *Request, t *Target) uint64 {
	if t.Load.CacheTokens == 0 || cached(req, t) {
		return 0
	}
	need := t.Load.CachePinned + t.OwnTokens + uint64(req.PromptTokens) + uint64(req.MaxTokens)
	if need <= t.Load.CacheTokens {
		return 0
	}
	return need - t.Load.CacheTokens
}

// queueTime returns the expected wait for a place in the target's batch.
func queueTime(t *Target) core.Duration {
	if t.Load.Limit == 0 || outstanding(t) < t.Load.Limit {
		return 0
	}
	ahead := core.Duration(outstanding(t) - t.Load.Limit + 1)
	service := serviceSteps * stepTime(t) / core.Duration(t.Load.Limit)
	return ahead*service + prefillTime(t, t.OwnTokens)
}

// batchTime returns the time that the call's decode steps take longer in the
// target's present batch than alone.
func batchTime(req *Request, t *Target) core.Duration {
	if t.Load.Limit == 0 {
		return 0
	}
	steps := min(core.Duration(req.MaxTokens), serviceSteps)
	share := min(outstanding(t), t.Load.Limit)
	return steps * stepTime(t) * core.Duration(share) / core.Duration(4*t.Load.Limit)
}

// prefillTime returns the time that the target computes a number of tokens in.
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
