// Package config defines the operators' configuration: the set that is applied
// as a whole to a deployment, and the settings of one process. It holds types,
// defaults and checks only; package config/load reads files.
package config

import (
	"fmt"
	"time"
)

// Duration is a length of time written with its unit, such as "250ms".
type Duration time.Duration

// DurationError says that a text is no duration of zero or more with a unit.
type DurationError struct{ Text string }

// Error names the text.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is no duration with a unit", e.Text)
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Nanos returns the duration in nanoseconds.
func (d Duration) Nanos() int64 { return int64(d) }

// Set is a whole configuration of one deployment. All files of a directory
// together make one set.
type Set struct {
	// Deployment names the whole; it stands in logs and reports.
	Deployment string `yaml:"deployment"`
	// Domains are the failure domains that VMs may name.
	Domains []Domain `yaml:"domains"`
	// Ownership sizes slots, mirrors and their time limits.
	Ownership Ownership `yaml:"ownership"`
	// Pools are the targets by what they can do.
	Pools []Pool `yaml:"pools"`
	// Programs are the kinds of agent program that are hosted.
	Programs []ProgramKind `yaml:"programs"`
	// Accounts are the callers.
	Accounts []Account `yaml:"accounts"`
	// Tools route the paths of tool and plain services to pools.
	Tools []Tool `yaml:"tools"`
}

// Domain is a failure domain of the deployment.
type Domain struct {
	// Name is what VMs give as their failure domain.
	Name string `yaml:"name"`
	// Region groups failure domains that lie close to each other.
	Region string `yaml:"region"`
}

// Ownership sizes the slots and the time limits of their owners.
type Ownership struct {
	// Slots is the fixed number of slots; it cannot change once applied.
	Slots uint32 `yaml:"slots"`
	// Replicas is the number of copies beside the home; zero means the default.
	Replicas int `yaml:"mirrors"`
	// Heartbeat is the period of heartbeats between entries.
	Heartbeat Duration `yaml:"heartbeat"`
	// SuspectAfter is the silence after which a takeover is attempted.
	SuspectAfter Duration `yaml:"suspect_after"`
	// VMListLag bounds how late the platform's VM list shows a new VM. A VM that
	// readings over this time lack has ended.
	VMListLag Duration `yaml:"vm_list_lag"`
	// AnswerRetention is how long a finished call's answer is kept for retries.
	AnswerRetention Duration `yaml:"answer_retention"`
}

// PoolKind names the kind of target in a pool.
type PoolKind string

// Kinds of pool.
const (
	PoolModel   PoolKind = "model"
	PoolTool    PoolKind = "tool"
	PoolService PoolKind = "service"
)

// Pool is a set of interchangeable targets.
type Pool struct {
	// Name is what sidecars, program kinds and tools refer to.
	Name string `yaml:"name"`
	// Kind of the targets: model, tool or service.
	Kind PoolKind `yaml:"kind"`
	// Model is the model name that callers give; for model pools.
	Model string `yaml:"model"`
	// ChecksFence says that the targets refuse orders with an old fencing number.
	ChecksFence bool `yaml:"checks_fence"`
	// Policy chooses how calls are placed, ordered and admitted.
	Policy Policy `yaml:"policy"`
	// Retry limits the retries of calls to the pool.
	Retry Retry `yaml:"retry"`
	// Engine gives the sizes of a model pool's engines.
	Engine Engine `yaml:"engine"`
	// CallTimeout bounds a call from its arrival to the end of its answer.
	CallTimeout Duration `yaml:"call_timeout"`
}

// Engine gives what the policies assume of a model engine until it reports.
type Engine struct {
	// MaxBatch is the number of sequences that the engine computes at once.
	MaxBatch uint32 `yaml:"max_batch"`
	// CacheTokens is the engine's memory for sequences and cached prefixes, in
	// tokens.
	CacheTokens uint64 `yaml:"cache_tokens"`
	// PrefillRate is the rate at which prompts are computed.
	PrefillRate uint64 `yaml:"prefill_tokens_per_second"`
	// StepTime is the time of a decode step of a small batch.
	StepTime Duration `yaml:"step_time"`
}

// Policy chooses the policies of a pool by name.
type Policy struct {
	// Order of waiting calls: fifo, las, slack.
	Order string `yaml:"order"`
	// Placement: round_robin, least_outstanding, prefix_hash, two_choices, cost.
	Placement string `yaml:"placement"`
	// Admission of new programs: open, cache.
	Admission string `yaml:"admission"`
	// Retention of a program's cache over pauses: none, always, learned.
	Retention string `yaml:"retention"`
	// Concurrency at a target: fixed, adaptive.
	Concurrency string `yaml:"concurrency"`
	// CacheWeight scales recomputed tokens against waiting in placement, and
	// lengthens the learned retention.
	CacheWeight float64 `yaml:"cache_weight"`
}

// Retry limits the retries of idempotent calls.
type Retry struct {
	// Ratio is the number of retries allowed per call, over time.
	Ratio float64 `yaml:"ratio"`
	// Burst is the number of retries allowed at once.
	Burst int `yaml:"burst"`
	// Backoff bounds the first wait; later ones double, with full jitter.
	Backoff Duration `yaml:"backoff"`
}

// ProgramKind declares an agent program and its limits.
type ProgramKind struct {
	// Name is what callers give as the program's kind.
	Name string `yaml:"name"`
	// Pools are those that the programs may use.
	Pools []string `yaml:"pools"`
	// BudgetTokens is the budget of a program that sets none of its own, and the
	// most that one may set.
	BudgetTokens uint64 `yaml:"budget_tokens"`
	// MaxTurns bounds the model calls of a program; it stops loops.
	MaxTurns uint32 `yaml:"max_turns"`
	// MaxDepth bounds the ancestors of a sub-agent.
	MaxDepth int `yaml:"max_depth"`
	// MaxAge bounds the time from a program's first call.
	MaxAge Duration `yaml:"max_age"`
	// MaxIdle is the time without a call after which a program is ended.
	MaxIdle Duration `yaml:"max_idle"`
	// Deadline is the whole-program latency aimed at; it orders calls by slack.
	Deadline Duration `yaml:"deadline"`
	// Objectives are the service levels that report burn measures.
	Objectives []Objective `yaml:"objectives"`
}

// Objective is a service-level objective.
type Objective struct {
	// Measure: program_latency, first_token, between_tokens, wasted_cache, refused.
	Measure string `yaml:"measure"`
	// Below is the bound of a good event, for the measures of time.
	Below Duration `yaml:"below"`
	// Share of the events that must be good, such as 0.95.
	Share float64 `yaml:"share"`
}

// Account is a client account.
type Account struct {
	// Name is what metrics, logs and reports call the account.
	Name string `yaml:"name"`
	// KeySHA256 is the hexadecimal SHA-256 digest of the account's API key.
	KeySHA256 string `yaml:"key_sha256"`
	// Programs are the kinds of program that the account may run.
	Programs []string `yaml:"programs"`
	// BudgetTokens is the account's whole budget; zero means none is set.
	BudgetTokens uint64 `yaml:"budget_tokens"`
	// Weight is the account's share under overload, against other accounts.
	Weight float64 `yaml:"weight"`
	// MaxPrograms bounds the programs under way at one entry; zero: no bound.
	MaxPrograms int `yaml:"max_programs"`
}

// Tool is a route of a tool or plain service: calls whose path begins with
// Prefix go to Pool.
type Tool struct {
	// Name is what metrics and logs call the tool.
	Name string `yaml:"name"`
	// Prefix begins the paths of the tool's calls.
	Prefix string `yaml:"prefix"`
	// Pool holds the tool's targets.
	Pool string `yaml:"pool"`
	// NonIdempotent lists the methods whose calls must not be repeated.
	NonIdempotent []string `yaml:"non_idempotent"`
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout Duration `yaml:"timeout"`
}

// Pool returns the pool with a name, or nil.
func (s *Set) Pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// ProgramKind returns the program kind with a name, or nil.
func (s *Set) ProgramKind(name string) *ProgramKind {
	for i := range s.Programs {
		if s.Programs[i].Name == name {
			return &s.Programs[i]
		}
	}
	return nil
}

// Account returns the account with a name, or nil.
func (s *Set) Account(name string) *Account {
	for i := range s.Accounts {
		if s.Accounts[i].Name == name {
			return &s.Accounts[i]
		}
	}
	return nil
}
