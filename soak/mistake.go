package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// mistake makes a model call carry a conversation that must be refused, now and
// then, and reports whether it did.
func (p *program) mistake(c *core.Call) bool {
	h := p.h
	r := h.sim.Rand().Float64()
	wrong := true
	switch {
	case len(p.answered) == 0 || p.reset || h.opts.NoCallerErrors:
		// The record holds no conversation that the mistake would contradict.
		wrong = false
	case r < staleShare:
		h.faults[HistoryStale]++
		c.Blocks = p.blocks[:p.answered[len(p.answered)-1]]
	case r < staleShare+foreignShare && h.inject.foreign != nil && h.inject.foreignOf != p.id:
		h.faults[HistoryOfOtherProgram]++
		c.Blocks = h.inject.foreign
	default:
		wrong = false
	}
	if len(p.answered) > 0 {
		h.inject.foreign, h.inject.foreignOf = p.blocks, p.id
	}
	return wrong
}

// mischief repeats an old booking, or uses its key for something else.
func (p *program) mischief() {
	if p.booking.Key == "" || p.h.opts.NoCallerErrors {
		return
	}
	c := p.booking
	r := p.h.sim.Rand().Float64()
	switch {
	case r < oldRepeatShare:
		p.h.faults[OldCallRepeated]++
		p.submit(c, ignore)
	case r < oldRepeatShare+keyReuseShare:
		p.h.faults[KeyReused]++
		c.Path = "/other"
		c.Body = []byte("another request")
		p.submit(c, ignore)
	}
}
