package soak

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// Parameters of the callers.
const (
	callTimeout = 15 * core.Second
	endTimeout  = 10 * core.Second
	// maxTries bounds the tries of one call, maxTriesNoErrors that of a caller
	// that makes no errors, and maxEnds that of ending a program.
	maxTries         = 12
	maxTriesNoErrors = 100
	maxEnds          = 30
	backoff          = 300 * core.Millisecond
	meanPause        = 400 * core.Millisecond

	systemPromptTokens = 400
	maxQuestionTokens  = 300
	maxOutputTokens    = 120
)

// Probabilities of a program's next steps and of its caller's errors.
const (
	toolShare          = 0.4
	nonIdempotentShare = 0.6
	subAgentShare      = 0.06
	loopShare          = 0.05
	duplicateShare     = 0.03
	disconnectShare    = 0.01
	staleShare         = 0.03
	otherProgramShare  = 0.03
	keyReuseShare      = 0.1
	oldRepeatShare     = 0.1
)

// program is one agent program and its caller.
type program struct {
	cluster   *Cluster
	id        core.ProgramID
	account   core.Account
	budget    uint64
	seq       uint64
	turnsLeft int
	loops     bool
	blocks    []core.Block
	// answeredLengths holds the conversation's length in blocks before each
	// answer.
	answeredLengths []int
	// hasLastAnswer means that the caller received the answer to the previous
	// call.
	hasLastAnswer bool
	// resetHistory makes the next model call replace the recorded conversation,
	// which may contain an answer that the caller has not received.
	resetHistory      bool
	tries             int
	endTries          int
	subAgents         int
	lastNonIdempotent core.Call
	done              func()
}

// startProgram starts a root program.
func (c *Cluster) startProgram() {
	c.programs++
	c.runningPrograms++
	rng := c.sim.Rand()
	p := &program{
		cluster:   c,
		id:        core.ProgramID(fmt.Sprintf("p%d", c.programs)),
		account:   accounts[rng.IntN(len(accounts))],
		budget:    2_000 + rng.Uint64N(maxProgramBudgetTokens-2_000),
		turnsLeft: 1 + rng.IntN(6),
		loops:     rng.Float64() < loopShare,
	}
	if c.opts.NoCallerErrors {
		p.account, p.budget, p.loops = accounts[0], maxProgramBudgetTokens, false
	}
	if p.loops {
		c.faults[ProgramLooping]++
	}
	p.done = func() { c.runningPrograms-- }
	c.obs.recordProgram(p.id, p.budget)
	p.addQuestion(systemPromptTokens)
	p.nextModelCall()
}

// startSubAgent starts a sub-agent that spends the root's budget, and calls done
// at its end.
func (p *program) startSubAgent(done func()) {
	p.subAgents++
	s := &program{
		cluster:   p.cluster,
		id:        core.ProgramID(fmt.Sprintf("%s/s%d", p.id, p.subAgents)),
		account:   p.account,
		turnsLeft: 1 + p.cluster.sim.Rand().IntN(2),
		done:      done,
	}
	p.cluster.obs.recordProgram(s.id, 0)
	s.addQuestion(systemPromptTokens)
	s.nextModelCall()
}

// addQuestion adds a user message to the conversation.
func (p *program) addQuestion(tokens uint32) {
	var last uint64
	if n := len(p.blocks); n > 0 {
		last = p.blocks[n-1].Digest
	}
	digest := xxhash.Sum64String(fmt.Sprintf("%s %d %d", p.id, last, len(p.blocks)))
	p.blocks = append(slices.Clip(p.blocks), core.Block{Digest: digest, Tokens: tokens})
}

// nextModelCall starts the next model call.
func (p *program) nextModelCall() {
	p.seq++
	p.tries = 0
	p.sendModelCall()
}

func (p *program) sendModelCall() {
	c := p.newCall(core.CallModel, modelPool)
	c.MaxTokens = maxOutputTokens
	c.Blocks = p.blocks
	c.ResetHistory = p.resetHistory
	c.Stream = true
	isCorrect := !p.injectCallerError(&c)
	c.Body = strconv.AppendUint(nil, c.Blocks[len(c.Blocks)-1].Digest, 16)
	p.send(c, isCorrect, p.handleModelResponse)
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

// send sends a call to an entry, and sometimes sends a duplicate after a delay,
// for which the entry is chosen again. isCorrect means that the call contains no
// caller's error.
func (p *program) send(c core.Call, isCorrect bool, on func(*sim.Response)) {
	p.tries++
	if isCorrect && p.hasLastAnswer && p.tries == 1 && !p.resetHistory {
		p.cluster.obs.mustContinue[p.cluster.requests+1] = true
	}
	p.submit(c, on)
	rng := p.cluster.sim.Rand()
	if rng.Float64() < p.cluster.opts.DuplicateShare {
		p.cluster.faults[CallRepeated]++
		again := c
		p.cluster.sim.After(rng.Int64N(50*core.Millisecond), func() { p.submit(again, ignore) })
	}
}

func ignore(*sim.Response) {}

// submit sends one request, tagged with its number, to an ingress entry. Some
// callers disconnect before the answer.
func (p *program) submit(c core.Call, on func(*sim.Response)) {
	cluster := p.cluster
	cluster.requests++
	c.ContentType = requestTag(cluster.requests)
	if cluster.sim.Rand().Float64() < disconnectShare && !cluster.opts.NoCallerErrors {
		cluster.faults[CallerDisconnected]++
		c.Timeout = core.Duration(cluster.sim.Rand().Int64N(100 * core.Millisecond))
	}
	cluster.obs.recordRequest(&c)
	cluster.sim.Call(cluster.chooseIngress(), c, on)
}

// chooseIngress chooses an entry as a load balancer does, among those that
// accept connections, or the empty name if there is none. The entry may still
// die before the request arrives.
func (c *Cluster) chooseIngress() core.VM {
	var up []core.VM
	for _, n := range c.sim.Nodes() {
		if n.Role() == core.RoleEntry && !n.Removed() && n.Running() && !c.inject.draining[n] {
			up = append(up, n.ID().VM)
		}
	}
	if len(up) == 0 {
		return ""
	}
	return up[c.sim.Rand().IntN(len(up))]
}

// handleModelResponse handles the response to a model call.
func (p *program) handleModelResponse(r *sim.Response) {
	lost := r.AnswerLost && p.tries > 1
	if !lost && p.retry(r, p.sendModelCall) {
		return
	}
	own := r.Answer != nil && r.Answer.Call.Program == p.id && r.Answer.Call.Seq == p.seq
	if r.Finish.Outcome != core.OutcomeRan || !own {
		p.continueAfterUnknown(r)
		return
	}
	p.resetHistory, p.hasLastAnswer = false, true
	f := r.Answer.Finish
	blocks := append(slices.Clip(slices.Clone(r.Answer.Call.Blocks)), core.Block{Digest: f.Digest, Tokens: f.Usage.OutputTokens})
	p.cluster.obs.recordAcknowledged(p.id, blocks)
	p.answeredLengths = append(p.answeredLengths, len(r.Answer.Call.Blocks))
	p.blocks = blocks
	p.addQuestion(1 + p.cluster.sim.Rand().Uint32N(maxQuestionTokens))
	p.turnsLeft--
	p.chooseNext()
}

// retry repeats a call that was refused or whose connection was lost, or ends
// the program where repeating is of no use. It reports whether the response
// needs no further handling.
func (p *program) retry(r *sim.Response, call func()) bool {
	if !r.ConnectionLost && !r.AnswerLost && r.Finish.Outcome == core.OutcomeUnknown {
		return p.retryUnknown(call)
	}
	if !r.ConnectionLost && !r.AnswerLost && r.Finish.Outcome != core.OutcomeNotRun {
		return false
	}
	if !r.ConnectionLost && !r.AnswerLost && !isTemporary(r.Finish.Reason) || p.tries >= p.cluster.maxTries() {
		p.end()
		return true
	}
	wait := max(r.Finish.RetryAfter, backoff)
	p.cluster.sim.After(wait+p.cluster.sim.Rand().Int64N(wait), call)
	return true
}

// retryUnknown repeats a call of unknown outcome once, and reports whether it
// does. By then the record may contain the outcome, and a call that was never
// started is executed.
func (p *program) retryUnknown(call func()) bool {
	if p.tries > 1 {
		return false
	}
	p.cluster.sim.After(backoff+p.cluster.sim.Rand().Int64N(backoff), call)
	return true
}

func (c *Cluster) maxTries() int {
	if c.opts.NoCallerErrors {
		return maxTriesNoErrors
	}
	return maxTries
}

// isTemporary reports whether a call that was refused for a reason may succeed
// later.
func isTemporary(r core.Reason) bool {
	switch r {
	case core.ReasonBudgetExhausted, core.ReasonLimitExceeded, core.ReasonProgramEnded, core.ReasonMemoryLost, core.ReasonUnauthorized:
		return false
	}
	return true
}

// continueAfterUnknown continues a program with the next call after a model call
// whose answer the caller did not receive.
func (p *program) continueAfterUnknown(r *sim.Response) {
	switch r.Finish.Reason {
	case core.ReasonProgramEnded, core.ReasonMemoryLost, core.ReasonLimitExceeded:
		p.end()
		return
	}
	p.resetHistory, p.hasLastAnswer = true, false
	p.turnsLeft--
	p.chooseNext()
}

// chooseNext chooses the program's next step after an answer.
func (p *program) chooseNext() {
	rng := p.cluster.sim.Rand()
	if p.turnsLeft <= 0 && !p.loops {
		p.end()
		return
	}
	wait := core.Duration(rng.ExpFloat64() * float64(meanPause))
	switch r := rng.Float64(); {
	case r < toolShare:
		p.cluster.sim.After(wait, p.nextToolCall)
	case r < toolShare+subAgentShare && p.id.Depth() < maxDepth && !p.loops:
		p.cluster.sim.After(wait, func() { p.startSubAgent(p.nextModelCall) })
	default:
		p.cluster.sim.After(wait, p.nextModelCall)
	}
}

// nextToolCall starts the next tool call. A share of them is non-idempotent and
// has a key.
func (p *program) nextToolCall() {
	p.seq++
	p.tries = 0
	c := p.newCall(core.CallTool, toolPool)
	if p.cluster.sim.Rand().Float64() < nonIdempotentShare {
		c.NonIdempotent = true
		c.Key = fmt.Sprintf("k%d", p.seq)
		p.lastNonIdempotent = c
	}
	p.sendToolCall(c)
}

func (p *program) sendToolCall(c core.Call) {
	p.send(c, true, func(r *sim.Response) {
		lost := r.AnswerLost && p.tries > 1
		if !lost && p.retry(r, func() { p.sendToolCall(c) }) {
			return
		}
		p.hasLastAnswer = r.Finish.Outcome == core.OutcomeRan && !lost
		p.repeatOldCall()
		p.nextModelCall()
	})
}

// end ends the program. After the end of a root the engines' caches are checked.
func (p *program) end() {
	if p.id.Depth() > 0 {
		p.finish()
		return
	}
	p.endTries++
	p.cluster.sim.EndProgram(p.cluster.chooseIngress(), p.id, p.account, endTimeout, p.handleEndResponse)
}

func (p *program) handleEndResponse(r *sim.Response) {
	ended := !r.ConnectionLost && (r.Finish.Outcome == core.OutcomeRan || r.Finish.Reason == core.ReasonProgramEnded)
	if !ended && p.endTries < maxEnds {
		p.cluster.sim.After(backoff+p.cluster.sim.Rand().Int64N(backoff), p.end)
		return
	}
	if ended {
		p.cluster.sim.After(releaseGrace, func() { p.cluster.obs.checkReleased(p.id) })
	}
	p.finish()
}

func (p *program) finish() {
	done := p.done
	p.done = func() {}
	done()
}
