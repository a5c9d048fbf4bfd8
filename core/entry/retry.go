package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retry"
)

// scheduleRetry sets the time of a call's next attempt. It reports false if the
// retry budget of its pool and account allows none.
func (e *Entry) scheduleRetry(c *openCall) bool {
	b := e.retryBudget(c.call)
	if !b.Withdraw() {
		return false
	}
	c.retryAt = e.now.Add(b.Wait(c.retries, c.deadline.Sub(e.now), e.rng))
	c.retries++
	return true
}

func (e *Entry) retryBudget(call *core.Call) *retry.Budget {
	k := retryKey{call.Pool, call.Account}
	if b := e.retryBudgets[k]; b != nil {
		return b
	}
	var cfg config.Retry
	if p := e.set.Pool(string(call.Pool)); p != nil {
		cfg = p.Retry
	}
	b := retry.New(cfg)
	e.retryBudgets[k] = b
	return b
}
