package place

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// outstanding returns the number of calls that wait or run at a target, including
// those that this entry has dispatched to it since the target's last load report.
func outstanding(t *Target) uint32 { return t.Load.Waiting + t.Load.Running + t.CallsSinceReport }

// roundRobin cycles through the targets.
type roundRobin struct{ next int }

// Choose returns the target after the one chosen last.
func (p *roundRobin) Choose(_ Request, targets []Target, _ *rand.Rand) (int, core.Duration) {
	i := p.next % len(targets)
	p.next = i + 1
	return i, 0
}

// leastOutstanding chooses the target with the fewest outstanding calls.
type leastOutstanding struct{}

// Choose returns the target with the fewest outstanding calls; ties are broken at
// random.
func (leastOutstanding) Choose(_ Request, targets []Target, rng *rand.Rand) (int, core.Duration) {
	best, ties := 0, 1
	for i := 1; i < len(targets); i++ {
		a, b := outstanding(&targets[i]), outstanding(&targets[best])
		if a > b {
			continue
		}
		if a < b {
			best, ties = i, 1
			continue
		}
		ties++
		if rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best, 0
}

// prefixHash sends all calls of a program and its descendants to one target, chosen by
// rendezvous hashing, so that the conversation's prefix is cached there.
type prefixHash struct{}

// Choose returns the target with the highest hash for the root program.
func (prefixHash) Choose(req Request, targets []Target, _ *rand.Rand) (int, core.Duration) {
	best, high := 0, uint64(0)
	for i := range targets {
		h := rendezvous(req.Program.Root(), targets[i].Node.VM)
		if h > high {
			best, high = i, h
		}
	}
	return best, 0
}

// rendezvous returns the rendezvous hash of a program and a VM.
func rendezvous(program core.ProgramID, vm core.VM) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(string(program)))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(string(vm)))
	return xxhash.Sum64(pair[:])
}

// twoChoices chooses the less loaded of two random targets.
type twoChoices struct{}

// Choose draws two random targets and returns the one that has fewer outstanding
// calls.
func (twoChoices) Choose(_ Request, targets []Target, rng *rand.Rand) (int, core.Duration) {
	a := rng.IntN(len(targets))
	if len(targets) == 1 {
		return a, 0
	}
	b := rng.IntN(len(targets) - 1)
	if b >= a {
		b++
	}
	if outstanding(&targets[b]) < outstanding(&targets[a]) {
		return b, 0
	}
	return a, 0
}
