package soak

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// Behaviour of the callers.
const (
	callTimeout = 15 * core.Second
	endTimeout  = 10 * core.Second
	// maxTries bounds the tries of one call, patientTries those of an honest
	// caller, and maxEnds those of a program's end.
	maxTries     = 12
	patientTries = 100
	maxEnds      = 30
	backoff      = 300 * core.Millisecond
	pause        = 400 * core.Millisecond

	systemPrompt = 400
	maxQuestion  = 300
	maxOutput    = 120
)

// Probabilities of what a program does next and of its caller's mistakes.
const (
	toolShare      = 0.4
	bookingShare   = 0.6
	subAgentShare  = 0.06
	loopShare      = 0.05
	repeatShare    = 0.03
	goneShare      = 0.01
	staleShare     = 0.03
	foreignShare   = 0.03
	keyReuseShare  = 0.1
	oldRepeatShare = 0.1
)

// program is one agent program and its caller.
type program struct {
	h       *Cluster
	id      core.ProgramID
	account core.Account
	budget  uint64
	seq     uint64
	turns   int
	loop    bool
	blocks  []core.Block
	// answered holds the length of the conversation before each answer.
	answered []int
	// sure says that the caller was given the answer of the call before.
	sure bool
	// reset makes the next model call replace the recorded conversation, since
	// the caller does not know an answer that the record may contain.
	reset   bool
	tries   int
	ends    int
	subs    int
	booking core.Call
	done    func()
}

// startProgram begins a root program.
func (h *Cluster) startProgram() {
	h.programs++
	h.underWay++
	rng := h.sim.Rand()
	p := &program{
		h:       h,
		id:      core.ProgramID(fmt.Sprintf("p%d", h.programs)),
		account: accounts[rng.IntN(len(accounts))],
		budget:  2_000 + rng.Uint64N(programLimit-2_000),
		turns:   1 + rng.IntN(6),
		loop:    rng.Float64() < loopShare,
	}
	if h.opts.NoCallerErrors {
		p.account, p.budget, p.loop = accounts[0], programLimit, false
	}
	if p.loop {
		h.faults[ProgramLooping]++
	}
	p.done = func() { h.underWay-- }
	h.obs.begin(p.id, p.budget)
	p.ask(systemPrompt)
	p.turn()
}

// sub starts a sub-agent on the budget of the root; done runs at its end.
func (p *program) sub(done func()) {
	p.subs++
	s := &program{
		h:       p.h,
		id:      core.ProgramID(fmt.Sprintf("%s/s%d", p.id, p.subs)),
		account: p.account,
		turns:   1 + p.h.sim.Rand().IntN(2),
		done:    done,
	}
	p.h.obs.begin(s.id, 0)
	s.ask(systemPrompt)
	s.turn()
}

// ask adds a message of the user to the conversation.
func (p *program) ask(tokens uint32) {
	var last uint64
	if n := len(p.blocks); n > 0 {
		last = p.blocks[n-1].Digest
	}
	digest := xxhash.Sum64String(fmt.Sprintf("%s %d %d", p.id, last, len(p.blocks)))
	p.blocks = append(slices.Clip(p.blocks), core.Block{Digest: digest, Tokens: tokens})
}

// turn makes the next model call.
func (p *program) turn() {
	p.seq++
	p.tries = 0
	p.model()
}

func (p *program) model() {
	c := p.newCall(core.CallModel, modelPool)
	c.MaxTokens = maxOutput
	c.Blocks = p.blocks
	c.ResetHistory = p.reset
	c.Stream = true
	honest := !p.mistake(&c)
	c.Body = strconv.AppendUint(nil, c.Blocks[len(c.Blocks)-1].Digest, 16)
	p.send(c, honest, p.answeredModel)
}

func (p *program) newCall(kind core.CallKind, pool core.Pool) core.Call {
	c := core.Call{
		Program:     p.id,
		ProgramKind: agentKind,
		Seq:         p.seq,
		Account:     p.account,
		Kind:        kind,
		Pool:        pool,
		Timeout:     callTimeout,
		Method:      "POST",
		Path:        "/" + string(pool),
	}
	if p.seq == 1 {
		c.Budget = p.budget
	}
	return c
}

// send passes a call to an edge and sometimes repeats it at another one, or
// leaves before the answer. Honest says that the caller made no mistake.
func (p *program) send(c core.Call, honest bool, on func(*sim.Response)) {
	p.tries++
	if honest && p.sure && p.tries == 1 && !p.reset {
		p.h.obs.expected[p.h.tags+1] = true
	}
	p.submit(c, on)
	rng := p.h.sim.Rand()
	if rng.Float64() < p.h.opts.DuplicateShare {
		p.h.faults[CallRepeated]++
		again := c
		p.h.sim.After(rng.Int64N(50*core.Millisecond), func() { p.submit(again, ignore) })
	}
}

func ignore(*sim.Response) {}

// submit sends one request, tagged with its number, to some edge.
func (p *program) submit(c core.Call, on func(*sim.Response)) {
	h := p.h
	h.tags++
	c.ContentType = tag(h.tags)
	if h.sim.Rand().Float64() < goneShare && !h.opts.NoCallerErrors {
		h.faults[CallerDisconnected]++
		c.Timeout = core.Duration(h.sim.Rand().Int64N(100 * core.Millisecond))
	}
	h.obs.sent(&c)
	h.sim.Call(h.edge(), c, on)
}

// edge chooses an entry as the balancer does: one that takes connections, but
// for the odd one that has died since.
func (h *Cluster) edge() core.VM {
	var up []core.VM
	for _, n := range h.sim.Nodes() {
		if n.Role() == core.RoleEntry && !n.Removed() && n.Running() && !h.inject.draining[n] {
			up = append(up, n.ID().VM)
		}
	}
	if len(up) == 0 {
		return ""
	}
	return up[h.sim.Rand().IntN(len(up))]
}

// answeredModel takes the response to a model call.
func (p *program) answeredModel(r *sim.Response) {
	lost := r.AnswerLost && p.tries > 1
	if !lost && p.again(r, p.model) {
		return
	}
	own := r.Answer != nil && r.Answer.Call.Program == p.id && r.Answer.Call.Seq == p.seq
	if r.Finish.Outcome != core.OutcomeRan || !own {
		p.afterUnknown(r)
		return
	}
	p.reset, p.sure = false, true
	f := r.Answer.Finish
	blocks := append(slices.Clip(slices.Clone(r.Answer.Call.Blocks)), core.Block{Digest: f.Digest, Tokens: f.Usage.OutputTokens})
	p.h.obs.acknowledge(p.id, blocks)
	p.answered = append(p.answered, len(r.Answer.Call.Blocks))
	p.blocks = blocks
	p.ask(1 + p.h.sim.Rand().Uint32N(maxQuestion))
	p.turns--
	p.step()
}

// again repeats a call that was refused or cut off, and reports whether the
// response is settled by that.
func (p *program) again(r *sim.Response, call func()) bool {
	if !r.ConnectionLost && !r.AnswerLost && r.Finish.Outcome == core.OutcomeUnknown {
		return p.askAgain(call)
	}
	if !r.ConnectionLost && !r.AnswerLost && r.Finish.Outcome != core.OutcomeNotRun {
		return false
	}
	if !r.ConnectionLost && !r.AnswerLost && !temporary(r.Finish.Reason) || p.tries >= p.h.maxTries() {
		p.end()
		return true
	}
	wait := max(r.Finish.RetryAfter, backoff)
	p.h.sim.After(wait+p.h.sim.Rand().Int64N(wait), call)
	return true
}

// askAgain repeats a call of unknown outcome once: its record may know more by
// now, and one that never began runs.
func (p *program) askAgain(call func()) bool {
	if p.tries > 1 {
		return false
	}
	p.h.sim.After(backoff+p.h.sim.Rand().Int64N(backoff), call)
	return true
}

func (h *Cluster) maxTries() int {
	if h.opts.NoCallerErrors {
		return patientTries
	}
	return maxTries
}

// temporary reports whether a refusal may pass.
func temporary(r core.Reason) bool {
	switch r {
	case core.ReasonBudgetExhausted, core.ReasonLimitExceeded, core.ReasonProgramEnded, core.ReasonMemoryLost, core.ReasonUnauthorized:
		return false
	}
	return true
}

// afterUnknown goes on after a call of unknown outcome with the next call.
func (p *program) afterUnknown(r *sim.Response) {
	switch r.Finish.Reason {
	case core.ReasonProgramEnded, core.ReasonMemoryLost, core.ReasonLimitExceeded:
		p.end()
		return
	}
	p.reset, p.sure = true, false
	p.turns--
	p.step()
}

// step chooses what the program does after an answer.
func (p *program) step() {
	rng := p.h.sim.Rand()
	if p.turns <= 0 && !p.loop {
		p.end()
		return
	}
	wait := core.Duration(rng.ExpFloat64() * float64(pause))
	switch r := rng.Float64(); {
	case r < toolShare:
		p.h.sim.After(wait, p.tool)
	case r < toolShare+subAgentShare && p.id.Depth() < maxDepth && !p.loop:
		p.h.sim.After(wait, func() { p.sub(p.turn) })
	default:
		p.h.sim.After(wait, p.turn)
	}
}

// tool makes the next tool call; a booking must not be repeated.
func (p *program) tool() {
	p.seq++
	p.tries = 0
	c := p.newCall(core.CallTool, toolPool)
	if p.h.sim.Rand().Float64() < bookingShare {
		c.NonIdempotent = true
		c.Key = fmt.Sprintf("k%d", p.seq)
		p.booking = c
	}
	p.callTool(c)
}

func (p *program) callTool(c core.Call) {
	p.send(c, true, func(r *sim.Response) {
		lost := r.AnswerLost && p.tries > 1
		if !lost && p.again(r, func() { p.callTool(c) }) {
			return
		}
		p.sure = r.Finish.Outcome == core.OutcomeRan && !lost
		p.mischief()
		p.turn()
	})
}

// end ends the program; a root has its engine memory checked afterwards.
func (p *program) end() {
	if p.id.Depth() > 0 {
		p.finish()
		return
	}
	p.ends++
	p.h.sim.EndProgram(p.h.edge(), p.id, p.account, endTimeout, p.ended)
}

func (p *program) ended(r *sim.Response) {
	ended := !r.ConnectionLost && (r.Finish.Outcome == core.OutcomeRan || r.Finish.Reason == core.ReasonProgramEnded)
	if !ended && p.ends < maxEnds {
		p.h.sim.After(backoff+p.h.sim.Rand().Int64N(backoff), p.end)
		return
	}
	if ended {
		p.h.sim.After(releaseGrace, func() { p.h.obs.released(p.id) })
	}
	p.finish()
}

func (p *program) finish() {
	done := p.done
	p.done = func() {}
	done()
}
