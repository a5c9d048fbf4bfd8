// Package config defines the operators' configuration: the set that is applied
// to a deployment in one step, and the settings of one process. It contains types,
// defaults and checks only; package config/load reads files.
package config

import (
	"fmt"
	"time"
)

// Duration is a time span of zero or more, written with its unit, such as "250ms".
type Duration time.Duration

// DurationError reports a text that is not a Duration.
type DurationError struct{ Text string }

// Error quotes the text.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration with a unit", e.Text)
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

// Set is the complete configuration of one deployment, merged from all YAML files
// of a directory.
type Set struct {
	// Deployment is the name of the deployment in logs and reports.
	Deployment string `yaml:"deployment"`
	// Domains are the failure domains that VMs may name.
	Domains []Domain `yaml:"domains"`
	// Ownership sets the number of slots and replicas, and the related time limits.
	Ownership Ownership `yaml:"ownership"`
	// Pools are the groups of interchangeable targets.
	Pools []Pool `yaml:"pools"`
	// Programs are the kinds of agent program that callers may run.
	Programs []ProgramKind `yaml:"programs"`
	// Accounts are the client accounts of the callers.
	Accounts []Account `yaml:"accounts"`
	// Tools route the paths of tools and plain services to pools.
	Tools []Tool `yaml:"tools"`
}

// Domain is a failure domain of the deployment.
type Domain struct {
	// Name is the name that VMs give as their failure domain.
	Name string `yaml:"name"`
	// Region groups failure domains that are close to each other.
	Region string `yaml:"region"`
}

// Ownership sets the number of slots and replicas, and the time limits of ownership.
type Ownership struct {
	// Slots is the number of slots; it cannot change after the first apply.
	Slots uint32 `yaml:"slots"`
	// Replicas is the number of copies in addition to the owner's; zero means the default.
	Replicas int `yaml:"mirrors"`
	// Heartbeat is the period of heartbeats between entries.
	Heartbeat Duration `yaml:"heartbeat"`
	// SuspectAfter is the time without heartbeats after which a takeover is attempted.
	SuspectAfter Duration `yaml:"suspect_after"`
	// VMListLag bounds the delay until the platform's VM list shows a new VM. A VM
	// that is missing from all lists fetched over this time has ended.
	VMListLag Duration `yaml:"vm_list_lag"`
	// AnswerRetention is how long a finished call's answer is stored for retries.
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

// Pool is a group of interchangeable targets.
type Pool struct {
	// Name is the name by which sidecars, program kinds and tools refer to the pool.
	Name string `yaml:"name"`
	// Kind is the kind of the targets: model, tool or service.
	Kind PoolKind `yaml:"kind"`
	// Model is the model name that callers request; it is used only for model pools.
	Model string `yaml:"model"`
	// ChecksFence means that the targets reject commands with an outdated fencing token.
	ChecksFence bool `yaml:"checks_fence"`
	// Policy selects how calls are placed, ordered and admitted.
	Policy Policy `yaml:"policy"`
	// Retry limits the retries of calls to the pool.
	Retry Retry `yaml:"retry"`
	// Engine gives the assumed capacity and speed of a model pool's engines.
	Engine Engine `yaml:"engine"`
	// CallTimeout bounds a call from its arrival to the end of its answer.
	CallTimeout Duration `yaml:"call_timeout"`
}

// Engine gives the values that the policies assume for a model engine until the
// engine reports its own.
type Engine struct {
	// MaxBatch is the number of sequences that the engine processes at once.
	MaxBatch uint32 `yaml:"max_batch"`
	// CacheTokens is the engine's memory for sequences and cached prefixes, in
	// tokens.
	CacheTokens uint64 `yaml:"cache_tokens"`
	// PrefillRate is the rate at which prompts are processed, in tokens per second.
	PrefillRate uint64 `yaml:"prefill_tokens_per_second"`
	// StepTime is the duration of a decode step of a small batch.
	StepTime Duration `yaml:"step_time"`
}

// Policy selects the policies of a pool by name.
type Policy struct {
	// Order is the order of waiting calls: fifo, las or slack.
	Order string `yaml:"order"`
	// Placement chooses a call's target: round_robin, least_outstanding, prefix_hash,
	// two_choices or cost.
	Placement string `yaml:"placement"`
	// Admission determines when new programs are admitted: open or cache.
	Admission string `yaml:"admission"`
	// Retention determines whether a target retains a program's cached prefix while the
	// program is idle: none, always or learned.
	Retention string `yaml:"retention"`
	// Concurrency limits the calls at a target: fixed or adaptive.
	Concurrency string `yaml:"concurrency"`
	// CacheWeight is the weight of recomputed tokens relative to waiting time in
	// placement. A larger weight also lengthens the learned retention.
	CacheWeight float64 `yaml:"cache_weight"`
}

// Retry limits the retries of idempotent calls.
type Retry struct {
	// Ratio is the number of retries allowed per call, on average over time.
	Ratio float64 `yaml:"ratio"`
	// Burst is the number of retries allowed at once.
	Burst int `yaml:"burst"`
	// Backoff bounds the delay before the first retry. The bound doubles with each
	// retry; delays have full jitter.
	Backoff Duration `yaml:"backoff"`
}

// ProgramKind declares a kind of agent program and its limits.
type ProgramKind struct {
	// Name is the program kind that callers name in their requests.
	Name string `yaml:"name"`
	// Pools are the pools that the programs may use.
	Pools []string `yaml:"pools"`
	// BudgetTokens is the token budget of a program that requests none, and the
	// largest budget that a program may request.
	BudgetTokens uint64 `yaml:"budget_tokens"`
	// MaxTurns bounds the model calls of a program; it stops endless loops.
	MaxTurns uint32 `yaml:"max_turns"`
	// MaxDepth bounds the number of ancestors of a sub-agent.
	MaxDepth int `yaml:"max_depth"`
	// MaxAge bounds the time since a program's first call.
	MaxAge Duration `yaml:"max_age"`
	// MaxIdle is the time without a call after which a program is ended.
	MaxIdle Duration `yaml:"max_idle"`
	// Deadline is the intended latency of a complete program. The order slack
	// derives a call's slack from it.
	Deadline Duration `yaml:"deadline"`
	// Objectives are the service-level objectives that report burn evaluates.
	Objectives []Objective `yaml:"objectives"`
}

// Objective is a service-level objective.
type Objective struct {
	// Measure is program_latency, first_token, between_tokens, wasted_cache or
	// refused.
	Measure string `yaml:"measure"`
	// Below is the longest time of a good event, for measures of time.
	Below Duration `yaml:"below"`
	// Share is the share of events that must be good, such as 0.95.
	Share float64 `yaml:"share"`
}

// Account is a client account: an API key, with the programs and limits of its callers.
type Account struct {
	// Name is the account's name in metrics, logs and reports.
	Name string `yaml:"name"`
	// KeySHA256 is the hexadecimal SHA-256 digest of the account's API key.
	KeySHA256 string `yaml:"key_sha256"`
	// Programs are the kinds of program that the account may run.
	Programs []string `yaml:"programs"`
	// BudgetTokens is the account's total token budget; zero means that none is set.
	BudgetTokens uint64 `yaml:"budget_tokens"`
	// Weight is the account's share under overload, relative to other accounts.
	Weight float64 `yaml:"weight"`
	// MaxPrograms bounds the programs in progress at one entry; zero means no bound.
	MaxPrograms int `yaml:"max_programs"`
}

// Tool routes calls to a tool or plain service: those whose path begins with
// Prefix go to Pool.
type Tool struct {
	// Name is the tool's name in metrics and logs.
	Name string `yaml:"name"`
	// Prefix is the path prefix of the tool's calls.
	Prefix string `yaml:"prefix"`
	// Pool holds the tool's targets.
	Pool string `yaml:"pool"`
	// NonIdempotent lists the HTTP methods whose calls must not be repeated.
	NonIdempotent []string `yaml:"non_idempotent"`
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout Duration `yaml:"timeout"`
}

// Pool returns the pool with the given name, or nil.
func (s *Set) Pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// ProgramKind returns the program kind with the given name, or nil.
func (s *Set) ProgramKind(name string) *ProgramKind {
	for i := range s.Programs {
		if s.Programs[i].Name == name {
			return &s.Programs[i]
		}
	}
	return nil
}

// Account returns the account with the given name, or nil.
func (s *Set) Account(name string) *Account {
	for i := range s.Accounts {
		if s.Accounts[i].Name == name {
			return &s.Accounts[i]
		}
	}
	return nil
}
