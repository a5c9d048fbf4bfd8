// Package engine is a stand-in for a model engine. Model is its pure core: a
// continuous batch, a prefix cache and memory shared by both, in virtual time.
// Server puts a Model behind HTTP in real time.
package engine

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Params sizes a model engine.
type Params struct {
	// MaxBatch is the number of sequences that run at once.
	MaxBatch uint32
	// CacheTokens is the memory in tokens that running sequences and cached
	// prefixes share.
	CacheTokens uint64
	// PrefillRate is in tokens a second.
	PrefillRate uint64
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk uint32
	// StepTime is the time of a step without any sequence.
	StepTime core.Duration
	// StepPerSequence is added to a step for each running sequence.
	StepPerSequence core.Duration
	// TransferRate is the speed of KV export and import in tokens a second.
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

// withDefaults fills the fields that divide or bound.
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
	// AnswerDigest is the digest of the conversation with the answer; zero
	// leaves the answer out of the prefix cache.
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

// sequence is a job on its way through the engine.
type sequence struct {
	job    Job
	prompt uint32
	// cached is the part of the prompt found in the cache at the first start.
	cached uint32
	// left is the prompt work, in tokens, before the next token is generated.
	left uint32
	// generated counts output tokens; reported is the part already told.
	generated uint32
	reported  uint32
	lastToken core.Instant
	// private is the memory in tokens held outside the prefix cache.
	private uint64
	// pinned are the cache entries in use, in the order of the conversation.
	pinned  []*entry
	started bool
}

// Model is the pure core of a model engine. It admits all that comes, in order
// of arrival, and knows no priorities. Instants passed to it never go back.
type Model struct {
	params  Params
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	// private is the memory in tokens of all sequences outside the cache.
	private uint64
	step    stepPlan
	out     []Event
	spare   []Event
	waste   Waste
}

// NewModel returns an idle engine. Zero fields take the values of DefaultParams.
func NewModel(p Params) *Model {
	m := &Model{params: p.withDefaults()}
	m.cache = newPrefixCache(&m.waste)
	return m
}

// Params returns the parameters in use.
func (m *Model) Params() Params { return m.params }

// Submit hands a job to the engine. A job that could never fit into the memory
// is rejected by a Rejected happening.
func (m *Model) Submit(job Job, now core.Instant) {
	m.catchUp(now)
	job.OutputTokens = max(job.OutputTokens, 1)
	if !m.Fits(job) {
		m.out = append(m.out, Rejected{ID: job.ID, At: now})
		return
	}
	m.waiting = append(m.waiting, &sequence{job: job, prompt: job.promptTokens()})
	m.interrupt(now)
}

// Fits reports whether a job could ever fit into the engine's memory.
func (m *Model) Fits(job Job) bool {
	return uint64(job.promptTokens())+uint64(job.OutputTokens) <= m.params.CacheTokens
}

// Cancel stops a job and reports whether the engine still had it. The blocks
// that it has computed stay in the prefix cache.
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
	m.drop(m.running[i], now)
	m.running = slices.Delete(m.running, i, i+1)
	m.interrupt(now)
	return true
}

// Advance runs the engine up to an instant and returns what happened since the
// last call, in order. The slice is valid until the next call of Advance.
func (m *Model) Advance(now core.Instant) []Event {
	m.catchUp(now)
	m.reportTokens()
	done := m.out
	m.out, m.spare = m.spare[:0], done
	return done
}

// Next returns the next instant at which the batch changes or a first token
// appears, and false while the engine is idle. Tokens that do not change the
// batch are reported by whatever call of Advance comes next. The instant lies in
// the past when something waits to be reported.
func (m *Model) Next() (core.Instant, bool) {
	if len(m.out) > 0 {
		return m.step.start, true
	}
	if !m.step.active {
		return 0, false
	}
	return m.step.start.Add(m.step.length * m.step.repeat), true
}

// NextStep returns the end of the step under way, and false while idle.
func (m *Model) NextStep() (core.Instant, bool) {
	return m.step.start.Add(m.step.length), m.step.active
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
	m.out = append(m.out, Tokens{ID: s.job.ID, N: s.generated - s.reported, At: s.lastToken})
	s.reported = s.generated
}

// Load is an engine's report of itself.
type Load struct {
	core.TargetLoad
	// Waiting counts the jobs that have not started.
	Waiting uint32
	// CachedTokens is the part of CacheUsed in cached prefixes.
	CachedTokens uint64
}

// Load returns the present load.
func (m *Model) Load() Load {
	length := m.params.StepTime
	if m.step.active {
		length = m.step.length
	}
	return Load{
		TargetLoad: core.TargetLoad{
			Running:     uint32(len(m.running)),
			CacheTokens: m.params.CacheTokens,
			CacheUsed:   m.private + m.cache.tokens,
			PrefillRate: m.params.PrefillRate,
			StepTime:    length,
		},
		Waiting:      uint32(len(m.waiting)),
		CachedTokens: m.cache.tokens,
	}
}

// Listing returns the digests of all cached blocks, in ascending order.
func (m *Model) Listing() []uint64 { return m.cache.listing() }

// Waste returns the account of wasted cache so far.
func (m *Model) Waste() Waste { return m.waste }

// Release drops cached blocks that no running sequence uses and on which no
// other cached block builds, and returns the tokens freed.
func (m *Model) Release(digests []uint64, now core.Instant) uint64 {
	m.catchUp(now)
	freed, gone := m.cache.release(digests, now)
	if len(gone) > 0 {
		m.out = append(m.out, Evicted{Digests: gone, At: now})
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
// returns the tokens stored anew and the time that the transfer takes.
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
		e := m.cache.insert(b, lastEntry(pinned), now)
		pinned = append(pinned, e)
		stored += uint64(b.Tokens)
		digests = append(digests, b.Digest)
	}
	m.cache.unpin(pinned, now)
	if len(digests) > 0 {
		m.out = append(m.out, Stored{Digests: digests, At: now})
	}
	return stored, m.transferTime(stored)
}

// transferTime returns the time to move tokens of KV cache.
func (m *Model) transferTime(tokens uint64) core.Duration {
	return core.Duration(tokens) * core.Second / core.Duration(m.params.TransferRate)
}
