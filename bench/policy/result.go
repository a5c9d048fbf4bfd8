package policy

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// Result is the result of one run.
type Result struct {
	Variant string  `json:"variant"`
	Seed    uint64  `json:"seed"`
	Load    float64 `json:"load"`
	Faults  bool    `json:"faults"`
	// Programs is the number of programs that arrived in the window. Those still
	// in progress at the end are Unfinished, and count in the quantiles with the
	// latency they had reached.
	Programs   int `json:"programs"`
	Finished   int `json:"finished"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`
	// P50, P95 and P99 are quantiles of the latency in seconds of the programs
	// that did not fail.
	P50 float64 `json:"p50_s"`
	P95 float64 `json:"p95_s"`
	P99 float64 `json:"p99_s"`
	// UnloadedP95 is the p95 of the same programs on idle engines without
	// waiting.
	UnloadedP95 float64 `json:"alone_p95_s"`
	// WastedTokenSeconds is the cached tokens times seconds, per second of the
	// run, of prefixes that were evicted before another use. It includes programs
	// in progress and ended programs.
	WastedTokenSeconds float64 `json:"wasted_token_seconds_per_s"`
	// Recomputed is the share of the prompt tokens that had been computed before
	// and were computed again.
	Recomputed float64 `json:"recomputed_share"`
	// Refused counts the attempts that got no answer, and Calls all attempts.
	Refused int `json:"refused_calls"`
	Calls   int `json:"calls"`
	// Goodput is the rate of programs finished within their deadline, per second.
	Goodput float64 `json:"goodput_per_s"`
	Events  uint64  `json:"events"`
	// Errors counts, by outcome and reason, the attempts that got no answer.
	Errors map[string]int `json:"errors,omitempty"`
}

func (c *cluster) waste() engine.Waste {
	var sum engine.Waste
	for _, e := range c.engines {
		w := e.Model().Waste()
		sum.EvictedTokens += w.EvictedTokens
		sum.RecomputedTokens += w.RecomputedTokens
		sum.PreemptedTokens += w.PreemptedTokens
		sum.IdleTokenSeconds += w.IdleTokenSeconds
		sum.ReusedTokenSeconds += w.ReusedTokenSeconds
		sum.ReusedTokens += w.ReusedTokens
	}
	return sum
}

func (c *cluster) result(from core.Instant, before, after engine.Waste) Result {
	v := c.driver
	r := Result{
		Variant: c.spec.Variant.Name, Seed: c.spec.Seed, Load: c.spec.Load, Faults: c.spec.Faults,
		Refused: v.refused, Calls: v.calls, Events: c.sim.Events(), Errors: v.errors,
	}
	r.WastedTokenSeconds = (after.IdleTokenSeconds - before.IdleTokenSeconds) / seconds(c.spec.Deployment.Window)
	computed := v.promptTokens - v.cachedTokens
	if v.promptTokens > 0 && computed > v.newTokens {
		r.Recomputed = float64(computed-v.newTokens) / float64(v.promptTokens)
	}
	c.latencies(&r, from)
	return r
}

func (c *cluster) latencies(r *Result, from core.Instant) {
	var all, unloaded []float64
	good := 0
	for _, p := range c.driver.roots {
		if p.arrived < from {
			continue
		}
		r.Programs++
		unloaded = append(unloaded, addDemand(map[core.Pool]*demand{}, c.spec.Deployment, p.shape))
		if p.failed {
			r.Failed++
			continue
		}
		end := p.ended
		if end == 0 {
			r.Unfinished++
			end = c.sim.Now()
		} else {
			r.Finished++
		}
		latency := end.Sub(p.arrived)
		all = append(all, seconds(latency))
		if p.ended != 0 && latency <= c.spec.Deployment.Deadline[p.shape.Kind] {
			good++
		}
	}
	r.P50, r.P95, r.P99 = quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99)
	r.UnloadedP95 = quantile(unloaded, 0.95)
	r.Goodput = float64(good) / seconds(c.spec.Deployment.Window)
}

func seconds(d core.Duration) float64 { return float64(d) / float64(core.Second) }

// quantile returns the q-quantile of the values, which it sorts in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := int(q * float64(len(values)))
	return values[min(i, len(values)-1)]
}
