package sim

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// EngineOptions sets the behavior of a model engine and the faults of its reports.
type EngineOptions struct {
	Seed   uint64
	Params engine.Params
	// Output returns the number of tokens that a call generates; if Output is
	// nil, the number is random, up to the call's MaxTokens.
	Output func(c *core.Call) uint32
	// LoadPeriod is the period of load reports, and MaxLoadAge their age on
	// arrival.
	LoadPeriod core.Duration
	MaxLoadAge core.Duration
	// EventLag bounds the delay of cache events, and EventLoss is the probability
	// that one is lost.
	EventLag  core.Duration
	EventLoss float64
	// Hang is the probability that a finished answer is never reported.
	Hang float64
}

// Default values of the fields of EngineOptions.
const (
	defaultLoadPeriod = 1 * core.Second
	defaultLoadLag    = 100 * core.Millisecond
)

// bytesPerToken is the assumed size of an answer's token.
const bytesPerToken = 4

// progressTokens is the number of tokens between two progress reports.
const progressTokens = 64

// EngineStats counts the faults of an engine's reports.
type EngineStats struct{ LostEvents, LateEvents, LateLoads, Hangs uint64 }

// engineJob is a call that was submitted to the engine and has not ended.
type engineJob struct {
	call      core.Call
	digest    uint64
	generated uint32
	// reported is the number of generated tokens that progress reports have
	// included.
	reported uint32
	started  bool
}

// Engine adapts the engine model of package standin/engine to Target.
type Engine struct {
	// OnExecution is called with each execution when it is submitted.
	OnExecution func(Execution)
	// OnUsage is called when an attempt ends, with the tokens that it has cost.
	OnUsage func(a core.AttemptID, c *core.Call, tokens uint64)

	opts           EngineOptions
	rng            *rand.Rand
	model          *engine.Model
	jobs           map[core.AttemptID]*engineJob
	pending        []timedEvent
	sequence       uint64
	nextLoadReport core.Instant
	stats          EngineStats
}

// NewEngine returns an idle engine.
func NewEngine(opts EngineOptions) *Engine {
	if opts.LoadPeriod == 0 {
		opts.LoadPeriod = defaultLoadPeriod
	}
	if opts.MaxLoadAge == 0 {
		opts.MaxLoadAge = defaultLoadLag
	}
	return &Engine{
		opts:  opts,
		rng:   rand.New(rand.NewPCG(opts.Seed, 0xe791e)),
		model: engine.NewModel(opts.Params),
		jobs:  map[core.AttemptID]*engineJob{},
	}
}

// Model returns the engine's model.
func (e *Engine) Model() *engine.Model { return e.model }

// Stats returns the counts of faults.
func (e *Engine) Stats() EngineStats { return e.stats }

// SetFaults changes the faults of the engine's reports. The parameters replace
// EventLag, EventLoss, MaxLoadAge and Hang of EngineOptions.
func (e *Engine) SetFaults(eventLag core.Duration, eventLoss float64, loadLag core.Duration, hang float64) {
	e.opts.EventLag, e.opts.EventLoss = eventLag, eventLoss
	e.opts.MaxLoadAge, e.opts.Hang = loadLag, hang
}

// AnswerDigest returns the digest of a conversation after an attempt's answer.
func AnswerDigest(blocks []core.Block, a core.AttemptID) uint64 {
	var buf [40]byte
	if len(blocks) > 0 {
		binary.LittleEndian.PutUint64(buf[0:], blocks[len(blocks)-1].Digest)
	}
	binary.LittleEndian.PutUint64(buf[8:], uint64(a.Slot))
	binary.LittleEndian.PutUint64(buf[16:], a.Epoch.Version)
	binary.LittleEndian.PutUint64(buf[24:], uint64(a.Epoch.Rank))
	binary.LittleEndian.PutUint64(buf[32:], a.N)
	return xxhash.Sum64(buf[:])
}

// Start submits an attempt.
func (e *Engine) Start(now core.Instant, s core.StartTarget) {
	if e.OnExecution != nil {
		e.OnExecution(Execution{Attempt: s.Attempt, Call: s.Call, At: now})
	}
	job := &engineJob{call: s.Call, digest: AnswerDigest(s.Call.Blocks, s.Attempt)}
	e.jobs[s.Attempt] = job
	e.model.Submit(engine.Job{
		ID:           s.Attempt,
		Blocks:       s.Call.Blocks,
		OutputTokens: e.output(&job.call),
		AnswerDigest: job.digest,
	}, now)
}

func (e *Engine) output(c *core.Call) uint32 {
	if e.opts.Output != nil {
		return min(e.opts.Output(c), max(c.MaxTokens, 1))
	}
	return 1 + e.rng.Uint32N(max(c.MaxTokens, 1))
}

// Abort cancels an attempt. It reports a failure also for an attempt whose answer
// was never reported, as the daemon's runtime does when it closes the connection.
func (e *Engine) Abort(now core.Instant, a core.AttemptID) {
	e.advanceModel(now)
	if job := e.jobs[a]; job != nil {
		e.reportProgress(now, a, job, 1)
		e.model.Cancel(a, now)
		e.removeJob(a, job, job.costSoFar())
	}
	e.addEvent(now, core.TargetFailed{Attempt: a, Sent: true, Reason: core.ReasonCanceled})
}

// costSoFar returns the tokens that an unfinished job has cost.
func (j *engineJob) costSoFar() uint64 {
	if !j.started {
		return 0
	}
	return uint64(j.call.PromptTokens()) + uint64(j.generated)
}

func (e *Engine) removeJob(a core.AttemptID, job *engineJob, tokens uint64) {
	delete(e.jobs, a)
	if e.OnUsage != nil {
		e.OnUsage(a, &job.call, tokens)
	}
}

// ReleaseCache drops blocks from the prefix cache.
func (e *Engine) ReleaseCache(now core.Instant, r core.ReleaseCache) { e.model.Release(r.Digests, now) }

// ListCache returns the content of the prefix cache.
func (e *Engine) ListCache(core.Instant) []uint64 { return e.model.Listing() }

func (e *Engine) addEvent(at core.Instant, ev core.Event) {
	i := len(e.pending)
	for i > 0 && e.pending[i-1].at > at {
		i--
	}
	e.pending = slices.Insert(e.pending, i, timedEvent{at: at, ev: ev})
}

// Next returns the instant of the next event.
func (e *Engine) Next() (core.Instant, bool) {
	next := e.nextLoadReport
	if len(e.pending) > 0 {
		next = min(next, e.pending[0].at)
	}
	if at, ok := e.model.Next(); ok {
		next = min(next, at)
	}
	return next, true
}

// Advance runs the model and returns the events due.
func (e *Engine) Advance(now core.Instant) []core.Event {
	e.advanceModel(now)
	e.scheduleLoadReport(now)
	n := 0
	for n < len(e.pending) && e.pending[n].at <= now {
		n++
	}
	due := make([]core.Event, n)
	for i := range n {
		due[i] = e.pending[i].ev
	}
	e.pending = e.pending[n:]
	return due
}

// scheduleLoadReport adds a load report if one is due.
func (e *Engine) scheduleLoadReport(now core.Instant) {
	if now < e.nextLoadReport {
		return
	}
	e.nextLoadReport = now.Add(e.opts.LoadPeriod)
	if e.opts.MaxLoadAge > defaultLoadLag {
		e.stats.LateLoads++
	}
	e.addEvent(now.Add(e.opts.MaxLoadAge), e.model.Load().TargetLoad)
}

// advanceModel runs the model up to now and turns its events into events of the
// target.
func (e *Engine) advanceModel(now core.Instant) {
	for _, h := range e.model.Advance(now) {
		e.handleModelEvent(now, h)
	}
}

func (e *Engine) handleModelEvent(now core.Instant, h engine.Event) {
	switch h := h.(type) {
	case engine.Started:
		if j := e.jobs[h.ID]; j != nil && !j.started {
			j.started = true
			e.addEvent(now, core.TargetStarted{Attempt: h.ID})
		}
	case engine.Tokens:
		if j := e.jobs[h.ID]; j != nil {
			j.generated += h.N
			e.reportProgress(now, h.ID, j, progressTokens)
		}
	case engine.Finished:
		e.handleFinished(now, h)
	case engine.Rejected:
		e.removeJob(h.ID, e.jobs[h.ID], 0)
		e.addEvent(now, core.TargetFailed{Attempt: h.ID, Reason: core.ReasonTargetFailed})
	case engine.Stored:
		e.addCacheEvent(now, core.CacheEvent{Stored: slices.Clone(h.Digests)})
	case engine.Evicted:
		e.addCacheEvent(now, core.CacheEvent{Evicted: slices.Clone(h.Digests)})
	}
}

// reportProgress reports the tokens generated since the last report if there are
// at least minimum.
func (e *Engine) reportProgress(now core.Instant, a core.AttemptID, j *engineJob, minimum uint32) {
	if j.generated-j.reported < minimum {
		return
	}
	e.addEvent(now, core.TargetProgress{Attempt: a, Tokens: j.generated - j.reported})
	j.reported = j.generated
}

func (e *Engine) handleFinished(now core.Instant, h engine.Finished) {
	job := e.jobs[h.ID]
	if job == nil {
		return
	}
	e.removeJob(h.ID, job, h.Usage.Total())
	if e.rng.Float64() < e.opts.Hang {
		e.stats.Hangs++
		return
	}
	e.addEvent(now, core.TargetFinished{
		Attempt: h.ID,
		Usage:   h.Usage,
		Digest:  job.digest,
		Blocks:  uint32(len(job.call.Blocks)) + 1,
		Length:  uint64(h.Usage.OutputTokens) * bytesPerToken,
	})
}

// addCacheEvent numbers a cache event, then delays or loses it.
func (e *Engine) addCacheEvent(now core.Instant, ev core.CacheEvent) {
	e.sequence++
	ev.Sequence = e.sequence
	if e.rng.Float64() < e.opts.EventLoss {
		e.stats.LostEvents++
		return
	}
	at := now
	if e.opts.EventLag > 0 {
		e.stats.LateEvents++
		at = at.Add(e.rng.Int64N(e.opts.EventLag))
	}
	e.addEvent(at, ev)
}
