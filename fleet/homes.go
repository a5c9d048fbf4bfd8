package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharedTokens is the size from which the first part of a prompt counts as one
	// that many programs share. Parts of single sessions are smaller.
	sharedTokens = 4096
	// shareMemory is the time over which the use of shared parts is counted.
	shareMemory = 10 * time.Second
	// maxShared bounds the shared parts that are followed.
	maxShared = 64
	// strangerMS is the cost, in milliseconds, of placing a prompt away from the
	// engines that its first part belongs to. It is about what reading such a part
	// takes: it will yield to those that belong there.
	strangerMS = 60.0
)

// homes divides a service's engines among the shared first parts of prompts, in
// proportion to their use, so that an engine's memory holds few of them. Entries
// agree without a word: the division follows from the ids and from a use that all
// of them see alike.
type homes struct {
	uses  map[string]float64
	since time.Time
	// division is what the engines belong to, as of divided.
	division map[string]string
	divided  time.Time
}

// divisionPeriod is the time between two divisions.
const divisionPeriod = 500 * time.Millisecond

func newHomes() *homes { return &homes{uses: make(map[string]float64)} }

// used counts a prompt.
func (h *homes) used(prompt []Part, now time.Time) {
	if len(prompt) == 0 || prompt[0].Tokens < sharedTokens {
		return
	}
	if now.Sub(h.since) > shareMemory {
		h.since = now
		for id := range h.uses {
			if h.uses[id] /= 2; h.uses[id] < 1 {
				delete(h.uses, id)
			}
		}
	}
	if _, known := h.uses[prompt[0].ID]; known || len(h.uses) < maxShared {
		h.uses[prompt[0].ID]++
	}
}

// isStranger says whether a prompt's first part belongs to other engines.
func (h *homes) isStranger(engine string, prompt []Part, targets []*target, now time.Time) bool {
	if len(prompt) == 0 || len(h.uses) < 2 {
		return false
	}
	if _, shared := h.uses[prompt[0].ID]; !shared {
		return false
	}
	if h.division == nil || now.Sub(h.divided) > divisionPeriod {
		h.divide(targets, now)
	}
	home, ok := h.division[engine]
	return ok && home != prompt[0].ID
}

// divide gives each engine the shared part with the highest weighted hash
// (weighted rendezvous hashing).
func (h *homes) divide(targets []*target, now time.Time) {
	h.division, h.divided = make(map[string]string, len(targets)), now
	for _, t := range targets {
		best := math.Inf(-1)
		for id, uses := range h.uses {
			point := (float64(xxhash.Sum64String(t.ID+"\x00"+id)>>11) + 0.5) / (1 << 53)
			if score := -uses / math.Log(point); score > best {
				best = score
				h.division[t.ID] = id
			}
		}
	}
}
