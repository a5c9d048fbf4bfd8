// Package shed decides which new programs to refuse under overload. It only ever
// refuses new programs, so that running programs can continue.
package shed

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

const (
	// minOverload is a load in waiting calls per unit of the pool's concurrency limit.
	// At this load or above, new programs of accounts that exceed their fair share are
	// refused.
	minOverload = 1.0
	// maxOverload is the load at or above which every new program is refused.
	maxOverload = 4.0
)

// Pool is the load of a pool as known to the entry.
type Pool struct {
	// Waiting is the number of calls that wait at the targets.
	Waiting uint64
	// Limit is the number of calls that the targets may run concurrently.
	Limit uint64
}

// AccountShare is an account's share of the running programs.
type AccountShare struct {
	Account core.Account
	// Weight is the account's weight relative to other accounts; zero means one.
	Weight   float64
	Programs int
}

// overload returns the waiting calls relative to the pool's concurrency limit.
func overload(p Pool) float64 {
	if p.Limit == 0 {
		return 0
	}
	return float64(p.Waiting) / float64(p.Limit)
}

// Admit reports whether an account may start a new program. Below minOverload, every
// account may. From minOverload on, an account may while it runs fewer programs than
// its fair share, which shrinks as the overload grows.
func Admit(p Pool, account core.Account, shares []AccountShare) bool {
	load := overload(p)
	if load < minOverload {
		return true
	}
	if load >= maxOverload {
		return false
	}
	var own AccountShare
	var weights float64
	total := 0
	for _, s := range shares {
		s.Weight = weightOrOne(s.Weight)
		if s.Account == account {
			own = s
		}
		weights += s.Weight
		total += s.Programs
	}
	if own.Account == "" {
		own = AccountShare{Account: account, Weight: 1}
		weights++
	}
	fair := float64(total) * own.Weight / weights
	room := (maxOverload - load) / (maxOverload - minOverload)
	return float64(own.Programs) < fair*room
}

func weightOrOne(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
