package sidecar

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Status summarizes a sidecar's state for operators. It is written as JSON; fields
// without a tag keep their Go names.
type Status struct {
	Self   core.Node
	Domain core.Domain
	Pool   core.Pool
	// Generation is the generation of the active configuration.
	Generation uint64
	Draining   bool
	Load       core.Load
	// Programs is the number of programs with pins. Attempts is the number of
	// attempts in the call table. Unacked is the number of those that are final
	// and not acknowledged.
	Programs int
	Attempts int
	Unacked  int
	// FencedSlots is the number of slots for which the sidecar has seen an epoch.
	FencedSlots int `json:"Slots"`
	// Listeners is the number of entries that receive load reports.
	Listeners int
}

// Status returns a summary of the current state.
func (s *Sidecar) Status() Status {
	return Status{
		Self:        s.opts.Self,
		Domain:      s.opts.Domain,
		Pool:        s.opts.Pool,
		Generation:  s.settings.generation,
		Draining:    s.drain.refusesNewWork(),
		Load:        s.load(),
		Programs:    len(s.cache.pins),
		Attempts:    len(s.table.attempts),
		Unacked:     len(s.table.unacked),
		FencedSlots: len(s.fences.highest),
		Listeners:   len(s.listeners),
	}
}
