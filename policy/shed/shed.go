// Package shed decides which new programs to refuse under overload. Turns of
// programs in progress are never its business: while a new program can be
// refused instead, they go on.
package shed

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

const (
	// startWait is the expected wait in rounds of the pool's capacity at which
	// accounts above their share are refused.
	startWait = 1.0
	// fullWait is the wait at which every new program is refused.
	fullWait = 4.0
)

// Pool is the load of a pool as its entry sees it.
type Pool struct {
	// Waiting is the number of calls that wait at the targets.
	Waiting uint64
	// Limit is the number of calls that the targets run at once.
	Limit uint64
}

// AccountShare is an account's part of the programs under way.
type AccountShare struct {
	Account core.Account
	// Weight is the account's share against other accounts; zero counts as one.
	Weight   float64
	Programs int
}

// pressure returns the waiting work in rounds of the pool's capacity.
func pressure(p Pool) float64 {
	if p.Limit == 0 {
		return 0
	}
	return float64(p.Waiting) / float64(p.Limit)
}

// Admit reports whether an account may start a new program. Below the start of
// overload all may. Above it, an account may as long as its programs stay under
// its fair share, scaled down as the overload grows.
func Admit(p Pool, account core.Account, shares []AccountShare) bool {
	load := pressure(p)
	if load < startWait {
		return true
	}
	if load >= fullWait {
		return false
	}
	var own AccountShare
	var weights float64
	total := 0
	for _, s := range shares {
		s.Weight = weight(s.Weight)
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
	room := (fullWait - load) / (fullWait - startWait)
	return float64(own.Programs) < fair*room
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
