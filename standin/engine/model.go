// Package engine is a stand-in for a model engine. Model simulates in virtual
// time, without I/O, a continuous batch, a prefix cache and the memory that both
// share. Server runs a Model in real time and serves it over HTTP.
package engine

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Params are the sizes and speeds of a model engine.
type Params struct {
	// MaxBatch is the maximum number of running sequences.
	MaxBatch uint32
	// CacheTokens is the memory in tokens that running sequences and cached
	// prefixes share.
	CacheTokens uint64
	// PrefillRate is the speed of prefill in tokens per second.
	PrefillRate uint64
	// PrefillChunk limits the prompt tokens computed in one step.
	PrefillChunk uint32
	// StepTime is the fixed part of a step's duration.
	StepTime core.Duration
	// StepPerSequence is added to a step for each running sequence.
	StepPerSequence core.Duration
	// TransferRate is the speed of KV export and import in tokens per second.
	TransferRate uint64
}

// DefaultParams returns the parameters of a mid-size engine.
func DefaultParams() Params {
	return Params{
		MaxBatch:        32,
		CacheTokens:     400_000,
		PrefillRate:     20_000,
		PrefillChunk:    512,
		StepTime:        8 * core.Millisecond,
		StepPerSequence: 100 * core.Microsecond,
		TransferRate:    400_000,
	}
}

// withDefaults sets the fields that must not be zero: divisors and limits.
func (p Params) withDefaults() Params {
	d := DefaultParams()
	if p.MaxBatch == 0 {
		p.MaxBatch = d.MaxBatch
	}
	if p.CacheTokens == 0 {
		p.CacheTokens = d.CacheTokens
	}
	if p.PrefillRate == 0 {
		p.PrefillRate = d.PrefillRate
	}
	if p.PrefillChunk == 0 {
		p.PrefillChunk = d.PrefillChunk
	}
	if p.StepTime == 0 {
		p.StepTime = d.StepTime
	}
	if p.TransferRate == 0 {
		p.TransferRate = d.TransferRate
	}
	return p
}

// Job is one call to generate tokens.
type Job struct {
	ID core.AttemptID
	// Blocks is the prompt, oldest message first.
	Blocks []core.Block
	// OutputTokens is the number of tokens that the job generates.
	OutputTokens uint32
	// AnswerDigest is the digest of the conversation including the answer. If it
	// is zero, the answer is not stored in the prefix cache.
	AnswerDigest uint64
}

// promptTokens returns the length of the job's prompt in tokens.
func (j *Job) promptTokens() uint32 {
	var sum uint32
	for _, b := range j.Blocks {
		sum += b.Tokens
	}
	return sum
}

// sequence is the state of a job that waits or runs.
type sequence struct {
	job    Job
	prompt uint32
	// cached is the part of the prompt found in the cache at the first start.
	cached uint32
	// remainingPrefill is the number of tokens to compute before the next token
	// is generated.
	remainingPrefill uint32
	// generated counts output tokens; reported counts those already reported in
	// a Tokens event.
	generated uint32
	reported  uint32
	lastToken core.Instant
	// privateTokens is the memory in tokens held outside the prefix cache.
	privateTokens uint64
	// pinned are the cached blocks in use, in the order of the conversation.
	pinned  []*cachedBlock
	started bool
}

// Model simulates a model engine. It queues jobs in order of arrival, without
// priorities or a limit. Instants passed to it must not decrease.
type Model struct {
	params  Params
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	// privateTokens is the memory in tokens of all sequences outside the cache.
	privateTokens uint64
	step          stepPlan
	events        []Event
	spareEvents   []Event
	waste         Waste
}

// NewModel returns an idle engine. Zero fields take the values of DefaultParams.
func NewModel(p Params) *Model {
	m := &Model{params: p.withDefaults()}
	m.cache = newPrefixCache(&m.waste)
	return m
}

// Params returns the parameters in use.
func (m *Model) Params() Params { return m.params }

// Submit adds a job to the queue. A job that does not fit into the engine's
// memory is rejected by a Rejected event.
func (m *Model) Submit(job Job, now core.Instant) {
	m.catchUp(now)
	job.OutputTokens = max(job.OutputTokens, 1)
	if !m.Fits(job) {
		m.events = append(m.events, Rejected{ID: job.ID, At: now})
		return
	}
	m.waiting = append(m.waiting, &sequence{job: job, prompt: job.promptTokens()})
	m.replanAfterStep(now)
}

// Fits reports whether a job fits into the memory of an otherwise empty engine.
func (m *Model) Fits(job Job) bool {
	return uint64(job.promptTokens())+uint64(job.OutputTokens) <= m.params.CacheTokens
}

// Cancel stops a job and returns true if it was waiting or running. Blocks that
// it stored in the prefix cache stay there.
func (m *Model) Cancel(id core.AttemptID, now core.Instant) bool {
	m.catchUp(now)
	byID := func(s *sequence) bool { return s.job.ID == id }
	if i := slices.IndexFunc(m.waiting, byID); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
		return true
	}
	i := slices.IndexFunc(m.running, byID)
	if i < 0 {
		return false
	}
	m.releaseMemory(m.running[i], now)
	m.running = slices.Delete(m.running, i, i+1)
	m.replanAfterStep(now)
	return true
}

// Advance runs the engine up to an instant and returns the events since the last
// call, in order. The slice is valid until the next call of Advance.
func (m *Model) Advance(now core.Instant) []Event {
	m.catchUp(now)
	m.reportTokens()
	events := m.events
	m.events, m.spareEvents = m.spareEvents[:0], events
	return events
}

// Next returns the next instant at which the batch changes or a first token is
// generated, and false while the engine is idle. Generated tokens that do not
// change the batch have no instant of their own; the next call of Advance
// reports them. The instant is in the past if events wait to be returned.
func (m *Model) Next() (core.Instant, bool) {
	if len(m.events) > 0 {
		return m.step.start, true
	}
	if !m.step.active {
		return 0, false
	}
	return m.step.start.Add(m.step.duration * m.step.repeat), true
}

// NextStep returns the end of the current step, and false while the engine is
// idle.
func (m *Model) NextStep() (core.Instant, bool) {
	return m.step.start.Add(m.step.duration), m.step.active
}

// reportTokens appends the tokens generated since the last report.
func (m *Model) reportTokens() {
	for _, s := range m.running {
		m.reportSequence(s)
	}
}

// reportSequence appends the unreported tokens of one sequence.
func (m *Model) reportSequence(s *sequence) {
	if s.generated == s.reported {
		return
	}
	m.events = append(m.events, Tokens{ID: s.job.ID, N: s.generated - s.reported, At: s.lastToken})
	s.reported = s.generated
}

// Load is an engine's load report.
type Load struct {
	core.TargetLoad
	// Waiting counts the jobs that have not started.
	Waiting uint32
	// CachedTokens is the part of CacheUsed in cached prefixes.
	CachedTokens uint64
}

// Load returns the current load.
func (m *Model) Load() Load {
	length := m.params.StepTime
	if m.step.active {
		length = m.step.duration
	}
	return Load{
		TargetLoad: core.TargetLoad{
			Running:     uint32(len(m.running)),
			CacheTokens: m.params.CacheTokens,
			CacheUsed:   m.privateTokens + m.cache.tokens,
			PrefillRate: m.params.PrefillRate,
			StepTime:    length,
		},
		Waiting:      uint32(len(m.waiting)),
		CachedTokens: m.cache.tokens,
	}
}

// Listing returns the digests of all cached blocks, in ascending order.
func (m *Model) Listing() []uint64 { return m.cache.listing() }

// Waste returns the cache's waste counters so far.
func (m *Model) Waste() Waste { return m.waste }

// Release removes the given blocks, except blocks that a running sequence uses
// and blocks that are the prefix of another cached block. It returns the tokens
// freed.
func (m *Model) Release(digests []uint64, now core.Instant) uint64 {
	m.catchUp(now)
	freed, evicted := m.cache.release(digests, now)
	if len(evicted) > 0 {
		m.events = append(m.events, Evicted{Digests: evicted, At: now})
	}
	return freed
}

// Export reads the cached prefix of a conversation and returns the blocks that
// were found and the time that the transfer takes.
func (m *Model) Export(blocks []core.Block, now core.Instant) ([]core.Block, core.Duration) {
	m.catchUp(now)
	found, tokens := m.cache.match(blocks)
	return blocks[:len(found)], m.transferTime(tokens)
}

// Import stores a prefix computed elsewhere, as far as memory allows, and
// returns the tokens that were not cached before and the time that the transfer
// takes.
func (m *Model) Import(blocks []core.Block, now core.Instant) (uint64, core.Duration) {
	m.catchUp(now)
	found, _ := m.cache.match(blocks)
	m.cache.pin(found, now)
	pinned := found
	var stored uint64
	var digests []uint64
	for _, b := range blocks[len(found):] {
		if !m.makeRoom(uint64(b.Tokens), now) {
			break
		}
		e := m.cache.insert(b, lastBlock(pinned), now)
		pinned = append(pinned, e)
		stored += uint64(b.Tokens)
		digests = append(digests, b.Digest)
	}
	m.cache.unpin(pinned, now)
	if len(digests) > 0 {
		m.events = append(m.events, Stored{Digests: digests, At: now})
	}
	return stored, m.transferTime(stored)
}

// transferTime returns the time to transfer the KV cache of a number of tokens.
func (m *Model) transferTime(tokens uint64) core.Duration {
	return core.Duration(tokens) * core.Second / core.Duration(m.params.TransferRate)
}
