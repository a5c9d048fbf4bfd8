package fleet

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSharedPrefixTokens is the minimum size at which the first part of a prompt
	// counts as a prefix that many programs share. Parts of single sessions are
	// smaller.
	minSharedPrefixTokens = 4096
	// usePeriod is the time after which the use counts of shared prefixes are halved.
	usePeriod = 10 * time.Second
	// maxSharedPrefixes bounds the shared prefixes whose use is counted.
	maxSharedPrefixes = 64
	// misplacedPrefixMS is the cost, in milliseconds, of placing a prompt at an engine
	// to which another shared prefix is assigned. It is about the time to process such
	// a prefix, since that work is lost when the engine evicts the prefix in favor of
	// the assigned one.
	misplacedPrefixMS = 60.0
	// sharedCacheShare is the share of an engine's cache that shared prefixes may fill. While
	// all of them fit, each engine keeps all of them.
	sharedCacheShare = 0.5
	// warmCallsPerPrefix is how many calls per shared prefix an engine must have been seen
	// with before it is expected to have all of them cached.
	warmCallsPerPrefix = 2
)

// affinity assigns a service's engines to the shared prefixes of prompts, in
// proportion to the prefixes' use, so that each engine caches few of them. Entries
// compute the same assignment without communication, since it depends only on the ids
// and on use counts that are similar at all entries.
type affinity struct {
	uses map[string]float64
	// tokens is the size of each prefix in uses.
	tokens   map[string]int
	halvedAt time.Time
	// assignedAt is when prefixes were last assigned to the engines; zero if the engines have
	// changed since.
	assignedAt time.Time
}

// assignmentPeriod is the time after which the assignment is computed again.
const assignmentPeriod = 500 * time.Millisecond

func newAffinity() *affinity {
	return &affinity{uses: make(map[string]float64), tokens: make(map[string]int)}
}

// recordUse counts the use of a prompt's shared prefix, if it has one.
func (a *affinity) recordUse(prompt []Part, now time.Time) {
	if len(prompt) == 0 || prompt[0].Tokens < minSharedPrefixTokens {
		return
	}
	if now.Sub(a.halvedAt) > usePeriod {
		a.halvedAt = now
		for id := range a.uses {
			if a.uses[id] /= 2; a.uses[id] < 1 {
				delete(a.uses, id)
				delete(a.tokens, id)
			}
		}
	}
	if _, known := a.uses[prompt[0].ID]; known || len(a.uses) < maxSharedPrefixes {
		// The text of the ID is part of the caller's header, which must not stay in memory.
		id := strings.Clone(prompt[0].ID)
		a.uses[id]++
		a.tokens[id] = prompt[0].Tokens
	}
}

// isKeptEverywhere reports whether all warm engines are expected to have a prompt's shared
// prefix cached, because all shared prefixes fit into an engine's cache. An engine reads
// each of them once, for whichever entry sends it there first.
func (a *affinity) isKeptEverywhere(prompt []Part, cacheTokens int) bool {
	if len(prompt) == 0 || a.tokens[prompt[0].ID] == 0 {
		return false
	}
	total := 0
	for _, tokens := range a.tokens {
		total += tokens
	}
	return float64(total) <= sharedCacheShare*float64(cacheTokens)
}

// isWarm reports whether the engine has had enough calls to have cached the shared prefixes.
func (t *target) isWarm(prefixes int) bool { return t.callsSeen >= warmCallsPerPrefix*prefixes }

// sharedPrefix returns the id of a prompt's shared prefix if prefixes are assigned to
// engines, or an empty id. It assigns them again if that is due.
func (a *affinity) sharedPrefix(prompt []Part, targets []*target, now time.Time) string {
	if len(prompt) == 0 || len(a.uses) < 2 {
		return ""
	}
	if _, shared := a.uses[prompt[0].ID]; !shared {
		return ""
	}
	if a.assignedAt.IsZero() || now.Sub(a.assignedAt) > assignmentPeriod {
		a.assign(targets, now)
	}
	return prompt[0].ID
}

// assign assigns each engine the shared prefix with the highest score of weighted
// rendezvous hashing.
func (a *affinity) assign(targets []*target, now time.Time) {
	a.assignedAt = now
	for _, t := range targets {
		t.assignedPrefix = ""
		best := math.Inf(-1)
		for id, uses := range a.uses {
			point := (float64(xxhash.Sum64String(t.ID+"\x00"+id)>>11) + 0.5) / (1 << 53)
			if score := -uses / math.Log(point); score > best {
				best = score
				t.assignedPrefix = id
			}
		}
	}
}
