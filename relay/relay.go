// Package relay forwards callers' requests to targets: it routes them, checks token
// budgets, assembles stored conversations, chooses targets, and forwards answers and
// streams to the callers.
package relay

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
	"github.com/rhubarbsaddle/rhubarbsaddle/quota"
	"github.com/rhubarbsaddle/rhubarbsaddle/resource"
)

// Part is one part of a prompt.
type Part = fleet.Part

// Load is the load that a target reports.
type Load = fleet.Load

// Limit is a target's limit of requests per second.
type Limit = fleet.Limit

// Call is a request as described by the caller's headers.
type Call struct {
	// ID identifies the request. A caller that retries uses a new one.
	ID string
	// TimeLeft is how long the caller will wait for the answer; zero if it is not
	// given.
	TimeLeft time.Duration
	// Credentials are those that the caller sent, and Key the key of a client account among
	// them; empty if there is none.
	Credentials string
	Key         string
	// Program and Session identify the program and the session that the call is part
	// of.
	Program string
	Session string
	// BudgetTokens is how many tokens all turns of the program together may
	// generate; negative if the program has no budget.
	BudgetTokens int
	// ObjectiveLeft is the time until the program should be finished; it is negative after
	// that. It is only known if HasObjective is set.
	HasObjective  bool
	ObjectiveLeft time.Duration
	// PromptTokens is the size of the prompt, MaxTokens the most tokens that the call
	// may generate.
	PromptTokens int
	MaxTokens    int
	// Previous is the id of the turn that this one continues.
	Previous string
	// PromptParts are the parts of the prompt, in order.
	PromptParts []Part
	// AffinityKey names the object that the request concerns, or is empty.
	AffinityKey string
	// ResumeAfter is the id of the last event that the caller has received of an
	// interrupted stream.
	ResumeAfter string
	// Resumes is the id of the request that brought the first event of that stream.
	Resumes string
}

// storable reports whether the call's ids are valid UTF-8, which the ledger requires, and can
// be qualified by an account.
func (c *Call) storable() bool {
	for _, id := range []string{c.ID, c.Program, c.Previous} {
		if !utf8.ValidString(id) || !isScopable(id) {
			return false
		}
	}
	return true
}

// TargetResponse is a target's response as described by its headers.
type TargetResponse struct {
	// RequestID identifies the request that the response belongs to.
	RequestID string
	// NotExecuted means that the target did not execute the call and never will.
	NotExecuted bool
	// IsUnsigned means that the response is a success without the signature that targets add to each,
	// so its bytes are not as the target meant them.
	IsUnsigned bool
	// IsLeaving means that the target is shutting down and must get no further calls.
	IsLeaving bool
	Load      Load
	HasLoad   bool
	// Limit is the limit that the target names. BadLimit means that it names one that
	// cannot be read.
	Limit    Limit
	BadLimit bool
	// IdleTimeout is how long the target keeps an idle connection open; zero if it is
	// not given.
	IdleTimeout time.Duration
}

// Dialect translates the headers of requests and responses.
type Dialect interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(http.Header) Call
	// ForwardHeader returns the caller's headers that are forwarded to the target.
	ForwardHeader(http.Header) http.Header
	// SetAccount replaces the credentials in the headers of a request by the name of the
	// caller's client account, or by nothing if the name is empty.
	SetAccount(h http.Header, name string)
	// SetAttempt sets the headers of one attempt at a target.
	SetAttempt(h http.Header, target string, timeLeft time.Duration, resumeAfter string)
	// ReadResponse reads the headers of a target's response.
	ReadResponse(status int, h http.Header) TargetResponse
	// ResponseHeader returns the target's headers that are forwarded to the caller.
	ResponseHeader(http.Header) http.Header
}

// Ledger durably stores the spending and the turns of programs.
type Ledger interface {
	// Append stores records durably and returns the spending of the programs that the
	// reservations among them belong to.
	Append(ctx context.Context, records ...*ledgerpb.Record) (*ledger.Spending, error)
	// ReadChain returns the text of a turn and all turns before it. If that is longer than
	// maxBytes, the error is a *quorum.ChainTooLongError with the size that is known so far, which
	// exceeds maxBytes.
	ReadChain(ctx context.Context, turn string, maxBytes int) ([]byte, error)
	// HasQuorum reports whether a quorum can be reached.
	HasQuorum() bool
	// AwaitQuorum waits until a quorum can be reached or ctx ends, and reports whether
	// a quorum can be reached.
	AwaitQuorum(ctx context.Context) bool
}

// Permits grants the permits for requests to targets with a rate limit, which count the
// requests of all processes.
type Permits interface {
	// AcquirePermit asks for the permit to send one request within maxWait. The target is
	// given by the hash of its key.
	AcquirePermit(ctx context.Context, target uint64, perSecond float64, maxWait time.Duration) (loadboard.Permit, error)
}

// Relay is the HTTP handler of callers' requests.
type Relay struct {
	dialect  Dialect
	ledger   Ledger
	permits  Permits
	domain   string
	log      *log.Logger
	metrics  *Metrics
	pool     *pool
	logQuota logQuota
	disabled mechanism.Set
	// failovers limits the plain requests that fail over to another target because of
	// a timeout.
	failovers *rate.Limiter

	config atomic.Pointer[catalog.Config]
	// configured is closed once there is a configuration.
	configured    chan struct{}
	configureOnce sync.Once
	// ledgerAvailableAt is when the ledger was last seen available, in nanoseconds
	// since startedAt.
	ledgerAvailableAt atomic.Int64
	ledgerDelay       ledgerDelay
	startedAt         time.Time
	// shutdown is set once the process has begun to shut down. The context ending is canceled by
	// end when requests that have no answer yet are to be ended.
	shutdown atomic.Pointer[Shutdown]
	ending   context.Context
	end      context.CancelFunc
	// shedding is set while callers are to reconnect to other entries.
	shedding atomic.Bool
	active   atomic.Int64

	// informed is closed by the first call of RecordOthers.
	informed   chan struct{}
	inform     sync.Once
	awaitFacts bool

	// loadChanged receives a value when the calls in flight have changed or a turn arrives
	// that will need a target.
	loadChanged chan struct{}

	maxChainBytes int

	quotas     accountQuotas
	refusalLog refusalLog

	mu       sync.Mutex
	fleet    *fleet.Fleet
	suspects suspects
}

// Options configure a Relay.
type Options struct {
	Dialect Dialect
	Ledger  Ledger
	Permits Permits
	Quotas  Quotas
	// Domain is the failure domain of this process, and VM the name by which boards know it.
	Domain  string
	VM      string
	Log     *log.Logger
	Metrics *Metrics
	// Seed determines the order among equal targets.
	Seed uint64
	// Disabled is empty except in experiments.
	Disabled mechanism.Set
	// MaxChainBytes bounds a chain of stored turns with the turn that continues it; 0 means
	// DefaultMaxChainBytes. A body within the configured limit is allowed in any case.
	MaxChainBytes int
	// MaxIdleTargetConns bounds the idle connections to targets that are kept; 0 means no bound.
	MaxIdleTargetConns int
	// AwaitFacts makes requests shortly after the start wait for the first call of
	// RecordOthers.
	AwaitFacts bool
}

// New returns a relay that refuses all requests until Update has given it a
// configuration.
func New(o Options) *Relay {
	ending, end := context.WithCancel(context.Background())
	return &Relay{
		ending: ending, end: end,
		dialect: o.Dialect, ledger: o.Ledger, permits: o.Permits, domain: o.Domain, log: o.Log, metrics: o.Metrics,
		pool: newPool(o.Metrics, o.MaxIdleTargetConns), fleet: fleet.New(o.Seed, o.Disabled), startedAt: time.Now(),
		failovers: newFailoverLimiter(o.Disabled), disabled: o.Disabled, loadChanged: make(chan struct{}, 1), suspects: newSuspects(),
		configured: make(chan struct{}), informed: make(chan struct{}), awaitFacts: o.AwaitFacts,
		maxChainBytes: cmp.Or(o.MaxChainBytes, DefaultMaxChainBytes),
		quotas:        accountQuotas{board: o.Quotas, holder: quota.New(o.Seed), process: o.VM},
	}
}

// Update applies a configuration and the registered targets. It ignores a snapshot
// without a configuration.
func (r *Relay) Update(s discovery.Snapshot) {
	if s.Config == nil {
		return
	}
	r.mu.Lock()
	r.fleet.Update(s.Targets, s.Config.Services)
	r.mu.Unlock()
	r.config.Store(s.Config)
	r.configureOnce.Do(func() { close(r.configured) })
	r.pool.closeExcept(s.Targets)
}

// awaitConfig returns the configuration in force, or nil if there is none. In the first
// configGracePeriod of the process it waits for one: a caller that is refused in the milliseconds
// until then loses the retry and more time. It waits for at most a share of the caller's time.
func (r *Relay) awaitConfig(ctx context.Context, callerTime time.Duration) *catalog.Config {
	if config := r.config.Load(); config != nil {
		return config
	}
	wait := min(configGracePeriod-time.Since(r.startedAt), callerTime/retryTimeDivisor)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.config.Load()
}

// HasConfig reports whether Update has applied a configuration.
func (r *Relay) HasConfig() bool { return r.config.Load() != nil }

// LedgerUnavailableFor returns how long the ledger has been unavailable; zero if it
// is available.
func (r *Relay) LedgerUnavailableFor() time.Duration {
	now := time.Since(r.startedAt)
	if r.ledger.HasQuorum() {
		r.ledgerAvailableAt.Store(int64(now))
		return 0
	}
	return now - time.Duration(r.ledgerAvailableAt.Load())
}

// LedgerDelay returns the moving average of how long turns wait for the ledger.
func (r *Relay) LedgerDelay(now time.Time) time.Duration { return r.ledgerDelay.get(now) }

// SetShedding enables or disables shedding. While it is enabled, the relay
// closes callers' connections after each answer, so that callers reconnect to
// other entries.
func (r *Relay) SetShedding(shedding bool) { r.shedding.Store(shedding) }

// Active returns the number of requests in flight.
func (r *Relay) Active() int64 { return r.active.Load() }

// Limits returns the limits of the configuration, or zero limits while there is none.
func (r *Relay) Limits() catalog.Limits {
	if c := r.config.Load(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// Sweep closes pooled connections that have been idle for too long, returns unused grants of
// quotas and forgets requests that have crashed no target for long.
func (r *Relay) Sweep(now time.Time) {
	r.pool.sweep(now)
	r.sweepQuotas(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.tracker.Expire(now)
}

// ServeHTTP forwards one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	e := &exchange{relay: r, w: w, req: req, arrived: time.Now(), beforeSend: sendAtOnce}
	e.memory.holder = resource.FromContext(req.Context())
	e.serve()
}

// pickTarget chooses a target and records the start of an attempt at it, unless the attempt
// needs a permit first.
func (r *Relay) pickTarget(q fleet.Query) (fleet.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	choice, ok := r.fleet.Pick(q, now)
	if ok && !choice.Limit.IsLimited {
		r.start(&choice, q, now)
	}
	return choice, ok
}

// start records the start of an attempt at the chosen target. Mu must be held.
func (r *Relay) start(choice *fleet.Choice, q fleet.Query, now time.Time) {
	r.fleet.RecordStart(choice.Target.TargetKey, q.Prompt, now)
	choice.Call = r.fleet.StartCall(*choice, q, now)
	r.signalLoadChange()
}

// LoadChanged returns a channel that receives a value when the calls in flight should be
// exchanged with other processes.
func (r *Relay) LoadChanged() <-chan struct{} { return r.loadChanged }

func (r *Relay) signalLoadChange() {
	select {
	case r.loadChanged <- struct{}{}:
	default:
	}
}

// LoadReport returns what other processes should know of this one's load.
func (r *Relay) LoadReport() loadboard.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	own := r.fleet.LoadReport(now)
	own.Facts, own.Position = r.suspects.report(now)
	return own
}

// RecordOthers records the load of all other processes.
func (r *Relay) RecordOthers(others loadboard.Summary) {
	now := time.Now()
	r.recordProcesses(others.Processes, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordOthers(others, now)
	r.recordFacts(others, now)
	r.inform.Do(func() { close(r.informed) })
}

// hasTarget reports whether a target is available for a call.
func (r *Relay) hasTarget(q fleet.Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.fleet.Pick(q, time.Now())
	return ok
}

// recordLoad records the load that a target reports with a response.
func (r *Relay) recordLoad(key catalog.TargetKey, response TargetResponse) {
	if !response.HasLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordLoad(key, response.Load, time.Now())
}

// recordEvent records that an event of a stream has arrived.
func (r *Relay) recordEvent(call *fleet.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordEvent(call, time.Now())
}

// recordFirstEvent records how long a target took to send the first event.
func (r *Relay) recordFirstEvent(service string, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordFirstEvent(service, delay)
}

// recordStall records that a target has sent nothing for the stall limit.
func (r *Relay) recordStall(key catalog.TargetKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordStall(key, time.Now())
	r.signalLoadChange()
}

// stallLimit returns the time without a first event after which a target counts as stalled.
func (r *Relay) stallLimit(service string, objective time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.StallLimit(service, objective)
}

// recordLeaving records that a target announced its shutdown in a response.
func (r *Relay) recordLeaving(target catalog.Target) {
	r.mu.Lock()
	isNew := r.fleet.RecordLeaving(target.TargetKey)
	r.mu.Unlock()
	if isNew {
		r.log.Info().Str("event", "target_leaving").Str("target", target.ID).Str("peer", target.Addr).Msg("the target announced its shutdown; it gets no further calls")
	}
}

// recordEnd records how an attempt at the chosen target ended and how long it took.
func (r *Relay) recordEnd(choice fleet.Choice, outcome fleet.Outcome, duration time.Duration) {
	r.mu.Lock()
	now := time.Now()
	relativeError, ok := r.fleet.EndCall(choice.Call, outcome, now)
	r.fleet.RecordEnd(choice.Target.TargetKey, outcome, duration, now)
	r.mu.Unlock()
	if ok {
		r.metrics.predictionError.Observe(relativeError)
	}
	r.signalLoadChange()
}

// admit decides whether a new program may start.
func (r *Relay) admit(p fleet.Program) fleet.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Admit(p, time.Now())
}

// recordObjective records the outcome of an objective.
func (r *Relay) recordObjective(service string, outcome fleet.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordObjective(service, outcome, time.Now())
}

// expectedDuration returns how long a call of a service takes on average; zero if that is
// not known.
func (r *Relay) expectedDuration(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.ExpectedDuration(service)
}

// shortestDuration returns the duration that few calls of a service stay below; zero if that is
// not known.
func (r *Relay) shortestDuration(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.ShortestDuration(service)
}

// accountRetryAfter returns the time after which a refused program of an account should be
// tried again.
func (r *Relay) accountRetryAfter(service string, account uint64, usable time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.AccountRetryAfter(service, account, usable, time.Now())
}

func (r *Relay) retryAfter(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.RetryAfter(service, time.Now())
}
