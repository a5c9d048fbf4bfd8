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
	// maxTries bounds the tries of one call that was refused or cut off.
	maxTries = 4
	// maxOutput is the bound on the answer that callers set; the real length is
	// known to nobody before.
	maxOutput = 1024
	// noHint is the wait before another try when the refusal gave none.
	noHint = 200 * core.Millisecond
)

// run is one measured program.
type run struct {
	id      core.ProgramID
	shape   *Shape
	parent  *run
	arrived core.Instant
	ended   core.Instant
	failed  bool
	turn    int
	tries   int
	blocks  []core.Block
	// left is the work that remains, in tokens, for the clairvoyant run.
	left uint64
	done func()
}

// driver plays the callers of a run.
type driver struct {
	sim   *sim.Sim
	d     *Deployment
	rng   *rand.Rand
	gen   *generator
	live  map[core.ProgramID]*run
	roots []*run
	edge  func(core.ProgramID) core.VM
	rate  float64
	// measured is when the warm-up ends, and until when arrivals end.
	measured   core.Instant
	until      core.Instant
	overloaded bool
	n          int
	refused    int
	calls      int
	prompt     uint64
	fresh      uint64
	cached     uint64
	errors     map[string]int
}

// start begins with the programs of a steady state and lets others arrive.
func (v *driver) start() {
	v.preload()
	v.sim.After(v.gap(), v.arrive)
}

// gap draws the time to the next arrival of a Poisson process.
func (v *driver) gap() core.Duration {
	rate := v.rate
	if v.overloaded && v.sim.Now() < v.measured {
		rate *= overloadWarmUp
	}
	return core.Duration(v.rng.ExpFloat64() / rate * float64(core.Second))
}

func (v *driver) arrive() {
	if v.sim.Now() >= v.until {
		return
	}
	v.launch(v.gen.next())
	v.sim.After(v.gap(), v.arrive)
}

// launch starts a root program.
func (v *driver) launch(s *Shape) {
	v.n++
	r := &run{id: core.ProgramID(fmt.Sprintf("p%d", v.n)), shape: s, arrived: v.sim.Now()}
	v.roots = append(v.roots, r)
	v.begin(r)
}

// begin starts a program with its kind's system prompt.
func (v *driver) begin(r *run) {
	v.live[r.id] = r
	k := findKind(v.d.Kinds, r.shape.Kind)
	r.blocks = []core.Block{{Digest: xxhash.Sum64String("system " + k.Name), Tokens: k.System}}
	for _, t := range r.shape.Turns {
		r.left += uint64(t.Prompt) + outputWeight*uint64(t.Output)
	}
	v.addPrompt(r)
	v.call(r)
}

// outputWeight is the compute of an answer's token in tokens of prompt.
const outputWeight = 7

// addPrompt appends the text before the next call.
func (v *driver) addPrompt(r *run) {
	t := r.shape.Turns[r.turn]
	digest := xxhash.Sum64String(fmt.Sprintf("%x %s %d", r.blocks[len(r.blocks)-1].Digest, r.id, r.turn))
	r.blocks = append(r.blocks, core.Block{Digest: digest, Tokens: t.Prompt})
	r.tries = 0
}

func (v *driver) call(r *run) {
	v.calls++
	call := core.Call{
		Program: r.id, ProgramKind: r.shape.Kind, Seq: uint64(r.turn) + 1, Account: account,
		Kind: core.CallModel, Pool: r.shape.Pool, Stream: true, MaxTokens: maxOutput,
		Blocks: append([]core.Block(nil), r.blocks...), Timeout: callTimeout.Nanoseconds(),
	}
	v.sim.Call(v.edge(r.id), call, func(res *sim.Response) { v.answered(r, res) })
}

func (v *driver) answered(r *run, res *sim.Response) {
	if res.Finish.Outcome != core.OutcomeRan || res.ConnectionLost || res.Answer == nil {
		v.retry(r, res)
		return
	}
	v.account(r, res.Finish.Usage)
	f := res.Answer.Finish
	r.blocks = append(r.blocks, core.Block{Digest: f.Digest, Tokens: f.Usage.OutputTokens})
	t := r.shape.Turns[r.turn]
	r.left -= min(r.left, uint64(t.Prompt)+outputWeight*uint64(t.Output))
	r.turn++
	if r.turn == len(r.shape.Turns) {
		v.finish(r, false)
		return
	}
	if t.Child == nil {
		v.sim.After(t.IdleTime, func() { v.resume(r) })
		return
	}
	child := &run{id: core.ProgramID(fmt.Sprintf("%s/c%d", r.id, r.turn)), shape: t.Child, parent: r, arrived: v.sim.Now()}
	child.done = func() { v.sim.After(t.IdleTime, func() { v.resume(r) }) }
	v.begin(child)
}

func (v *driver) resume(r *run) {
	v.addPrompt(r)
	v.call(r)
}

// account counts the prompt tokens of a call: those sent, those computed, and
// those that were new.
func (v *driver) account(r *run, u core.Usage) {
	v.prompt += uint64(u.PromptTokens)
	v.cached += uint64(u.CachedTokens)
	fresh := r.shape.Turns[r.turn].Prompt
	if r.turn == 0 {
		fresh = u.PromptTokens
	}
	v.fresh += uint64(min(fresh, u.PromptTokens))
}

// retry tries a refused call again when the refusal says, a few times.
func (v *driver) retry(r *run, res *sim.Response) {
	v.refused++
	v.errors[string(res.Finish.Outcome.String())+" "+string(res.Finish.Reason)]++
	r.tries++
	if r.tries >= maxTries {
		v.finish(r, true)
		return
	}
	wait := res.Finish.RetryAfter
	if wait == 0 {
		wait = noHint
	}
	v.sim.After(wait, func() { v.call(r) })
}

// finish ends a program, its parent with it when it failed.
func (v *driver) finish(r *run, failed bool) {
	r.ended = v.sim.Now()
	r.failed = failed
	delete(v.live, r.id)
	v.sim.EndProgram(v.edge(r.id), r.id, account, callTimeout.Nanoseconds(), func(*sim.Response) {})
	switch {
	case r.parent == nil:
	case failed:
		v.finish(r.parent, true)
	default:
		r.done()
	}
}

// output is the length of the answer to a call, which only the engine learns.
func (v *driver) output(c *core.Call) uint32 {
	r := v.live[c.Program]
	if r == nil || r.turn >= len(r.shape.Turns) {
		return 1
	}
	return r.shape.Turns[r.turn].Output
}

// remaining is the work left of a program and of those that wait for it.
func (v *driver) remaining(id core.ProgramID) (uint64, bool) {
	var sum uint64
	for r := v.live[id]; r != nil; r = r.parent {
		sum += r.left
	}
	return sum, sum > 0
}

// underWay reports whether a program that arrived since an instant has not
// ended.
func (v *driver) underWay(since core.Instant) bool {
	for _, r := range v.live {
		if r.arrived >= since {
			return true
		}
	}
	return false
}

// resetCounts forgets what was counted in the warm-up.
func (v *driver) resetCounts() {
	v.refused, v.calls = 0, 0
	v.prompt, v.fresh, v.cached = 0, 0, 0
	v.errors = map[string]int{}
}
