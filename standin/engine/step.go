package engine

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// stepPlan describes the current step and how many times it repeats unchanged.
type stepPlan struct {
	active   bool
	start    core.Instant
	duration core.Duration
	repeat   int64
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
		fits := now.Sub(m.step.start) / m.step.duration
		if fits <= 0 {
			return
		}
		n := min(fits, m.step.repeat)
		m.step.start = m.step.start.Add(n * m.step.duration)
		m.completeSteps(uint32(n))
		m.step.repeat -= n
		if m.step.repeat == 0 {
			m.planStep(m.step.start)
		}
	}
}

// replanAfterStep ends the repetition of the current step, so that a new step
// is planned after it. If the engine is idle, it plans a step immediately.
func (m *Model) replanAfterStep(now core.Instant) {
	if !m.step.active {
		m.planStep(now)
		return
	}
	m.step.repeat = 1
}

// planStep starts a step at an instant: it frees memory for the running
// sequences' next tokens, admits waiting jobs and allocates the prefill work.
func (m *Model) planStep(now core.Instant) {
	m.makeRoomForStep(now)
	m.admit(now)
	m.step.start = now
	m.step.prefills = m.step.prefills[:0]
	m.step.active = len(m.running) > 0
	if !m.step.active {
		return
	}
	prompt := m.allocatePrefill()
	work := core.Duration(prompt) * core.Second / core.Duration(m.params.PrefillRate)
	m.step.duration = m.params.StepTime + m.params.StepPerSequence*core.Duration(len(m.running)) + work
	m.step.repeat = 1
	if prompt == 0 {
		m.step.repeat = m.unchangedSteps()
	}
}

// admit starts waiting jobs in order until the batch or the memory is full.
func (m *Model) admit(now core.Instant) {
	for len(m.waiting) > 0 && len(m.running) < int(m.params.MaxBatch) {
		if !m.tryStart(m.waiting[0], now) {
			return
		}
		m.waiting[0] = nil
		m.waiting = m.waiting[1:]
	}
}

// tryStart adds a sequence to the batch if there is memory for its prompt, its
// next token and the next tokens of the running sequences.
func (m *Model) tryStart(s *sequence, now core.Instant) bool {
	found, cached := m.cache.match(s.job.Blocks)
	need := uint64(s.prompt) - cached + uint64(s.generated)
	m.cache.protect(found)
	if !m.makeRoom(need+uint64(len(m.running))+1, now) {
		m.cache.unprotect(found)
		return false
	}
	m.cache.unprotect(found)
	m.cache.pin(found, now)
	s.pinned = append(s.pinned[:0], found...)
	s.privateTokens = need
	m.privateTokens += need
	s.remainingPrefill = max(uint32(need), 1)
	m.waste.ReusedTokens += cached
	if !s.started {
		s.started = true
		s.cached = uint32(cached)
	}
	m.cache.countRecomputed(s.job.Blocks[len(found):])
	m.running = append(m.running, s)
	m.events = append(m.events, Started{ID: s.job.ID, Cached: uint32(cached), At: now})
	return true
}

// allocatePrefill allocates up to PrefillChunk prompt tokens of the step, to the
// sequences that started first, and returns their number.
func (m *Model) allocatePrefill() uint32 {
	room := m.params.PrefillChunk
	for _, s := range m.running {
		if room == 0 {
			break
		}
		if s.remainingPrefill == 0 {
			continue
		}
		n := min(s.remainingPrefill, room)
		room -= n
		m.step.prefills = append(m.step.prefills, prefill{seq: s, tokens: n})
	}
	return m.params.PrefillChunk - room
}

// unchangedSteps returns the number of decode steps until a sequence ends or
// the free memory is used up.
func (m *Model) unchangedSteps() int64 {
	steps := int64(m.freeTokens()) / int64(len(m.running))
	for _, s := range m.running {
		steps = min(steps, int64(s.job.OutputTokens)-int64(s.generated))
	}
	return max(steps, 1)
}

// completeSteps applies the results of n equal steps. The last of them ended at
// m.step.start.
func (m *Model) completeSteps(n uint32) {
	at := m.step.start
	for _, p := range m.step.prefills {
		p.seq.remainingPrefill -= min(p.tokens, p.seq.remainingPrefill)
	}
	keep := m.running[:0]
	for _, s := range m.running {
		if s.remainingPrefill == 0 {
			m.generate(s, n, at)
		}
		if s.generated < s.job.OutputTokens || s.remainingPrefill > 0 {
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
	s.privateTokens += uint64(n)
	m.privateTokens += uint64(n)
	s.lastToken = at
	if s.generated == n {
		m.reportSequence(s)
	}
}

// storePrompt moves a computed prompt from private memory to the cache. A block
// that another sequence has stored meanwhile is shared.
func (m *Model) storePrompt(s *sequence, at core.Instant) {
	var digests []uint64
	for _, b := range s.job.Blocks[len(s.pinned):] {
		if m.cache.lookup(b.Digest) == nil {
			digests = append(digests, b.Digest)
		}
		s.pinned = append(s.pinned, m.cache.insert(b, lastBlock(s.pinned), at))
		s.privateTokens -= uint64(b.Tokens)
		m.privateTokens -= uint64(b.Tokens)
	}
	if len(digests) > 0 {
		m.events = append(m.events, Stored{Digests: digests, At: at})
	}
}

// finish ends a sequence and leaves its conversation in the cache.
func (m *Model) finish(s *sequence, at core.Instant) {
	m.reportSequence(s)
	if s.job.AnswerDigest != 0 && s.generated > 0 {
		answer := core.Block{Digest: s.job.AnswerDigest, Tokens: s.generated}
		m.events = append(m.events, Stored{Digests: []uint64{answer.Digest}, At: at})
		s.pinned = append(s.pinned, m.cache.insert(answer, lastBlock(s.pinned), at))
	}
	m.releaseMemory(s, at)
	usage := core.Usage{PromptTokens: s.prompt, CachedTokens: s.cached, OutputTokens: s.generated}
	m.events = append(m.events, Finished{ID: s.job.ID, Usage: usage, At: at})
}

// releaseMemory frees a sequence's private memory, unpins its blocks and cancels
// its prefill.
func (m *Model) releaseMemory(s *sequence, at core.Instant) {
	m.privateTokens -= s.privateTokens
	s.privateTokens = 0
	m.cache.unpin(s.pinned, at)
	s.pinned = s.pinned[:0]
	for i := range m.step.prefills {
		if m.step.prefills[i].seq == s {
			m.step.prefills[i].tokens = 0
		}
	}
}

// freeTokens returns the unused memory in tokens.
func (m *Model) freeTokens() uint64 {
	used := m.privateTokens + m.cache.tokens
	if used >= m.params.CacheTokens {
		return 0
	}
	return m.params.CacheTokens - used
}

// makeRoom evicts cached blocks until need tokens are free and returns true. If
// that is not possible it evicts nothing and returns false.
func (m *Model) makeRoom(need uint64, now core.Instant) bool {
	free := m.freeTokens()
	if free >= need {
		return true
	}
	if free+m.cache.idleTokens < need {
		return false
	}
	evicted := m.cache.evict(need-free, now)
	m.events = append(m.events, Evicted{Digests: evicted, At: now})
	return true
}

// makeRoomForStep frees one token for each running sequence. When no cached
// block can be evicted, it preempts the sequence that started last.
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

// preempt frees the memory of a sequence and puts it at the head of the queue.
func (m *Model) preempt(s *sequence, now core.Instant) {
	m.reportSequence(s)
	m.waste.PreemptedTokens += s.privateTokens
	m.releaseMemory(s, now)
	m.waiting = slices.Insert(m.waiting, 0, s)
	m.events = append(m.events, Preempted{ID: s.job.ID, At: now})
}
