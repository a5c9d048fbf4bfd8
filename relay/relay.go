// Package relay forwards callers' requests to targets: it routes them, checks
// budgets, assembles kept conversations, chooses targets, and carries answers and
// streams back.
package relay

import (
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
)

// Part is one part of a prompt.
type Part = fleet.Part

// Load is what a target tells of its load.
type Load = fleet.Load

// Call is what a caller says of its request.
type Call struct {
	// ID identifies the request; each attempt of a caller has its own.
	ID string
	// TimeLeft is how long the caller will wait; zero if it does not say.
	TimeLeft time.Duration
	// Program and Session are the program that the call is part of and its line of
	// turns.
	Program string
	Session string
	// BudgetTokens is what all turns of the program may generate; negative if the
	// call has no budget.
	BudgetTokens int
	// PromptTokens and MaxTokens are the prompt's size and the most tokens that
	// the call may generate.
	PromptTokens int
	MaxTokens    int
	// Previous is the id of the turn that this one continues.
	Previous string
	// PromptParts are the parts of the prompt, in order.
	PromptParts []Part
	// ResumeAfter is the last event of a broken stream that the caller has.
	ResumeAfter string
}

// storable says whether the call's ids are text that the ledger can store.
func (c *Call) storable() bool {
	return utf8.ValidString(c.ID) && utf8.ValidString(c.Program) && utf8.ValidString(c.Previous)
}

// Answer is what a target says with its answer.
type Answer struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// NotExecuted says that the target did not run the call and never will.
	NotExecuted bool
	Load        Load
	HasLoad     bool
	// IdleTimeout is how long the target keeps an idle connection; zero if it does
	// not say.
	IdleTimeout time.Duration
}

// Dialect translates the headers of calls and answers.
type Dialect interface {
	// ReadCall reads what a caller says of its request.
	ReadCall(http.Header) Call
	// ForwardHeader returns the caller's headers that go to the target.
	ForwardHeader(http.Header) http.Header
	// SetAttempt sets the headers of one attempt at a target.
	SetAttempt(h http.Header, target string, left time.Duration, resumeAfter string)
	// ReadAnswer reads what a target says with its answer.
	ReadAnswer(status int, h http.Header) Answer
	// AnswerHeader returns the target's headers that go to the caller.
	AnswerHeader(http.Header) http.Header
}

// Ledger keeps what programs must not lose.
type Ledger interface {
	// Append stores records durably and returns the spending of the programs of
	// the reservations among them.
	Append(ctx context.Context, records ...*ledgerpb.Record) (*ledger.Spending, error)
	// ReadChain returns the text of a turn and all before it.
	ReadChain(ctx context.Context, turn string) ([]byte, error)
	// HasQuorum says whether a quorum can be reached.
	HasQuorum() bool
	// AwaitQuorum waits until a quorum can be reached and reports whether it can.
	AwaitQuorum(ctx context.Context) bool
}

// Relay is the handler of callers' requests.
type Relay struct {
	dialect Dialect
	ledger  Ledger
	domain  string
	log     *log.Logger
	metrics *Metrics
	pool    *pool
	turns   *turnCache
	quota   lineQuota
	// silent bounds the attempts that are given up for their silence.
	silent *rate.Limiter

	config atomic.Pointer[catalog.Config]
	// ledgerSeen is when the ledger was last within reach, in nanoseconds since
	// began.
	ledgerSeen atomic.Int64
	began      time.Time
	// stopping is set while the process ends.
	stopping atomic.Bool
	// shedding is set while callers are better served by other entries.
	shedding atomic.Bool
	active   atomic.Int64

	mu    sync.Mutex
	fleet *fleet.Fleet
}

// Options set up a Relay.
type Options struct {
	Dialect Dialect
	Ledger  Ledger
	// Domain is the failure domain of this process.
	Domain  string
	Log     *log.Logger
	Metrics *Metrics
	// CacheBytes bounds the kept turns that are held in memory.
	CacheBytes int
	// Seed sets the order among equal targets.
	Seed uint64
}

// New returns a relay that refuses all requests until Update gives it a
// configuration.
func New(o Options) *Relay {
	return &Relay{
		dialect: o.Dialect, ledger: o.Ledger, domain: o.Domain, log: o.Log, metrics: o.Metrics,
		pool: newPool(o.Metrics), turns: newTurnCache(o.CacheBytes), fleet: fleet.New(o.Seed), began: time.Now(),
		silent: newSilenceBudget(),
	}
}

// Update takes a newer configuration and the targets that count.
func (r *Relay) Update(s discovery.Snapshot) {
	if s.Config == nil {
		return
	}
	r.mu.Lock()
	r.fleet.Update(s.Targets, s.Config.Services)
	r.mu.Unlock()
	r.config.Store(s.Config)
	r.pool.keepOnly(s.Targets)
}

// HasConfig says whether a configuration is in force and targets are known.
func (r *Relay) HasConfig() bool { return r.config.Load() != nil }

// LedgerUnavailableFor returns how long the ledger has been out of reach; zero if it is
// not.
func (r *Relay) LedgerUnavailableFor() time.Duration {
	now := time.Since(r.began)
	if r.ledger.HasQuorum() {
		r.ledgerSeen.Store(int64(now))
		return 0
	}
	return now - time.Duration(r.ledgerSeen.Load())
}

// DisableKeepAlives makes answers end their connections.
func (r *Relay) DisableKeepAlives() { r.stopping.Store(true) }

// SetShedding makes answers end their connections, or not, so that callers come
// back at other entries.
func (r *Relay) SetShedding(shedding bool) { r.shedding.Store(shedding) }

// Active returns the number of requests under way.
func (r *Relay) Active() int64 { return r.active.Load() }

// Limits returns the operators' limits, or none while they are not known.
func (r *Relay) Limits() catalog.Limits {
	if c := r.config.Load(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// Sweep closes pooled connections that have been idle for too long.
func (r *Relay) Sweep(now time.Time) { r.pool.sweep(now) }

// ServeHTTP forwards one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.stopping.Load() || r.shedding.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{relay: r, w: w, req: req, arrived: time.Now()}
	e.serve()
}

// pick chooses a target.
func (r *Relay) pick(q fleet.Query) (fleet.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	choice, ok := r.fleet.Pick(q, now)
	if ok {
		r.fleet.RecordStart(choice.Target.TargetKey, q.Prompt, now)
	}
	return choice, ok
}

// hasTarget says whether a target would take a call.
func (r *Relay) hasTarget(q fleet.Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.fleet.Pick(q, time.Now())
	return ok
}

// told records a target's load.
func (r *Relay) told(key catalog.TargetKey, answer Answer) {
	if !answer.HasLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordLoad(key, answer.Load, time.Now())
}

// ended records how an attempt ended.
func (r *Relay) ended(key catalog.TargetKey, outcome fleet.Outcome, ran time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.RecordEnd(key, outcome, ran, time.Now())
}

// admits says whether a program may begin.
func (r *Relay) admits(service string, priority int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Admits(service, priority, time.Now())
}

func (r *Relay) retryAfter(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.RetryAfter(service, time.Now())
}
