package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	defaultHeartbeat       = 100 * core.Millisecond
	defaultSuspectAfter    = 1 * core.Second
	defaultListLag         = 30 * core.Second
	defaultAnswerRetention = 10 * core.Minute
	defaultCallTimeout     = 10 * core.Minute
	defaultIdle            = 1 * core.Hour
	defaultAge             = 24 * core.Hour
	defaultSlots           = 64

	// noTargetTimeout bounds how long a call waits while its pool has no usable
	// target.
	noTargetTimeout = 2 * core.Second
	// sequenceGapTimeout bounds how long a call waits for an earlier sequence
	// number, and how long a call that was rebuilt from its record waits to be
	// forwarded again.
	sequenceGapTimeout = 10 * core.Second
	// refusalRetention is how long the tombstone of a request whose outcome was
	// not_run is stored; no copy of its forward is assumed to arrive later.
	refusalRetention = 1 * core.Minute
	// queryDelay is the time without a report on a dispatched attempt after which
	// its sidecar is queried for the outcome.
	queryDelay = 500 * core.Millisecond
	// pollInterval replaces queryDelay for an attempt that the sidecar has
	// acknowledged.
	pollInterval = 5 * core.Second
	// ingressGrace is added to a call's timeout at its ingress entry, so that the
	// owner's own timeout result arrives first.
	ingressGrace = 2 * core.Second
	// maxForwardInterval bounds the doubling interval between repeated forwards.
	maxForwardInterval = 16 * core.Second
	// defaultRetryAfter is the Retry-After hint when there is no better estimate.
	defaultRetryAfter = 1 * core.Second
	// reportStaleAfter is the age of a target's load report from which on the
	// target gets no new dispatches.
	reportStaleAfter = 3 * core.Second
	// reportLateAfter is the age of a load report from which the next one counts
	// as late.
	reportLateAfter = 1500 * core.Millisecond
	// subscribeInterval is the interval between renewals of a subscription to load
	// reports.
	subscribeInterval = 1 * core.Second
)

// times are the time limits of the configuration in force.
type times struct {
	heartbeat core.Duration
	suspect   core.Duration
	listLag   core.Duration
	retention core.Duration
}

func timesOf(set *config.Set) times {
	t := times{defaultHeartbeat, defaultSuspectAfter, defaultListLag, defaultAnswerRetention}
	if set == nil {
		return t
	}
	t.heartbeat = orDefault(set.Ownership.Heartbeat.Nanos(), t.heartbeat)
	t.suspect = orDefault(set.Ownership.SuspectAfter.Nanos(), t.suspect)
	t.listLag = orDefault(set.Ownership.VMListLag.Nanos(), t.listLag)
	t.retention = orDefault(set.Ownership.AnswerRetention.Nanos(), t.retention)
	return t
}

// orDefault returns v, or def if v is zero.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
