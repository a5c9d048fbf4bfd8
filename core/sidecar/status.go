package sidecar

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Status is a summary of a sidecar's state for operators.
type Status struct {
	Self   core.Node
	Domain core.Domain
	Pool   core.Pool
	// Generation is the configuration in force.
	Generation uint64
	Draining   bool
	Load       core.Load
	// Programs is the number of programs with pins, and Attempts the number of
	// rows in the call table, Unacked of them final and not acknowledged.
	Programs int
	Attempts int
	Unacked  int
	// FencedSlots is the number of slots with a fence.
	FencedSlots int `json:"Slots"`
	// Listeners is the number of entries that get load reports.
	Listeners int
}

// Status returns the present state.
func (s *Sidecar) Status() Status {
	return Status{
		Self:        s.opts.Self,
		Domain:      s.opts.Domain,
		Pool:        s.opts.Pool,
		Generation:  s.settings.generation,
		Draining:    s.drain.refusing(),
		Load:        s.load(),
		Programs:    len(s.cache.pins),
		Attempts:    len(s.table.attempts),
		Unacked:     len(s.table.unacked),
		FencedSlots: len(s.fences.highest),
		Listeners:   len(s.listeners),
	}
}
