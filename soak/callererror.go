package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// injectCallerError sometimes replaces the conversation of a model call with
// one that must be refused, and reports whether it did.
func (p *program) injectCallerError(c *core.Call) bool {
	cluster := p.cluster
	r := cluster.sim.Rand().Float64()
	wrong := true
	switch {
	case len(p.answeredLengths) == 0 || p.resetHistory || cluster.opts.NoCallerErrors:
		// There is no recorded conversation that a wrong one could contradict.
		wrong = false
	case r < staleShare:
		cluster.faults[HistoryStale]++
		c.Blocks = p.blocks[:p.answeredLengths[len(p.answeredLengths)-1]]
	case r < staleShare+otherProgramShare && cluster.inject.otherConversation != nil && cluster.inject.otherProgram != p.id:
		cluster.faults[HistoryOfOtherProgram]++
		c.Blocks = cluster.inject.otherConversation
	default:
		wrong = false
	}
	if len(p.answeredLengths) > 0 {
		cluster.inject.otherConversation, cluster.inject.otherProgram = p.blocks, p.id
	}
	return wrong
}

// repeatOldCall sometimes sends the last non-idempotent call again, or reuses
// its key for another request.
func (p *program) repeatOldCall() {
	if p.lastNonIdempotent.Key == "" || p.cluster.opts.NoCallerErrors {
		return
	}
	c := p.lastNonIdempotent
	r := p.cluster.sim.Rand().Float64()
	switch {
	case r < oldRepeatShare:
		p.cluster.faults[OldCallRepeated]++
		p.submit(c, ignore)
	case r < oldRepeatShare+keyReuseShare:
		p.cluster.faults[KeyReused]++
		c.Path = "/other"
		c.Body = []byte("another request")
		p.submit(c, ignore)
	}
}
