package engine

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// stepPlan is the step under way, and how often it repeats unchanged.
type stepPlan struct {
	active bool
	start  core.Instant
	length core.Duration
	repeat int64
	// prefills are the sequences that compute prompt tokens in this step.
	prefills []prefill
}

// prefill is one sequence's share of the prompt tokens of a step.
type prefill struct {
	seq    *sequence
	tokens uint32
}

// catchUp completes all steps that end at or before now.
func (m *Model) catchUp(now core.Instant) {
	for m.step.active {
		fits := now.Sub(m.step.start) / m.step.length
		if fits <= 0 {
			return
		}
		n := min(fits, m.step.repeat)
		m.step.start = m.step.start.Add(n * m.step.length)
		m.complete(uint32(n))
		m.step.repeat -= n
		if m.step.repeat == 0 {
			m.plan(m.step.start)
		}
	}
}

// interrupt lets the batch change at the end of the step under way, or at once
// when the engine is idle.
func (m *Model) interrupt(now core.Instant) {
	if !m.step.active {
		m.plan(now)
		return
	}
	m.step.repeat = 1
}

// plan starts a step at an instant: it admits waiting jobs, makes room for the
// tokens to come and shares out the prompt work.
func (m *Model) plan(now core.Instant) {
	m.makeRoomForStep(now)
	m.admit(now)
	m.step.start = now
	m.step.prefills = m.step.prefills[:0]
	m.step.active = len(m.running) > 0
	if !m.step.active {
		return
	}
	prompt := m.sharePrefill()
	work := core.Duration(prompt) * core.Second / core.Duration(m.params.PrefillRate)
	m.step.length = m.params.StepTime + m.params.StepPerSequence*core.Duration(len(m.running)) + work
	m.step.repeat = 1
	if prompt == 0 {
		m.step.repeat = m.unchangedSteps()
	}
}

// admit starts waiting jobs in order while the batch and the memory have room.
func (m *Model) admit(now core.Instant) {
	for len(m.waiting) > 0 && len(m.running) < int(m.params.MaxBatch) {
		if !m.start(m.waiting[0], now) {
			return
		}
		m.waiting[0] = nil
		m.waiting = m.waiting[1:]
	}
}

// start puts a sequence into the batch if its prompt and its next token fit
// beside the next tokens of the others.
func (m *Model) start(s *sequence, now core.Instant) bool {
	found, cached := m.cache.match(s.job.Blocks)
	need := uint64(s.prompt) - cached + uint64(s.generated)
	m.cache.hold(found)
	if !m.makeRoom(need+uint64(len(m.running))+1, now) {
		m.cache.unhold(found)
		return false
	}
	m.cache.unhold(found)
	m.cache.pin(found, now)
	s.pinned = append(s.pinned[:0], found...)
	s.private = need
	m.private += need
	s.left = max(uint32(need), 1)
	m.waste.ReusedTokens += cached
	if !s.started {
		s.started = true
		s.cached = uint32(cached)
	}
	m.cache.countRecomputed(s.job.Blocks[len(found):])
	m.running = append(m.running, s)
	m.out = append(m.out, Started{ID: s.job.ID, Cached: uint32(cached), At: now})
	return true
}

// sharePrefill gives the step's prompt tokens to the oldest sequences first and
// returns their sum.
func (m *Model) sharePrefill() uint32 {
	room := m.params.PrefillChunk
	for _, s := range m.running {
		if room == 0 {
			break
		}
		if s.left == 0 {
			continue
		}
		n := min(s.left, room)
		room -= n
		m.step.prefills = append(m.step.prefills, prefill{seq: s, tokens: n})
	}
	return m.params.PrefillChunk - room
}

// unchangedSteps returns the number of decode steps until a sequence ends or
// the free memory is used up.
func (m *Model) unchangedSteps() int64 {
	steps := int64(m.free()) / int64(len(m.running))
	for _, s := range m.running {
		steps = min(steps, int64(s.job.OutputTokens)-int64(s.generated))
	}
	return max(steps, 1)
}

// complete applies n equal steps, the last of which ends at the plan's start.
func (m *Model) complete(n uint32) {
	at := m.step.start
	for _, p := range m.step.prefills {
		p.seq.left -= min(p.tokens, p.seq.left)
	}
	keep := m.running[:0]
	for _, s := range m.running {
		if s.left == 0 {
			m.generate(s, n, at)
		}
		if s.generated < s.job.OutputTokens || s.left > 0 {
			keep = append(keep, s)
			continue
		}
		m.finish(s, at)
	}
	clear(m.running[len(keep):])
	m.running = keep
}

// generate adds n output tokens to a sequence.
func (m *Model) generate(s *sequence, n uint32, at core.Instant) {
	if len(s.pinned) < len(s.job.Blocks) {
		m.storePrompt(s, at)
	}
	n = min(n, s.job.OutputTokens-s.generated)
	s.generated += n
	s.private += uint64(n)
	m.private += uint64(n)
	s.lastToken = at
	if s.generated == n {
		m.reportSequence(s)
	}
}

// storePrompt moves a computed prompt from private memory into the cache, where
// a block that another sequence stored meanwhile is shared.
func (m *Model) storePrompt(s *sequence, at core.Instant) {
	var digests []uint64
	for _, b := range s.job.Blocks[len(s.pinned):] {
		if m.cache.lookup(b.Digest) == nil {
			digests = append(digests, b.Digest)
		}
		s.pinned = append(s.pinned, m.cache.insert(b, lastEntry(s.pinned), at))
		s.private -= uint64(b.Tokens)
		m.private -= uint64(b.Tokens)
	}
	if len(digests) > 0 {
		m.out = append(m.out, Stored{Digests: digests, At: at})
	}
}

// finish ends a sequence and leaves its conversation in the cache.
func (m *Model) finish(s *sequence, at core.Instant) {
	m.reportSequence(s)
	if s.job.AnswerDigest != 0 && s.generated > 0 {
		answer := core.Block{Digest: s.job.AnswerDigest, Tokens: s.generated}
		m.out = append(m.out, Stored{Digests: []uint64{answer.Digest}, At: at})
		s.pinned = append(s.pinned, m.cache.insert(answer, lastEntry(s.pinned), at))
	}
	m.drop(s, at)
	usage := core.Usage{PromptTokens: s.prompt, CachedTokens: s.cached, OutputTokens: s.generated}
	m.out = append(m.out, Finished{ID: s.job.ID, Usage: usage, At: at})
}

// drop frees the memory that a sequence holds.
func (m *Model) drop(s *sequence, at core.Instant) {
	m.private -= s.private
	s.private = 0
	m.cache.unpin(s.pinned, at)
	s.pinned = s.pinned[:0]
	for i := range m.step.prefills {
		if m.step.prefills[i].seq == s {
			m.step.prefills[i].tokens = 0
		}
	}
}

// free returns the unused memory in tokens.
func (m *Model) free() uint64 {
	used := m.private + m.cache.tokens
	if used >= m.params.CacheTokens {
		return 0
	}
	return m.params.CacheTokens - used
}

// makeRoom evicts cached blocks until need tokens are free and reports whether
// they are. Nothing is evicted when that could not be enough.
func (m *Model) makeRoom(need uint64, now core.Instant) bool {
	free := m.free()
	if free >= need {
		return true
	}
	if free+m.cache.idle < need {
		return false
	}
	gone := m.cache.evict(need-free, now)
	m.out = append(m.out, Evicted{Digests: gone, At: now})
	return true
}

// makeRoomForStep frees one token for each running sequence. When no cached
// block can go, the sequence that started last is computed again later.
func (m *Model) makeRoomForStep(now core.Instant) {
	for len(m.running) > 1 && !m.makeRoom(uint64(len(m.running)), now) {
		last := len(m.running) - 1
		m.preempt(m.running[last], now)
		m.running[last] = nil
		m.running = m.running[:last]
	}
	if len(m.running) == 1 {
		m.makeRoom(1, now)
	}
}

// preempt takes the memory of a sequence away and queues it before all others.
func (m *Model) preempt(s *sequence, now core.Instant) {
	m.reportSequence(s)
	m.waste.PreemptedTokens += s.private
	m.drop(s, now)
	m.waiting = slices.Insert(m.waiting, 0, s)
	m.out = append(m.out, Preempted{ID: s.job.ID, At: now})
}
