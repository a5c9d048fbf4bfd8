package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

const (
	// callTimeout bounds one call.
	callTimeout = 2 * time.Minute
	// maxAttempts bounds the attempts of one call that was refused or lost.
	maxAttempts = 4
	// maxOutput is the limit on the answer that callers set. The actual length
	// isn't known before the answer is complete.
	maxOutput = 1024
	// defaultRetryDelay is the delay before a retry if the response gave none.
	defaultRetryDelay = 200 * core.Millisecond
)

// programRun is one simulated program.
type programRun struct {
	id       core.ProgramID
	shape    *Shape
	parent   *programRun
	arrived  core.Instant
	ended    core.Instant
	failed   bool
	turn     int
	attempts int
	blocks   []core.Block
	// remaining is the remaining work in weighted tokens, for the clairvoyant run.
	remaining  uint64
	onFinished func()
}

// driver simulates the callers of a run.
type driver struct {
	sim        *sim.Sim
	deployment *Deployment
	rng        *rand.Rand
	gen        *generator
	running    map[core.ProgramID]*programRun
	roots      []*programRun
	ingress    func(core.ProgramID) core.VM
	rate       float64
	// measureFrom is when the warm-up ends, and arrivalsUntil when arrivals end.
	measureFrom   core.Instant
	arrivalsUntil core.Instant
	overloaded    bool
	started       int
	refused       int
	calls         int
	promptTokens  uint64
	newTokens     uint64
	cachedTokens  uint64
	errors        map[string]int
}

// start starts the programs of a steady state and the arrivals.
func (v *driver) start() {
	v.startSteadyState()
	v.sim.After(v.interarrivalTime(), v.arrive)
}

// interarrivalTime draws the time to the next arrival of a Poisson process.
func (v *driver) interarrivalTime() core.Duration {
	rate := v.rate
	if v.overloaded && v.sim.Now() < v.measureFrom {
		rate *= overloadWarmUp
	}
	return core.Duration(v.rng.ExpFloat64() / rate * float64(core.Second))
}

func (v *driver) arrive() {
	if v.sim.Now() >= v.arrivalsUntil {
		return
	}
	v.startRoot(v.gen.next())
	v.sim.After(v.interarrivalTime(), v.arrive)
}

// startRoot starts a program that is not a sub-agent.
func (v *driver) startRoot(s *Shape) {
	v.started++
	r := &programRun{id: core.ProgramID(fmt.Sprintf("p%d", v.started)), shape: s, arrived: v.sim.Now()}
	v.roots = append(v.roots, r)
	v.startProgram(r)
}

// startProgram starts a program with its kind's system prompt.
func (v *driver) startProgram(r *programRun) {
	v.running[r.id] = r
	k := findKind(v.deployment.Kinds, r.shape.Kind)
	r.blocks = []core.Block{{Digest: xxhash.Sum64String("system " + k.Name), Tokens: k.SystemPrompt}}
	for _, t := range r.shape.Turns {
		r.remaining += uint64(t.Prompt) + outputWeight*uint64(t.Output)
	}
	v.addPrompt(r)
	v.call(r)
}

// outputWeight is the compute of an output token relative to a prompt token.
const outputWeight = 7

// addPrompt appends the text that precedes the next call.
func (v *driver) addPrompt(r *programRun) {
	t := r.shape.Turns[r.turn]
	digest := xxhash.Sum64String(fmt.Sprintf("%x %s %d", r.blocks[len(r.blocks)-1].Digest, r.id, r.turn))
	r.blocks = append(r.blocks, core.Block{Digest: digest, Tokens: t.Prompt})
	r.attempts = 0
}

func (v *driver) call(r *programRun) {
	v.calls++
	call := core.Call{
		Program: r.id, ProgramKind: r.shape.Kind, Seq: uint64(r.turn) + 1, Account: account,
		Kind: core.CallModel, Pool: r.shape.Pool, Stream: true, MaxTokens: maxOutput,
		Blocks: append([]core.Block(nil), r.blocks...), Timeout: callTimeout.Nanoseconds(),
	}
	v.sim.Call(v.ingress(r.id), call, func(res *sim.Response) { v.handleResponse(r, res) })
}

func (v *driver) handleResponse(r *programRun, res *sim.Response) {
	if res.Finish.Outcome != core.OutcomeRan || res.ConnectionLost || res.Answer == nil {
		v.retry(r, res)
		return
	}
	v.countUsage(r, res.Finish.Usage)
	f := res.Answer.Finish
	r.blocks = append(r.blocks, core.Block{Digest: f.Digest, Tokens: f.Usage.OutputTokens})
	t := r.shape.Turns[r.turn]
	r.remaining -= min(r.remaining, uint64(t.Prompt)+outputWeight*uint64(t.Output))
	r.turn++
	if r.turn == len(r.shape.Turns) {
		v.finish(r, false)
		return
	}
	if t.Child == nil {
		v.sim.After(t.IdleTime, func() { v.continueProgram(r) })
		return
	}
	child := &programRun{id: core.ProgramID(fmt.Sprintf("%s/c%d", r.id, r.turn)), shape: t.Child, parent: r, arrived: v.sim.Now()}
	child.onFinished = func() { v.sim.After(t.IdleTime, func() { v.continueProgram(r) }) }
	v.startProgram(child)
}

func (v *driver) continueProgram(r *programRun) {
	v.addPrompt(r)
	v.call(r)
}

// countUsage counts the prompt tokens of a call: all, the cached ones, and the ones
// that were new in this turn.
func (v *driver) countUsage(r *programRun, u core.Usage) {
	v.promptTokens += uint64(u.PromptTokens)
	v.cachedTokens += uint64(u.CachedTokens)
	newInTurn := r.shape.Turns[r.turn].Prompt
	if r.turn == 0 {
		newInTurn = u.PromptTokens
	}
	v.newTokens += uint64(min(newInTurn, u.PromptTokens))
}

// retry sends a call that got no answer again, after the delay that the
// response gives. It stops after maxAttempts attempts.
func (v *driver) retry(r *programRun, res *sim.Response) {
	v.refused++
	v.errors[string(res.Finish.Outcome.String())+" "+string(res.Finish.Reason)]++
	r.attempts++
	if r.attempts >= maxAttempts {
		v.finish(r, true)
		return
	}
	wait := res.Finish.RetryAfter
	if wait == 0 {
		wait = defaultRetryDelay
	}
	v.sim.After(wait, func() { v.call(r) })
}

// finish ends a program. If it failed, its parent fails too.
func (v *driver) finish(r *programRun, failed bool) {
	r.ended = v.sim.Now()
	r.failed = failed
	delete(v.running, r.id)
	v.sim.EndProgram(v.ingress(r.id), r.id, account, callTimeout.Nanoseconds(), func(*sim.Response) {})
	switch {
	case r.parent == nil:
	case failed:
		v.finish(r.parent, true)
	default:
		r.onFinished()
	}
}

// outputTokens returns the length of the answer to a call in tokens. Only the
// engine receives it.
func (v *driver) outputTokens(c *core.Call) uint32 {
	r := v.running[c.Program]
	if r == nil || r.turn >= len(r.shape.Turns) {
		return 1
	}
	return r.shape.Turns[r.turn].Output
}

// remainingWork returns the remaining work of a program and of the parents that
// wait for it, and false if there is none.
func (v *driver) remainingWork(id core.ProgramID) (uint64, bool) {
	var sum uint64
	for r := v.running[id]; r != nil; r = r.parent {
		sum += r.remaining
	}
	return sum, sum > 0
}

// hasUnfinished reports whether any program that arrived at or after an instant
// is still running.
func (v *driver) hasUnfinished(since core.Instant) bool {
	for _, r := range v.running {
		if r.arrived >= since {
			return true
		}
	}
	return false
}

// resetCounts resets the counts at the end of the warm-up.
func (v *driver) resetCounts() {
	v.refused, v.calls = 0, 0
	v.promptTokens, v.newTokens, v.cachedTokens = 0, 0, 0
	v.errors = map[string]int{}
}
