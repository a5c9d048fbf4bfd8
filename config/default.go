package config

import (
	"slices"
	"time"
)

// Default values of the fields of a Set.
const (
	DefaultSlots           = 64
	DefaultReplicas        = 2
	DefaultHeartbeat       = Duration(500 * time.Millisecond)
	DefaultSuspectAfter    = Duration(2 * time.Second)
	DefaultVMListLag       = Duration(30 * time.Second)
	DefaultAnswerRetention = Duration(5 * time.Minute)
	DefaultCallTimeout     = Duration(2 * time.Minute)
	DefaultRetryRatio      = 0.1
	DefaultRetryBurst      = 10
	DefaultRetryBackoff    = Duration(50 * time.Millisecond)
	DefaultMaxTurns        = 100
	DefaultMaxDepth        = 3
	DefaultMaxAge          = Duration(24 * time.Hour)
	DefaultMaxIdle         = Duration(time.Hour)
	DefaultAccountWeight   = 1
	DefaultCacheWeight     = 16
)

// Default values of the fields of a process's settings.
const (
	DefaultStoreTimeout = Duration(2 * time.Second)
	DefaultVMListPeriod = Duration(time.Second)
	DefaultBodyBytes    = 8 << 20
	DefaultHeaderBytes  = 64 << 10
	DefaultReadTimeout  = Duration(30 * time.Second)
	DefaultLogLevel     = "info"
)

// orDefault returns v, or def if v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// ApplyDefaults fills the unset fields of a set.
func (s *Set) ApplyDefaults() {
	s.Ownership.applyDefaults()
	for i := range s.Pools {
		s.Pools[i].applyDefaults()
	}
	for i := range s.Programs {
		s.Programs[i].applyDefaults()
	}
	for i := range s.Accounts {
		s.Accounts[i].Weight = orDefault(s.Accounts[i].Weight, DefaultAccountWeight)
	}
	for i := range s.Tools {
		s.Tools[i].Timeout = orDefault(s.Tools[i].Timeout, DefaultCallTimeout)
	}
}

func (o *Ownership) applyDefaults() {
	o.Slots = orDefault(o.Slots, DefaultSlots)
	o.Heartbeat = orDefault(o.Heartbeat, DefaultHeartbeat)
	o.SuspectAfter = orDefault(o.SuspectAfter, DefaultSuspectAfter)
	o.VMListLag = orDefault(o.VMListLag, DefaultVMListLag)
	o.AnswerRetention = orDefault(o.AnswerRetention, DefaultAnswerRetention)
	o.Replicas = orDefault(o.Replicas, DefaultReplicas)
}

func (p *Pool) applyDefaults() {
	p.Policy.Order = orDefault(p.Policy.Order, "las")
	p.Policy.Placement = orDefault(p.Policy.Placement, "cost")
	p.Policy.Admission = orDefault(p.Policy.Admission, p.defaultAdmission())
	p.Policy.Retention = orDefault(p.Policy.Retention, "learned")
	p.Policy.Concurrency = orDefault(p.Policy.Concurrency, "adaptive")
	p.Policy.CacheWeight = orDefault(p.Policy.CacheWeight, DefaultCacheWeight)
	p.Retry.Ratio = orDefault(p.Retry.Ratio, DefaultRetryRatio)
	p.Retry.Burst = orDefault(p.Retry.Burst, DefaultRetryBurst)
	p.Retry.Backoff = orDefault(p.Retry.Backoff, DefaultRetryBackoff)
	p.CallTimeout = orDefault(p.CallTimeout, DefaultCallTimeout)
}

// defaultAdmission returns "cache" for a model pool whose placement sends a program's
// calls to the target that caches its prefix, and "open" for any other pool.
func (p *Pool) defaultAdmission() string {
	if p.Kind == PoolModel && slices.Contains(affinityPlacements, p.Policy.Placement) {
		return "cache"
	}
	return "open"
}

func (k *ProgramKind) applyDefaults() {
	k.MaxTurns = orDefault(k.MaxTurns, DefaultMaxTurns)
	k.MaxDepth = orDefault(k.MaxDepth, DefaultMaxDepth)
	k.MaxAge = orDefault(k.MaxAge, DefaultMaxAge)
	k.MaxIdle = orDefault(k.MaxIdle, DefaultMaxIdle)
}

// ApplyDefaults fills the unset fields of a process's settings.
func (n *Node) ApplyDefaults() {
	n.Store.Timeout = orDefault(n.Store.Timeout, DefaultStoreTimeout)
	n.VMList.Period = orDefault(n.VMList.Period, DefaultVMListPeriod)
	n.Log.Level = orDefault(n.Log.Level, DefaultLogLevel)
	if n.Role == "sidecar" {
		n.Target.Kind = orDefault(n.Target.Kind, PoolModel)
	}
	n.Limits.BodyBytes = orDefault(n.Limits.BodyBytes, DefaultBodyBytes)
	n.Limits.HeaderBytes = orDefault(n.Limits.HeaderBytes, DefaultHeaderBytes)
	n.Limits.ReadTimeout = orDefault(n.Limits.ReadTimeout, DefaultReadTimeout)
}
